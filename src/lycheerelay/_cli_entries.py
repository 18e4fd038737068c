"""Name the entry VMs that a sub-command talks to."""

import argparse
import os
from typing import Final

ENTRIES_VARIABLE: Final = 'LYCHEERELAY_ENTRIES'


def add_entry_option(parser: argparse.ArgumentParser) -> None:
    """Add the addresses of entry VMs."""
    parser.add_argument(
        '--entry',
        metavar='HOST:PORT',
        action='append',
        help=f'address of an entry VM; repeat it for more than one '
        f'(default: the list with commas in ${ENTRIES_VARIABLE})',
    )


def entries_of(arguments: argparse.Namespace) -> tuple[str, ...]:
    """Return the addresses of the entry VMs to talk to."""
    if arguments.entry:
        return tuple(arguments.entry)
    text = os.environ.get(ENTRIES_VARIABLE, '')
    return tuple(filter(None, (part.strip() for part in text.split(','))))
