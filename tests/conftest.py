"""Mark the tests of KNOWN-RED.txt as expected failures and print them.

Each entry has a line `test: tests/FILE.py::NAME` and a line `raises: NAME` with
the built-in exception that the test raises until its fault is mended.
"""

import builtins
import logging
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


@pytest.fixture
def disable_logging() -> Iterator[None]:
    """Disable logging during the test."""
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def read_known_red() -> dict[str, str]:
    """Return the exception name of each listed test, by its node id."""
    entries: dict[str, str] = {}
    test = ''
    for line in KNOWN_RED.read_text('utf-8').splitlines():
        name, _, content = line.strip().partition(': ')
        if name == 'test':
            test = content
            entries[test] = ''
        elif name == 'raises':
            entries[test] = content
    return entries


def is_whole_suite(config: pytest.Config) -> bool:
    """Return whether the run collects every test file."""
    return {Path(arg).resolve() for arg in config.args} <= {
        ROOT,
        ROOT / 'tests',
    }


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Mark each listed test; fail if a whole run does not collect it.

    The marks are strict, so that a listed test that passes fails the run.
    """
    entries = read_known_red()
    by_id = {item.nodeid: item for item in items}
    missing = [test for test in entries if test not in by_id]
    if missing and is_whole_suite(config):
        raise pytest.UsageError(f'{KNOWN_RED.name}: no such tests: {missing}')
    for test, exception in entries.items():
        if test in by_id:
            mark = pytest.mark.xfail(
                strict=True,
                raises=getattr(builtins, exception),
                reason=f'listed in {KNOWN_RED.name}',
            )
            by_id[test].add_marker(mark)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the listed tests with their exceptions."""
    entries = read_known_red()
    if entries:
        terminalreporter.section(KNOWN_RED.name)
    for test, exception in entries.items():
        terminalreporter.write_line(f'{test}: raises {exception}')
