"""Test what `lycheerelay trace` tells about the waits of jobs."""

import asyncio
import json
import logging
from pathlib import Path

import pytest

from lycheerelay._cli import main
from lycheerelay.serving._event_log import FastJsonFormatter
from lycheerelay.traces import Cause, LineCounts, build_timelines, read_lines
from lycheerelay_standins.platform import PlatformCell
from platform_days import job, play, step

ID = '5c0e7a21d94b36f8'


def _line(ms: int, message: str, **fields: object) -> str:
    time = f'2026-01-01T00:00:{ms // 1000:02}.{ms % 1000:03}Z'
    return json.dumps({'time': time, 'message': message, **fields})


LINES = (
    _line(
        20,
        'request',
        what='submit',
        job=ID,
        queue='q',
        verdict='ok',
        took_ms=20,
    ),
    _line(30, 'job_opened', job=ID, queue='q', widths=[2]),
    _line(
        90, 'advice_received', job=ID, step=0, asked=9, allowed=3, took_ms=55
    ),
    _line(
        140, 'runs_started', step=f'{ID}.0.0', members=[0, 1], numbers=[1, 1]
    ),
    _line(150, 'starts_recorded', job=ID, runs=2),
    _line(650, 'run_ended', run=f'{ID}.0.0.0#1', how='done'),
    _line(700, 'run_ended', run=f'{ID}.0.0.1#1', how='failed'),
    _line(705, 'runs_started', step=f'{ID}.0.0', members=[1], numbers=[2]),
    _line(715, 'starts_recorded', job=ID, runs=1),
    _line(1215, 'run_ended', run=f'{ID}.0.0.1#2', how='done'),
    _line(1215, 'job_settled', job=ID, phase='completed'),
    _line(1227, 'job_recorded', job=ID, phase='completed'),
)


def test_time_of_a_job_is_split_by_cause() -> None:
    counts = LineCounts()
    lines = [each.unwrap() for each in read_lines(LINES, counts)]
    timeline = build_timelines(lines)[ID]
    assert timeline.spent_ms() == {
        Cause.STORE: 20,
        Cause.OWNER: 10,
        Cause.ADVICE: 55,
        Cause.CAPACITY: 55,
        Cause.START_RECORD: 20,
        Cause.RUNNING: 1050,
        Cause.RERUN: 5,
        Cause.END_RECORD: 12,
    }
    assert timeline.phase == 'completed'


@pytest.mark.parametrize(
    ('message', 'fields', 'cause'),
    [
        ('connection_closed', {'cause': 'memory'}, Cause.CONNECTION),
        ('submission_not_begun', {'waited_ms': 3000}, Cause.BUSY),
        (
            'request',
            {'what': 'submit', 'queue': 'q', 'verdict': 'busy', 'took_ms': 0},
            Cause.BUSY,
        ),
    ],
)
def test_time_after_a_crowd_is_taken_for_the_store(
    message: str, fields: dict[str, object], cause: Cause
) -> None:
    """A closed connection or a wait for a turn is told apart until acceptance."""
    closed = (
        _line(0, message, job=ID, **fields),
        _line(500, 'request', what='submit', job=ID, verdict='ok', took_ms=0),
        _line(520, 'job_opened', job=ID, queue='q', widths=[1]),
    )
    lines = [each.unwrap() for each in read_lines(closed, LineCounts())]
    timeline = build_timelines(lines)[ID]
    assert timeline.spent_ms() == {cause: 500, Cause.OWNER: 20}


def test_time_until_a_trial_is_told_apart() -> None:
    lost = (
        _line(
            400,
            'runs_lost',
            worker='w',
            runs=[f'{ID}.0.0.0#1', 'other.0.0.0#1'],
        ),
        _line(400, 'crash_counted', run=f'{ID}.0.0.0#1', evidence='own'),
        _line(900, 'runs_started', step=f'{ID}.0.0', members=[0], numbers=[2]),
        _line(910, 'starts_recorded', job=ID, runs=1),
    )
    texts = (*LINES[:5], *lost)
    lines = [each.unwrap() for each in read_lines(texts, LineCounts())]
    timelines = build_timelines(lines)
    assert set(timelines) == {ID, 'other'}
    spent = timelines[ID].spent_ms()
    # The other task of the step runs on.
    assert spent[Cause.RUNNING] == 260
    assert spent[Cause.TRIAL] == 500


