"""Parse the command line and run sub-commands."""

import argparse
import gc
import logging
import signal
import threading
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from result import Err

from . import (
    __version__,
    _cli_check,
    _cli_config,
    _cli_jobs,
    _cli_tenants,
    _cli_trace,
    _cli_workflow,
)
from ._api import Api
from ._api_config import ConfigApi
from ._cli_parts import COMMANDS, add_no_arguments, command, report_errors
from ._clock import SystemClock
from ._codes import CODES, Code
from ._dump import DumpApi
from ._internal_api import InternalApi
from ._journal_api import JournalApi
from ._logging import LogFormat, set_up_logging
from ._membership_service import MembershipService
from ._metrics import Metrics
from ._node import Node
from ._policy import Policy
from ._settings import NodeSettings, load_settings
from ._shutdown import shut_down
from ._web import WebServer

GC_THRESHOLDS: Final = (50_000, 20, 1000)

# These modules register their sub-commands on import.
COMMAND_MODULES: Final = (
    _cli_check,
    _cli_config,
    _cli_jobs,
    _cli_tenants,
    _cli_trace,
    _cli_workflow,
)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit status."""
    arguments = build_parser().parse_args(argv)
    set_up_logging(LogFormat.KEY_VALUE, logging.WARNING)
    return int(arguments.run(arguments))


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with every registered sub-command."""
    parser = argparse.ArgumentParser(prog='lycheerelay')
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    for name in COMMANDS:
        entry = COMMANDS[name]
        sub = commands.add_parser(
            name,
            help=entry.summary,
            description=entry.summary,
        )
        entry.add_arguments(sub)
        sub.set_defaults(run=entry.run)
    return parser


@command('version', 'print the version', add_no_arguments)
def run_version(arguments: argparse.Namespace) -> int:
    """Print the version."""
    print(__version__)
    return 0


def _add_serve_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'settings',
        type=Path,
        help='INI file with the settings of this process',
    )


@command('serve', 'run one entry VM until SIGTERM', _add_serve_arguments)
def run_serve(arguments: argparse.Namespace) -> int:
    """Run one entry VM until SIGTERM or SIGINT."""
    loaded = load_settings(arguments.settings)
    if isinstance(loaded, Err):
        return report_errors(loaded.err_value, Code.BAD_SETTING)
    settings = loaded.ok_value
    set_up_logging(settings.log_format)
    # The job state has few reference cycles, and a full garbage collection
    # pauses the core for a long time.
    gc.set_threshold(*GC_THRESHOLDS)
    stopped = stop_on_signals()
    node, server = start_node(settings, needs_config=True)
    print(f'listening on {server.address}', flush=True)
    stopped.wait()
    shutdown = shut_down(node, server)
    return 0 if shutdown.answered else CODES[Code.TIMEOUT].exit_status


def stop_on_signals() -> threading.Event:
    """Return an event that is set on SIGTERM and SIGINT."""
    stopped = threading.Event()

    def on_signal(*_: object) -> None:
        stopped.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    return stopped


def start_node(
    settings: NodeSettings,
    needs_config: bool = False,
) -> tuple[Node, WebServer]:
    """Start an entry VM and its HTTP server.

    With `needs_config` it is ready only once a published configuration is
    known; otherwise it starts with the default policy.
    """
    clock = SystemClock()
    members = MembershipService(settings, clock)
    node = Node(settings, clock, Policy(), members, needs_config)
    metrics = Metrics(node)
    host, port = settings.host_and_port
    server = WebServer(
        host,
        port,
        (
            *Api(node).routes(),
            *ConfigApi(node).routes(),
            *DumpApi(node).routes(),
            *InternalApi(node).routes(),
            *metrics.routes(),
            *JournalApi(node.parts.journal, node.log).routes(),
        ),
        settings.http_threads,
    )
    metrics.server = server
    members.start(server.address)
    node.start()
    server.start()
    return node, server
