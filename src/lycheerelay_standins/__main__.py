"""Run stand-ins from the command line until a timeout or a signal."""

import argparse
import json
import signal
import sys
import threading
from collections.abc import Sequence
from typing import Final

import urllib3

from lycheerelay._codec import Json, dumps, to_json
from lycheerelay._resources import Resources
from lycheerelay._web import Route, WebServer

from ._cell import Cell, PoolShape, Workers
from ._log import LogStandIn
from ._vm_list import VmListStandIn

DEFAULT_MAX_SECONDS: Final = 600
MILLICORES_PER_CORE: Final = 1000
DEFAULT_WORKERS_PER_RACK: Final = 5
DEFAULT_SLOTS: Final = 8
DEFAULT_CONNECTIONS: Final = 64


def main(argv: Sequence[str] | None = None) -> int:
    """Run the selected stand-in and print its addresses as one JSON line."""
    arguments = build_parser().parse_args(argv)
    stopped = threading.Event()

    def on_signal(*_: object) -> None:
        stopped.set()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    stop = arguments.run(arguments)
    stopped.wait(arguments.max_seconds)
    stop()
    return 0


def build_parser() -> argparse.ArgumentParser:
    """Build the parser with one subcommand for each stand-in."""
    parser = argparse.ArgumentParser(prog='lycheerelay_standins')
    parser.add_argument(
        '--max-seconds',
        type=float,
        default=DEFAULT_MAX_SECONDS,
        help='stop after this many seconds (default %(default)s)',
    )
    kinds = parser.add_subparsers(required=True, metavar='KIND')
    for name, run in (('log', run_log), ('vms', run_vms)):
        subparser = kinds.add_parser(name)
        subparser.add_argument('--listen', default='127.0.0.1:0')
        subparser.set_defaults(run=run)
    worker = kinds.add_parser('worker', help='workers of one failure domain')
    worker.add_argument('--domain', default='a')
    worker.add_argument(
        '--vms', default='', help='address of a VM list to add the workers to'
    )
    worker.set_defaults(run=run_workers)
    cell = kinds.add_parser(
        'cell', help='log, VM list and workers in one process'
    )
    cell.add_argument('--domains', default='a,b,c')
    cell.set_defaults(run=run_cell)
    for subparser in (worker, cell):
        subparser.add_argument(
            '--pool',
            action='append',
            type=parse_pool_shape,
            help='NAME:WORKERS:CORES:MEMORY_MB:ACCELERATORS[:PER_RACK[:SLOTS]]',
        )
        subparser.add_argument('--threads', type=int, default=8)
    return parser


def parse_pool_shape(text: str) -> PoolShape:
    """Parse the value of --pool; cores are given as whole cores."""
    name, *numbers = text.split(':')
    workers, cores, memory_mb, accelerators, *more = map(int, numbers)
    workers_per_rack, slots = (
        *more,
        *(DEFAULT_WORKERS_PER_RACK, DEFAULT_SLOTS)[len(more) :],
    )
    capacity = Resources(
        cores * MILLICORES_PER_CORE,
        memory_mb,
        accelerators,
        slots,
        DEFAULT_CONNECTIONS,
    )
    return PoolShape(name, workers, capacity, workers_per_rack)


def run_log(arguments: argparse.Namespace) -> object:
    """Serve a log and return the function that stops it."""
    return _serve('log', arguments.listen, LogStandIn().routes())


def run_vms(arguments: argparse.Namespace) -> object:
    """Serve a VM list and return the function that stops it."""
    return _serve('vms', arguments.listen, VmListStandIn().routes())


def run_workers(arguments: argparse.Namespace) -> object:
    """Serve the workers of one failure domain; add them to a VM list."""
    workers = Workers(threads=arguments.threads)
    for shape in arguments.pool or (parse_pool_shape('desk:2:16:65536:0'),):
        workers.add_pool(arguments.domain, shape)
    control = WebServer('127.0.0.1', 0, workers.routes(), 4)
    control.start()
    specs = [to_json(spec) for spec in workers.specs.values()]
    if arguments.vms:
        urllib3.request(
            'POST',
            f'http://{arguments.vms}/switch',
            body=dumps({'list_workers': specs}),
        )
    _print_json({'control': control.address, 'workers': specs})

    def stop() -> None:
        control.stop()
        workers.stop()

    return stop


def run_cell(arguments: argparse.Namespace) -> object:
    """Serve the log, the VM list and the workers of every domain."""
    shapes = arguments.pool or (parse_pool_shape('desk:2:16:65536:0'),)
    cell = Cell(
        tuple(arguments.domains.split(',')),
        tuple(shapes),
        arguments.threads,
    )
    cell.start()
    _print_json(cell.addresses())
    return cell.stop


def _serve(name: str, listen: str, routes: tuple[Route, ...]) -> object:
    host, _, port = listen.rpartition(':')
    server = WebServer(host, int(port), routes, 32)
    server.start()
    _print_json({name: server.address})
    return server.stop


def _print_json(addresses: Json) -> None:
    print(json.dumps(addresses), flush=True)


if __name__ == '__main__':
    sys.exit(main())
