"""Define the options that select the entry VMs to call."""

import argparse
import os
from typing import Final

ENTRIES_VARIABLE: Final = 'LYCHEERELAY_ENTRIES'
DEFAULT_RETRY_TIMEOUT_MS: Final = 30_000


def add_entry_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for entry VM addresses."""
    parser.add_argument(
        '--entry',
        metavar='HOST:PORT',
        action='append',
        help=f'address of an entry VM; repeat it for more than one '
        f'(default: the comma-separated list in ${ENTRIES_VARIABLE})',
    )


def add_client_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for entry VM addresses and the retry time limit."""
    add_entry_option(parser)
    parser.add_argument(
        '--patience-ms',
        type=int,
        default=DEFAULT_RETRY_TIMEOUT_MS,
        help='how long to retry a request that has no answer yet, '
        'in milliseconds (default: %(default)s)',
    )


def entries_of(arguments: argparse.Namespace) -> tuple[str, ...]:
    """Return the entry VM addresses from the option or the environment."""
    if arguments.entry:
        return tuple(arguments.entry)
    text = os.environ.get(ENTRIES_VARIABLE, '')
    return tuple(filter(None, (part.strip() for part in text.split(','))))
