"""Replace entry VMs while jobs run.

The log is complete, has lost its oldest entries or is down. Guards against
jobs that are lost or started twice when their entry VMs are replaced.
"""

import pytest
import urllib3

from cell_parts import start_cell, wait_until
from lycheerelay._vm_client import EntryVm


@pytest.fixture
def cell():
    with start_cell() as cell:
        yield cell


def add_listed(cell, name, **options):
    node, server = cell.add_node(name, **options)
    cell.vms.list_entry(EntryVm(name, 'a', 'tt-central', server.address))
    return node, server


def kill(node, server):
    """Stop a node without handing pools or leases over, as in a crash."""
    node.members.stop()
    server.stop()
    node.stop()


def answer_of(cell, server, job_id):
    path = f'/v1/jobs/{job_id}?wait_ms=9000'
    view = cell.call(server, 'GET', path).body
    return view['state'], [task['answer'] for task in view['tasks']]


def gauge(cell, server, name):
    reply = urllib3.request('GET', f'http://{server.address}/metrics')
    lines = [line.split() for line in reply.data.decode().splitlines()]
    return next(float(line[-1]) for line in lines if line[0].endswith(name))


def owner_among(nodes):
    for node, server in nodes:
        state = node.shards.get('desk')
        if state is not None and state.is_owner:
            return node, server
    return None


def test_jobs_survive_the_loss_of_every_entry_vm_and_of_old_records(cell):
    first = add_listed(cell, 'e1', restate_ms=200)
    cell.submit_ready(first[1], 'a.long', 4000)
    cell.submit_ready(first[1], 'a.short', 20)
    assert answer_of(cell, first[1], 'a.short')[0] == 'done'
    wait_until(lambda: cell.log.streams.get('marks.a'))
    marks = cell.log.streams['marks.a'][-1]
    kill(*first)
    cell.log.expire('jobs.a', marks['offsets']['desk'])
    second = add_listed(cell, 'e2')
    wait_until(lambda: owner_among([second]))
    assert answer_of(cell, second[1], 'a.short') == ('done', ['of a.short'])
    assert answer_of(cell, second[1], 'a.long') == ('done', ['of a.long'])
    assert set(cell.worker.starts.values()) == {1}


def test_cell_accepts_and_finishes_jobs_while_the_log_is_down(cell):
    nodes = [add_listed(cell, name) for name in ('e1', 'e2')]
    cell.submit_ready(nodes[0][1], 'a.before', 20)
    wait_until(lambda: len(nodes[0][0].members.alive_in_domain()) == 2)
    wait_until(lambda: len(nodes[1][0].members.alive_in_domain()) == 2)
    cell.log.fault_switches.set(outage=True)
    wait_until(
        lambda: all(node.parts.journal.health.is_down for node, _ in nodes),
    )
    assert gauge(cell, nodes[0][1], 'log_down') == 1
    cell.submit_ready(nodes[0][1], 'a.during', 20)
    assert gauge(cell, nodes[0][1], 'records_held') > 0
    assert answer_of(cell, nodes[1][1], 'a.during') == (
        'done',
        ['of a.during'],
    )
    cell.log.fault_switches.set(outage=False)
    wait_until(
        lambda: not any(node.parts.journal.outbox.records for node, _ in nodes),
    )
    third = add_listed(cell, 'e3')
    wait_until(lambda: third[0].is_ready)
    assert answer_of(cell, third[1], 'a.during') == ('done', ['of a.during'])
    assert set(cell.worker.starts.values()) == {1}


def test_owner_dies_while_the_log_is_down(cell):
    nodes = [add_listed(cell, name) for name in ('e1', 'e2')]
    wait_until(lambda: owner_among(nodes))
    wait_until(
        lambda: all(
            len(node.members.alive_in_domain()) == 2 for node, _ in nodes
        ),
    )
    cell.submit_ready(nodes[0][1], 'a.before', 3000)
    cell.log.fault_switches.set(outage=True)
    wait_until(
        lambda: all(node.parts.journal.health.is_down for node, _ in nodes),
    )
    cell.submit_ready(nodes[0][1], 'a.held', 3000)
    owner = owner_among(nodes)
    other = next(pair for pair in nodes if pair is not owner)
    kill(*owner)
    wait_until(lambda: owner_among([other]), 20)
    assert other[0].find_job('a.held')
    cell.log.fault_switches.set(outage=False)
    for job_id in ('a.before', 'a.held'):
        assert answer_of(cell, other[1], job_id) == ('done', [f'of {job_id}'])
    assert set(cell.worker.starts.values()) == {1}
