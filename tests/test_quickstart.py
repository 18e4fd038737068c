"""The quickstart answers its jobs and leaves the sample folder unchanged."""

from pathlib import Path

from lycheerelay_standins import quickstart
from lycheerelay_standins.quickstart import SAMPLE_JOBS, is_expected

CARONI = Path(__file__).parent.parent / 'examples' / 'caroni'


def test_three_jobs_are_answered(capsys):
    before = sorted(path.name for path in CARONI.iterdir())
    assert quickstart.main([str(CARONI)]) == 0
    shown = capsys.readouterr().out
    assert shown.count('corners met') == 3
    assert shown.count('solved') == 4
    assert 'entry-c' in shown
    assert sorted(path.name for path in CARONI.iterdir()) == before


def test_answer_of_another_job_is_not_right():
    _, batch, gang = SAMPLE_JOBS
    view = {'tasks': [{'answer': 'solved', 'state': 'done'}] * batch.tasks}
    assert not is_expected(batch, view)
    assert not is_expected(gang, view)
