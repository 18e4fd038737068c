"""Run stand-ins from the command line until a time limit or a signal."""

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
from ._vms import VmListStandIn

MAX_SECONDS: Final = 600
MILLI: Final = 1000
PER_RACK: Final = 5
SLOTS: Final = 8
CONNECTIONS: Final = 64


def main(argv: Sequence[str] | None = None) -> int:
    """Run the chosen stand-in; its first line of output is one JSON object."""
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
    """Describe the stand-ins and their options."""
    parser = argparse.ArgumentParser(prog='lycheerelay_standins')
    parser.add_argument(
        '--max-seconds',
        type=float,
        default=MAX_SECONDS,
        help='stop after this many seconds (default %(default)s)',
    )
    kinds = parser.add_subparsers(required=True, metavar='KIND')
    for name, run in (('log', run_log), ('vms', run_vms)):
        part = kinds.add_parser(name)
        part.add_argument('--listen', default='127.0.0.1:0')
        part.set_defaults(run=run)
    worker = kinds.add_parser('worker', help='workers of one failure domain')
    worker.add_argument('--domain', default='a')
    worker.add_argument('--vms', default='', help='list them at this VM list')
    worker.set_defaults(run=run_workers)
    cell = kinds.add_parser('cell', help='log, VM list and workers together')
    cell.add_argument('--domains', default='a,b,c')
    cell.set_defaults(run=run_cell)
    for part in (worker, cell):
        part.add_argument(
            '--pool',
            action='append',
            type=read_shape,
            help='NAME:WORKERS:CORES:MEMORY_MB:ACCELERATORS[:PER_RACK[:SLOTS]]',
        )
        part.add_argument('--threads', type=int, default=8)
    return parser


def read_shape(text: str) -> PoolShape:
    """Read the shape of a pool's workers."""
    name, *numbers = text.split(':')
    workers, cores, memory_mb, accelerators, *more = map(int, numbers)
    per_rack, slots = (*more, *(PER_RACK, SLOTS)[len(more) :])
    capacity = Resources(
        cores * MILLI,
        memory_mb,
        accelerators,
        slots,
        CONNECTIONS,
    )
    return PoolShape(name, workers, capacity, per_rack)


def run_log(arguments: argparse.Namespace) -> object:
    """Run the log."""
    return _serve('log', arguments.listen, LogStandIn().routes())


def run_vms(arguments: argparse.Namespace) -> object:
    """Run the VM list."""
    return _serve('vms', arguments.listen, VmListStandIn().routes())


def run_workers(arguments: argparse.Namespace) -> object:
    """Run the workers of one failure domain and list them."""
    workers = Workers(threads=arguments.threads)
    for shape in arguments.pool or (read_shape('desk:2:16:65536:0'),):
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
    _print({'control': control.address, 'workers': specs})

    def stop() -> None:
        control.stop()
        workers.stop()

    return stop


def run_cell(arguments: argparse.Namespace) -> object:
    """Run a whole platform."""
    shapes = arguments.pool or (read_shape('desk:2:16:65536:0'),)
    cell = Cell(
        tuple(arguments.domains.split(',')),
        tuple(shapes),
        arguments.threads,
    )
    cell.start()
    _print(cell.addresses())
    return cell.stop


def _serve(name: str, listen: str, routes: tuple[Route, ...]) -> object:
    host, _, port = listen.rpartition(':')
    server = WebServer(host, int(port), routes, 32)
    server.start()
    _print({name: server.address})
    return server.stop


def _print(addresses: Json) -> None:
    print(json.dumps(addresses), flush=True)


if __name__ == '__main__':
    sys.exit(main())