def test_jobs_with_missing_lines_are_left_out(tmp_path, capsys) -> None:
    path = tmp_path / 'vm.log'
    path.write_text(
        '\n'.join(line for line in LINES if 'run_ended' not in line)
    )
    assert main(['trace', str(path), '--json']) == 0
    queue = json.loads(capsys.readouterr().out)['queues'][0]
    assert (queue['gap_jobs'], queue['causes']) == (1, [])


def test_order_and_foreign_text_do_not_matter() -> None:
    counts = LineCounts()
    texts = [f'  12.5 vm-1 {line}' for line in reversed(LINES)]
    texts += ['a table of something', '']
    lines = [each.unwrap() for each in read_lines(texts, counts)]
    assert counts == LineCounts(read=len(LINES), other=1)
    assert {line.vm for line in lines} == {'vm-1'}
    spent = build_timelines(lines)[ID].spent_ms()
    assert spent[Cause.RUNNING] == 1050


def test_cut_and_dropped_lines_are_counted(tmp_path, capsys) -> None:
    path = tmp_path / 'vm.log'
    cut = LINES[3][:40]
    dropped = _line(5, 'started', dropped_before=7)
    path.write_text('\n'.join((*LINES, cut, dropped)))
    assert main(['trace', str(path), '--json']) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown['lines'] == {'read': 13, 'dropped': 7, 'cut': 1}
    assert shown['queues'][0]['phases'] == {'completed': 1}
    assert main(['trace', str(path), '--strict']) == 2
    assert f'{path}: line 13: the JSON object is cut' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('arguments', 'text'),
    [
        (['missing.log'], 'missing.log: No such file'),
        (['empty.log'], 'contain no log lines'),
        (['one.log', '--job', 'f' * 16], 'no line tells about job'),
    ],
)
def test_bad_input_gets_an_error(
    tmp_path, monkeypatch, capsys, arguments, text
) -> None:
    monkeypatch.chdir(tmp_path)
    Path('empty.log').write_text('nothing\n')
    Path('one.log').write_text(LINES[0])
    assert main(['trace', *arguments]) == 2
    assert text in capsys.readouterr().err


def test_one_job_is_shown_as_a_timeline(tmp_path, capsys) -> None:
    path = tmp_path / 'vm.log'
    path.write_text('\n'.join(LINES))
    assert main(['trace', str(path), '--job', ID, '--seconds']) == 0
    rows = capsys.readouterr().out.splitlines()
    assert rows[0] == f'{ID}: queue q, submission ok, completed'
    assert '00:00:00.150  500  running' in rows
    assert main(['trace', str(path), '--seconds']) == 0
    assert (
        '0       q      1     0        1       1227    1227'
        in capsys.readouterr().out
    )


class _Collector(logging.Handler):
    """Collect log lines as the processes write them."""

    def __init__(self) -> None:
        super().__init__()
        self.setFormatter(FastJsonFormatter())
        self.texts: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        # Both the time and its part below a second are those of the cell.
        record.created = asyncio.get_running_loop().time()
        record.msecs = record.created % 1 * 1000
        self.texts.append(self.format(record))


def test_lines_of_a_cell_explain_the_whole_time_of_its_jobs() -> None:
    """No span of a job's time is left unexplained by what the owner logs."""
    collector = _Collector()
    logger = logging.getLogger('lycheerelay')

    async def scenario(cell: PlatformCell) -> None:
        names = []
        for number in range(6):
            body = job(step(3), step(2, after=[0]))
            name, _ = await cell.submit(f'vm-{number % 3}', body)
            names.append(name)
            await asyncio.sleep(0.1)
        await cell.settle(names, 20)

    logger.addHandler(collector)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    disabled = logging.root.manager.disable
    logging.disable(logging.NOTSET)
    try:
        play(scenario)
    finally:
        logger.removeHandler(collector)
        logger.setLevel(logging.NOTSET)
        logger.propagate = True
        logging.disable(disabled)
    counts = LineCounts()
    lines = [each.unwrap() for each in read_lines(collector.texts, counts)]
    timelines = build_timelines(lines).values()
    finished = [each for each in timelines if each.phase == 'completed']
    assert len(finished) == 6
    for timeline in finished:
        assert Cause.UNKNOWN not in timeline.spent_ms()
        assert timeline.spent_ms()[Cause.RUNNING] >= 900
