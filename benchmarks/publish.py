"""Measure how long a published change takes to be in force everywhere."""

import json
import statistics
import time

from lycheerelay._cli import start_node
from lycheerelay._clock import SystemClock
from lycheerelay._config_publish import bases_of
from lycheerelay._http import HttpCaller
from lycheerelay._log_client import LogClient
from lycheerelay._settings import NodeSettings
from lycheerelay._web import WebServer
from lycheerelay.folder import FolderFile
from lycheerelay.versions import PublishRequest, publish
from lycheerelay_standins.standins import LogStandIn, VmListStandIn

NODES = 6
CHANGES = 30
POLL_S = 0.002
LIMIT_S = 7


def start_server(part):
    server = WebServer('127.0.0.1', 0, part.routes())
    server.start()
    return server


def start_cell(servers):
    log, vms = (server.address for server in servers)
    for number in range(NODES):
        domain = 'abc'[number % 3]
        settings = NodeSettings(
            f'e{number}',
            domain,
            'tt-central',
            '127.0.0.1:0',
            log,
            vms,
        )
        yield start_node(settings, needs_config=True)


def await_version(nodes, version):
    started = time.monotonic()
    while any(node.policy.version < version for node, _ in nodes):
        if time.monotonic() > started + LIMIT_S:
            return False
        time.sleep(POLL_S)
    return True


def change_once(log, clock, number, bases, nodes):
    started = time.monotonic()
    files = (FolderFile('a.ini', f'[team t]\nshare = {number + 1}\n'),)
    request = PublishRequest(f'b{number}', 'bench', files, bases)
    done = publish(log, clock, request).unwrap()
    kept = time.monotonic()
    in_force = await_version(nodes, done.config.version)
    ended = time.monotonic()
    return done, in_force, 1000 * (kept - started), 1000 * (ended - started)


def main():
    clock = SystemClock()
    servers = [start_server(part) for part in (LogStandIn(), VmListStandIn())]
    nodes = list(start_cell(servers))
    log = LogClient(HttpCaller(), servers[0].address)
    bases, kept_ms, force_ms, missed = (), [], [], 0
    for number in range(CHANGES):
        # A spread over the poll period, so that no phase is favoured.
        time.sleep(number * 0.137 % 1)
        done, in_force, kept, force = change_once(
            log,
            clock,
            number,
            bases,
            nodes,
        )
        bases = bases_of(done.config.files)
        missed += not in_force
        kept_ms.append(kept)
        force_ms.append(force)
    for node, server in nodes:
        server.stop()
        node.stop()
    for server in servers:
        server.stop()
    report = {
        'nodes': NODES,
        'changes': CHANGES,
        'kept_p50_ms': round(statistics.median(kept_ms), 1),
        'in_force_p50_ms': round(statistics.median(force_ms), 1),
        'in_force_max_ms': round(max(force_ms), 1),
        'missed': missed,
    }
    print(json.dumps(report))


if __name__ == '__main__':
    main()
