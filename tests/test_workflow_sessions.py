"""Compare golden sessions with the current output of the workflow core."""

import pytest

from workflow_session_files import EVENTS, FOLDER, play

PATHS = sorted(FOLDER.glob('*.session'))


@pytest.mark.parametrize('path', PATHS, ids=lambda path: path.stem)
def test_the_core_answers_as_recorded(path) -> None:
    """Every command and log event equals the one in the file."""
    text = path.read_text()
    assert play(text) == text


def test_every_event_is_used() -> None:
    """Each kind of event occurs in some session."""
    words = {
        word
        for path in PATHS
        for line in path.read_text().splitlines()
        for word in line.split(' ')[1:2]
    }
    assert set(EVENTS) <= words
