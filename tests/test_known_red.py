"""Test that only the failures listed in KNOWN-RED.txt are passed over.

Guards against a listed test that passes, fails for another reason or no longer
exists, and against listed tests that are not printed.
"""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).with_name('conftest.py')
TESTS = """
def test_fails():
    assert False


def test_passes():
    pass
"""


def run_pytest(folder: Path, entries: str) -> tuple[int, str]:
    """Run two tests with these entries; return the exit status and output."""
    tests = folder / 'tests'
    tests.mkdir()
    shutil.copy(CONFTEST, tests)
    (tests / 'test_sample.py').write_text(TESTS)
    (folder / 'pytest.ini').write_text('[pytest]\ntestpaths = tests\n')
    (folder / 'KNOWN-RED.txt').write_text(entries)
    done = subprocess.run(
        [sys.executable, '-m', 'pytest', '-q', '-p', 'no:cacheprovider'],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def entry(name: str, exception: str) -> str:
    """Return an entry for a test of the sample file."""
    return f'test: tests/test_sample.py::{name}\nraises: {exception}\n'


def test_listed_failure_is_passed_over_and_printed(tmp_path: Path) -> None:
    """The run succeeds; its summary names the test and the exception."""
    listed = entry('test_fails', 'AssertionError')
    status, output = run_pytest(tmp_path, listed)
    assert (status, output.count('FAILED')) == (0, 0)
    assert 'test_sample.py::test_fails: raises AssertionError' in output
    assert '1 passed, 1 xfailed' in output


@pytest.mark.parametrize(
    ('entries', 'expected'),
    [
        ('KNOWN-RED: none\n', (1, 'test_sample.py::test_fails')),
        (entry('test_fails', 'KeyError'), (1, '1 failed, 1 passed')),
        (
            entry('test_fails', 'AssertionError')
            + entry('test_passes', 'KeyError'),
            (1, '1 failed, 1 xfailed'),
        ),
        (
            entry('test_fails', 'AssertionError')
            + entry('test_gone', 'KeyError'),
            (4, "no such tests: ['tests/test_sample.py::test_gone']"),
        ),
    ],
    ids=['not listed', 'other exception', 'passes', 'does not exist'],
)
def test_any_other_outcome_fails_the_run(
    tmp_path: Path,
    entries: str,
    expected: tuple[int, str],
) -> None:
    """The exit status is not zero, and the output names the cause."""
    status, output = run_pytest(tmp_path, entries)
    assert status == expected[0]
    assert expected[1] in output
