"""Compare golden transcripts with the output of the program."""

import pytest

from transcript_files import FOLDER, play


@pytest.mark.parametrize(
    'path',
    sorted(FOLDER.glob('*.txt')),
    ids=lambda path: path.stem,
)
def test_transcript(path, tmp_path):
    text = path.read_text()
    assert play(text, tmp_path) == text
