"""Route jobs between running nodes and hand pools over.

Guards against jobs that fail because they reach a node that does not own
their pool, or because the owner of the pool is leaving.
"""

import json
import time

import pytest

from lycheerelay._cli import start_node
from lycheerelay._events import WorkerSpec
from lycheerelay._hand_back import hand_back, owns_any
from lycheerelay._http import HttpCaller
from lycheerelay._resources import Resources
from lycheerelay._settings import NodeSettings
from lycheerelay._vm_client import EntryVm
from lycheerelay._web import WebServer
from lycheerelay.clock import SystemClock
from lycheerelay_standins.standins import (
    LogStandIn,
    VmListStandIn,
    WorkerStandIn,
)

CAPACITY = Resources(16_000, 65_536, 0, 8, 64)
TRIES = 400


def serve(part):
    server = WebServer('127.0.0.1', 0, part.routes())
    server.start()
    return server


def wait_for(condition):
    for _ in range(TRIES):
        if condition():
            return True
        time.sleep(0.05)
    return False


@pytest.fixture
def cell():
    clock = SystemClock()
    log, vms = LogStandIn(), VmListStandIn()
    workers = [WorkerStandIn(CAPACITY, 'boot-1', clock) for _ in 'ab']
    servers = [serve(part) for part in (log, vms, *workers)]
    addresses = [server.address for server in servers]
    for domain, address in zip('ab', addresses[2:], strict=True):
        spec = WorkerSpec(f'w{domain}', 'desk', domain, 'r', address, CAPACITY)
        vms.list_worker(spec)
    nodes = {}
    for name, domain in (('a1', 'a'), ('a2', 'a'), ('b1', 'b')):
        settings = (name, domain, 'r', '127.0.0.1:0', *addresses[:2])
        nodes[name] = start_node(NodeSettings(*settings))
        vms.list_entry(EntryVm(name, domain, 'r', nodes[name][1].address))
    yield (
        {name: pair[0] for name, pair in nodes.items()},
        {name: f'http://{pair[1].address}' for name, pair in nodes.items()},
    )
    for node, server in nodes.values():
        server.stop()
        node.stop()
    for server in servers:
        server.stop()


def submit(caller, base, job_id):
    body = {
        'job_id': job_id,
        'team': 't',
        'workload': 'desk',
        'kind': 'batch',
        'payload': json.dumps({'run_ms': 20, 'answer': job_id}),
    }
    for _ in range(TRIES):
        reply = caller.call('POST', f'{base}/v1/jobs', body, 5000)
        if reply.is_ok() and reply.ok_value.status == 202:
            return True
        time.sleep(0.05)
    return False


def test_any_node_serves_any_domain_and_a_leaving_owner_hands_over(cell):
    nodes, bases = cell
    caller = HttpCaller()
    in_a = (nodes['a1'], nodes['a2'])
    assert wait_for(
        lambda: all(len(node.members.alive_in_domain()) == 2 for node in in_a),
    )
    for number, base in enumerate(bases.values()):
        job_id = f'a.{number}'
        assert submit(caller, base, job_id)
        for other in bases.values():
            url = f'{other}/v1/jobs/{job_id}?wait_ms=5000'
            view = caller.call('GET', url, timeout_ms=9000).unwrap().body
            assert view['tasks'][0]['answer'] == job_id
    owner = next(node for node in in_a if owns_any(node))
    successor = next(node for node in in_a if node is not owner)
    assert hand_back(owner, 10_000)
    assert owns_any(successor)
    assert not owner.members.is_alive(owner.members.identity)
    assert submit(caller, bases[owner.settings.name], 'a.after')
