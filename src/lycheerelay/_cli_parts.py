"""Register sub-commands and print their results."""

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
AddArguments = Callable[[argparse.ArgumentParser], None]


class SubCommand(NamedTuple):
    """Hold the help text, arguments and action of a sub-command."""

    summary: str
    add_arguments: AddArguments
    run: Run


COMMANDS: Final[Registry[str, SubCommand]] = Registry('sub-command')


def command(
    name: str, summary: str, add_arguments: AddArguments
) -> Callable[[Run], Run]:
    """Return a decorator that registers a function as a sub-command."""

    def register(run: Run) -> Run:
        COMMANDS.register(name)(SubCommand(summary, add_arguments, run))
        return run

    return register


def add_no_arguments(parser: argparse.ArgumentParser) -> None:
    """Add no arguments."""


def add_json_flag(parser: argparse.ArgumentParser) -> None:
    """Add the flag for JSON output."""
    parser.add_argument(
        '--json',
        action='store_true',
        help='print JSON instead of text (default: text)',
    )


def print_json(item: object) -> None:
    """Print an object as indented JSON with sorted keys."""
    print(json.dumps(to_json(item), indent=2, sort_keys=True))


def print_table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> None:
    """Print a table with aligned columns."""
    lines = [tuple(header)]
    lines.extend(tuple(str(cell) for cell in row) for row in rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print(COLUMN_GAP.join(cells).rstrip())


def fail(refusal: Refusal) -> int:
    """Print a refusal to stderr and return its exit status."""
    number = int(refusal.code)
    print(f'error {number}: {refusal.detail}', file=sys.stderr)
    return CODES[refusal.code].exit_status


def report_errors(
    errors: OptionErrors,
    code: Code,
    as_json: bool = False,
) -> int:
    """Print all errors of INI files and return the exit status."""
    if as_json:
        print_json({'code': int(code), 'errors': errors})
    else:
        for error in errors:
            print(f'error {int(code)}: {error.to_text()}', file=sys.stderr)
    return CODES[code].exit_status


def exit_status_of(body: Json) -> int:
    """Return the exit status for the result code of a reply."""
    return CODES[Code(body['code'])].exit_status
