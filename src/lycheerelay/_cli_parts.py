"""Register sub-commands and share what they print."""

import argparse
import json
import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from ._codec import Json, to_json
from ._codes import CODES, Code, Refusal
from ._options import OptionErrors
from ._registry import Registry

COLUMN_GAP: Final = '  '

Run = Callable[[argparse.Namespace], int]
Describe = Callable[[argparse.ArgumentParser], None]


class SubCommand(NamedTuple):
    """Describe one sub-command: its help, options and action."""

    summary: str
    describe: Describe
    run: Run


COMMANDS: Final[Registry[str, SubCommand]] = Registry('sub-command')


def command(
    name: str, summary: str, describe: Describe
) -> Callable[[Run], Run]:
    """Return a decorator that registers the action of a sub-command."""

    def store(run: Run) -> Run:
        COMMANDS.register(name)(SubCommand(summary, describe, run))
        return run

    return store


def no_options(parser: argparse.ArgumentParser) -> None:
    """Add no option."""


def add_json_flag(parser: argparse.ArgumentParser) -> None:
    """Add the flag that prints JSON in place of a table."""
    parser.add_argument(
        '--json',
        action='store_true',
        help='print JSON in place of text (default: text)',
    )


def print_json(item: object) -> None:
    """Print an item as indented JSON with sorted keys."""
    print(json.dumps(to_json(item), indent=2, sort_keys=True))


def print_table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print rows in aligned columns under a header."""
    lines = [tuple(header)]
    lines.extend(tuple(str(cell) for cell in row) for row in rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print(COLUMN_GAP.join(cells).rstrip())


def fail(refusal: Refusal) -> int:
    """Print a refusal on the error stream and return its exit status."""
    number = int(refusal.code)
    print(f'error {number}: {refusal.detail}', file=sys.stderr)
    return CODES[refusal.code].exit_status


def report_errors(
    errors: OptionErrors,
    code: Code,
    as_json: bool = False,
) -> int:
    """Print every fault of INI files and return the exit status."""
    if as_json:
        print_json({'code': int(code), 'errors': errors})
    else:
        for error in errors:
            print(f'error {int(code)}: {error.to_text()}', file=sys.stderr)
    return CODES[code].exit_status


def exit_status_of(body: Json) -> int:
    """Return the exit status of the code in an answer."""
    return CODES[Code(body['code'])].exit_status
