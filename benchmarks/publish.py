"""Measure the time until a published change is in force on all entry VMs."""

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

NODE_COUNT = 6
CHANGE_COUNT = 30
POLL_INTERVAL_S = 0.002
TIMEOUT_S = 7


def start_server(part):
    server = WebServer('127.0.0.1', 0, part.routes())
    server.start()
    return server


def start_cell(servers):
    log, vms = (server.address for server in servers)
    for number in range(NODE_COUNT):
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


def wait_for_version(nodes, version):
    started = time.monotonic()
    while any(node.policy.version < version for node, _ in nodes):
        if time.monotonic() > started + TIMEOUT_S:
            return False
        time.sleep(POLL_INTERVAL_S)
    return True


def publish_change(log, clock, number, bases, nodes):
    started = time.monotonic()
    files = (FolderFile('a.ini', f'[team t]\nshare = {number + 1}\n'),)
    request = PublishRequest(f'b{number}', 'bench', files, bases)
    published = publish(log, clock, request).unwrap()
    published_at = time.monotonic()
    in_force = wait_for_version(nodes, published.config.version)
    in_force_at = time.monotonic()
    return (
        published,
        in_force,
        1000 * (published_at - started),
        1000 * (in_force_at - started),
    )


def main():
    clock = SystemClock()
    servers = [start_server(part) for part in (LogStandIn(), VmListStandIn())]
    nodes = list(start_cell(servers))
    log = LogClient(HttpCaller(), servers[0].address)
    bases, publish_ms, in_force_ms, timeouts = (), [], [], 0
    for number in range(CHANGE_COUNT):
        # Spreads the changes evenly over the phases of the poll interval.
        time.sleep(number * 0.137 % 1)
        published, in_force, spent_ms, total_ms = publish_change(
            log,
            clock,
            number,
            bases,
            nodes,
        )
        bases = bases_of(published.config.files)
        timeouts += not in_force
        publish_ms.append(spent_ms)
        in_force_ms.append(total_ms)
    for node, server in nodes:
        server.stop()
        node.stop()
    for server in servers:
        server.stop()
    report = {
        'nodes': NODE_COUNT,
        'changes': CHANGE_COUNT,
        'kept_p50_ms': round(statistics.median(publish_ms), 1),
        'in_force_p50_ms': round(statistics.median(in_force_ms), 1),
        'in_force_max_ms': round(max(in_force_ms), 1),
        'missed': timeouts,
    }
    print(json.dumps(report))


if __name__ == '__main__':
    main()
