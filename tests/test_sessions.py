"""Replay golden sessions and compare the commands that the core returns."""

import pytest

from session_files import FOLDER, play, read_session

FILES = sorted(FOLDER.glob('*.session'))


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
def test_session(path):
    text = path.read_text()
    assert play(read_session(text)) == text


def test_an_altered_expectation_is_detected():
    text = (FOLDER / 'batch_runs.session').read_text()
    altered = text.replace('StartTask', 'StopTask')
    assert altered != text
    assert play(read_session(altered)) == text
