"""Cut a failure domain off from the others and from the log.

The domain must serve its own jobs meanwhile, and no other domain may run
them; after the cut every job must have started exactly once.
"""

import json
from contextlib import ExitStack, contextmanager

import pytest

from cell_parts import wait_until
from lycheerelay._cli import start_node
from lycheerelay._clock import SystemClock
from lycheerelay._events import WorkerSpec
from lycheerelay._http import HttpCaller
from lycheerelay._resources import Resources
from lycheerelay._settings import NodeSettings
from lycheerelay._vm_client import EntryVm
from lycheerelay._web import WebServer
from lycheerelay_standins.standins import (
    LogStandIn,
    VmListStandIn,
    WorkerStandIn,
)

CAPACITY = Resources(16_000, 65_536, 0, 8, 64)
NOWHERE = '127.0.0.1:1'
VMS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}


class Cell:
    """Hold two failure domains that share a log."""

    def __init__(self, stack):
        self.stack = stack
        self.caller = HttpCaller()
        log, vms = LogStandIn(), VmListStandIn()
        platform = (self.serve(log), self.serve(vms))
        self.workers = {}
        self.nodes = {}
        self.bases = {}
        for domain in 'ab':
            worker = WorkerStandIn(CAPACITY, 'boot-1', SystemClock())
            self.workers[domain] = worker
            address = self.serve(worker)
            vms.list_worker(
                WorkerSpec(
                    f'w{domain}', 'desk', domain, 'r', address, CAPACITY
                ),
            )
        for name, domain in VMS.items():
            settings = NodeSettings(name, domain, 'r', '127.0.0.1:0', *platform)
            node, server = start_node(settings)
            stack.callback(node.stop)
            stack.callback(server.stop)
            self.nodes[name] = node
            self.bases[name] = f'http://{server.address}'
            vms.list_entry(EntryVm(name, domain, 'r', server.address))

    def serve(self, part):
        server = WebServer('127.0.0.1', 0, part.routes())
        server.start()
        self.stack.callback(server.stop)
        return server.address

    @contextmanager
    def cut(self, monkeypatch):
        with monkeypatch.context() as patch:
            for name, node in self.nodes.items():
                known = node.members.address_of
                patch.setattr(
                    node.members,
                    'address_of',
                    lambda other, known=known, name=name: (
                        known(other) if VMS[other] == VMS[name] else NOWHERE
                    ),
                )
                if VMS[name] == 'a':
                    base = f'http://{NOWHERE}/v1/streams'
                    patch.setattr(node.log, 'base', base)
            yield

    def submit(self, name, job_id):
        body = {
            'job_id': job_id,
            'team': 't',
            'workload': 'desk',
            'kind': 'batch',
            'payload': json.dumps({'run_ms': 20, 'answer': job_id}),
        }
        url = f'{self.bases[name]}/v1/jobs'
        return self.caller.call('POST', url, body, 9000).unwrap()

    def is_accepted(self, name, job_id):
        # Submitting a job again that has ended returns 200 with its result.
        return self.submit(name, job_id).status in {200, 202}

    def answer(self, name, job_id):
        url = f'{self.bases[name]}/v1/jobs/{job_id}?wait_ms=8000'
        reply = self.caller.call('GET', url, timeout_ms=12_000).unwrap()
        tasks = reply.body.get('tasks') or [{}]
        return reply.status, tasks[0].get('answer')


def knows_owner(node):
    state = node.shards.get('desk')
    return state is not None and state.owner


@pytest.fixture
def cell():
    with ExitStack() as stack:
        cell = Cell(stack)
        for name, domain in VMS.items():
            peers = sum(other == domain for other in VMS.values())
            members = cell.nodes[name].members
            wait_until(
                lambda members=members, peers=peers: (
                    len(members.alive_in_domain()) == peers
                ),
            )
        wait_until(lambda: all(map(knows_owner, cell.nodes.values())))
        wait_until(lambda: cell.is_accepted('b1', 'a.before'))
        yield cell


def test_cut_off_domain_serves_its_own_jobs_and_no_one_else_runs_them(
    cell,
    monkeypatch,
):
    inside = [cell.nodes[name] for name in ('a1', 'a2')]
    with cell.cut(monkeypatch):
        wait_until(
            lambda: all(node.parts.journal.health.is_down for node in inside),
        )
        wait_until(lambda: cell.is_accepted('a1', 'a.inside'))
        assert cell.answer('a2', 'a.inside') == (200, 'a.inside')
        refused = cell.submit('b1', 'a.outside')
        assert (refused.status, refused.body['code']) == (503, 304)
        assert refused.body['not_run'] is False
        assert cell.answer('b1', 'a.inside')[0] == 503
        wait_until(lambda: cell.is_accepted('b1', 'b.own'))
        assert cell.answer('b1', 'b.own') == (200, 'b.own')
    wait_until(
        lambda: not any(node.parts.journal.outbox.records for node in inside),
    )
    assert cell.answer('b1', 'a.inside') == (200, 'a.inside')
    wait_until(lambda: cell.is_accepted('b1', 'a.outside'))
    assert cell.answer('b1', 'a.outside') == (200, 'a.outside')
    started = {
        domain: sorted(key.split(':')[0] for key in worker.starts)
        for domain, worker in cell.workers.items()
    }
    assert started == {
        'a': ['a.before', 'a.inside', 'a.outside'],
        'b': ['b.own'],
    }
    for worker in cell.workers.values():
        assert set(worker.starts.values()) == {1}
