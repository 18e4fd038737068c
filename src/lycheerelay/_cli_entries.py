"""Name the entry VMs that a sub-command talks to."""

import argparse
import os
from typing import Final

ENTRIES_VARIABLE: Final = 'LYCHEERELAY_ENTRIES'
DEFAULT_PATIENCE_MS: Final = 30_000


def add_entry_option(parser: argparse.ArgumentParser) -> None:
    """Add the addresses of entry VMs."""
    parser.add_argument(
        '--entry',
        metavar='HOST:PORT',
        action='append',
        help=f'address of an entry VM; repeat it for more than one '
        f'(default: the list with commas in ${ENTRIES_VARIABLE})',
    )


def add_client_options(parser: argparse.ArgumentParser) -> None:
    """Add the addresses of entry VMs and the time to repeat a request."""
    add_entry_option(parser)
    parser.add_argument(
        '--patience-ms',
        type=int,
        default=DEFAULT_PATIENCE_MS,
        help='how long to repeat a request that has no answer yet, '
        'in milliseconds (default: %(default)s)',
    )


def entries_of(arguments: argparse.Namespace) -> tuple[str, ...]:
    """Return the addresses of the entry VMs to talk to."""
    if arguments.entry:
        return tuple(arguments.entry)
    text = os.environ.get(ENTRIES_VARIABLE, '')
    return tuple(filter(None, (part.strip() for part in text.split(','))))
