"""Test the stand-ins and each of their fault switches."""

import threading

import pytest

from lycheerelay._clock import ManualClock, SystemClock
from lycheerelay._events import WorkerSpec
from lycheerelay._http import HttpCaller
from lycheerelay._resources import Resources
from lycheerelay._web import Request, WebServer
from lycheerelay_standins.platform import run_virtual
from lycheerelay_standins.standins import (
    LogStandIn,
    StartLedger,
    VmListStandIn,
    WorkerStandIn,
)

CAPACITY = Resources(16_000, 65_536, 0, 8, 64)


@pytest.fixture
def serve():
    servers = []

    def start(part):
        server = WebServer('127.0.0.1', 0, part.routes(), 4)
        server.start()
        servers.append(server)
        return f'http://{server.address}'

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def caller():
    opened = HttpCaller()
    yield opened
    opened.close()


def ask(handler, **body):
    return handler(Request('POST', '/', {}, {}, body))


def lease(worker, term=1, since=0, wait_ms=0, task_ttl_ms=60_000):
    return ask(
        worker.lease,
        holder='e1',
        term=term,
        ttl_ms=10_000,
        task_ttl_ms=task_ttl_ms,
        since=since,
        wait_ms=wait_ms,
    ).body


def start(worker, task_id='a.j:0:1', term=1, payload='{"run_ms":500}', **more):
    body = {
        'task_id': task_id,
        'term': term,
        'cores_milli': 4000,
        'memory_mb': 64,
        'accelerators': 0,
        'connections': 1,
        'payload': payload,
    }
    return ask(worker.start, **body | more)


def test_log_lost_reply_was_written_and_outage_was_not(serve, caller):
    log = LogStandIn()
    url = serve(log)
    stream = f'{url}/v1/streams/s'
    caller.call('POST', f'{url}/switch', {'lose_replies': 1}).unwrap()
    assert caller.call('POST', stream, {'n': 1}).is_err()
    caller.call('POST', f'{url}/switch', {'duplicates': 1}).unwrap()
    assert caller.call('POST', stream, {'n': 2}).unwrap().body['offset'] == 2
    log.fault_switches.set(outage=True)
    assert caller.call('POST', stream, {'n': 3}).is_err()
    log.fault_switches.set(outage=False, refusals=1)
    assert caller.call('POST', stream, {'n': 4}).unwrap().status == 503
    page = caller.call('GET', f'{stream}?from=0').unwrap().body
    assert [entry['value']['n'] for entry in page['entries']] == [1, 2, 2]


def test_log_drops_by_count_and_age_and_limits_its_rate():
    clock = ManualClock(1000)
    log = LogStandIn(clock)
    log.fault_switches.set(retention_ms=500)
    for number in range(3):
        request = Request('POST', '/', {'stream': 's'}, {}, {'n': number})
        assert log.append(request).status == 200
        clock.advance(300)
    log.expire('s', 1)
    assert log.first_offsets['s'] == 1
    log.read(Request('GET', '/', {'stream': 's'}, {}, None))
    assert log.first_offsets['s'] == 2
    log.fault_switches.set(appends_per_s=1)
    assert log.append(request).status == 200
    assert log.append(request).status == 503


def test_unknown_switch_is_named(serve, caller):
    url = serve(LogStandIn())
    reply = caller.call('POST', f'{url}/switch', {'dealy_ms': 5}).unwrap()
    assert reply.status == 400
    assert 'delay_ms' in reply.body['detail']


def test_list_shows_changes_after_its_lag():
    clock = ManualClock(1000)
    vms = VmListStandIn(clock)
    vms.list_worker(WorkerSpec('w1', 'p', 'a', 'r', '127.0.0.1:1', CAPACITY))
    vms.fault_switches.set(lag_ms=5000, leaving='w1')
    asked = Request('GET', '/', {}, {'domain': 'a'}, None)
    clock.advance(4999)
    assert vms.read(asked).body['workers'][0]['leaving'] is False
    clock.advance(1)
    assert vms.read(asked).body['workers'][0]['leaving'] is True


def test_lapse_is_seen_before_any_request_after_a_pause():
    clock = ManualClock(1000)
    worker = WorkerStandIn(CAPACITY, 'b', clock)
    lease(worker, task_ttl_ms=1000)
    start(worker, payload='{"run_ms":5000}')
    clock.advance(1001)
    again = start(worker, payload='{"run_ms":5000}')
    assert again.body['state'] == 'lapsed'
    assert worker.starts == {'a.j:0:1': 1}


def test_reboot_fences_starts_meant_for_the_older_boot():
    worker = WorkerStandIn(CAPACITY, 'b', ManualClock(1000))
    lease(worker)
    worker.fault_switches.set(reboot=True)
    assert start(worker, boot='b').status == 409
    assert lease(worker)['boot'] == 'b+2'
    assert start(worker, boot='b').body['code'] == 404
    assert start(worker, boot='b+2').status == 200


def test_late_repeat_of_a_forgotten_start_runs_nothing():
    clock = ManualClock(1000)
    worker = WorkerStandIn(CAPACITY, 'b', clock)
    lease(worker)
    start(worker)
    clock.advance(500)
    ask(worker.forget, task_id='a.j:0:1', term=1)
    assert start(worker).body['state'] == 'done'
    assert worker.starts == {'a.j:0:1': 1}


def test_ledger_notices_overbooking_and_two_live_attempts():
    clock = ManualClock(1000)
    ledger = StartLedger()
    workers = [
        WorkerStandIn(CAPACITY, 'b', clock, name, ledger)
        for name in ('w1', 'w2')
    ]
    for worker in workers:
        lease(worker, task_ttl_ms=1000)
    start(workers[0], 'a.j:0:1', payload='{"run_ms":9000}')
    start(workers[1], 'a.j:0:2', payload='{"run_ms":9000}')
    assert ledger.two_live == [('a.j:0:1', 'a.j:0:2')]
    clock.advance(1001)
    lease(workers[1], task_ttl_ms=1000)
    start(workers[1], 'a.j:0:3', payload='{"run_ms":9000}')
    assert len(ledger.two_live) == 1
    start(workers[1], 'a.k:0:1', cores_milli=13_000)
    assert ledger.overbooked == ['w2']


def test_checkpoint_resume_throttle_and_lagging_usage():
    clock = ManualClock(1000)
    worker = WorkerStandIn(CAPACITY, 'b', clock)
    lease(worker, task_ttl_ms=60_000)
    start(worker, payload='{"run_ms":4000,"used_cores_milli":6000}')
    clock.advance(999)
    assert lease(worker)['reports'][0]['used_cores_milli'] == 0
    clock.advance(1)
    assert lease(worker)['reports'][0]['used_cores_milli'] == 6000
    ask(worker.throttle, task_id='a.j:0:1', term=1, percent=50)
    assert lease(worker)['reports'][0]['used_cores_milli'] == 3000
    clock.advance(1000)
    ask(worker.stop, task_id='a.j:0:1', term=1, checkpoint=True)
    start(worker, 'a.j:0:2', payload='{"run_ms":4000}')
    clock.advance(2499)
    assert lease(worker)['reports'][-1]['state'] == 'running'
    clock.advance(1)
    assert lease(worker)['reports'][-1]['state'] == 'done'


def test_poll_returns_when_a_task_ends_and_fails_where_told():
    worker = WorkerStandIn(CAPACITY, 'b', SystemClock())
    worker.fault_switches.set(fail_all=True)
    since = lease(worker)['seq']
    replies = []
    poll = threading.Thread(
        target=lambda: replies.append(
            lease(worker, since=since, wait_ms=30_000),
        ),
    )
    poll.start()
    start(worker)
    poll.join(20)
    assert replies[0]['reports'][0]['state'] == 'failed'
    assert worker.polls == 2


def test_pause_holds_requests_and_ends_by_switch(serve, caller):
    log = LogStandIn()
    url = serve(log)
    log.fault_switches.set(pause_ms=600_000)
    timed_out = caller.call(
        'POST',
        f'{url}/v1/streams/s',
        {},
        timeout_ms=50,
    )
    assert timed_out.is_err()
    caller.call('POST', f'{url}/switch', {'pause_ms': 0}).unwrap()
    reply = caller.call('POST', f'{url}/v1/streams/s', {}, timeout_ms=9000)
    assert reply.unwrap().status == 200


def test_higher_term_takes_the_lease_and_fences_the_lower():
    worker = WorkerStandIn(CAPACITY, 'b', ManualClock(1000))
    lease(worker, term=1)
    assert lease(worker, term=2)['granted']
    refused = lease(worker, term=1)
    assert (refused['granted'], refused['term']) == (False, 2)
    assert start(worker, term=1).body['code'] == 403
    stopped = ask(worker.stop, task_id='a.j:0:1', term=1, checkpoint=False)
    assert stopped.body['state'] == 'unknown'
    assert start(worker, term=2).status == 200


def test_stop_of_an_unknown_id_makes_it_void():
    worker = WorkerStandIn(CAPACITY, 'b', ManualClock(1000))
    lease(worker)
    other = ask(
        worker.stop,
        task_id='a.j:0:1',
        term=1,
        checkpoint=False,
        boot='older',
    )
    assert other.body['state'] == 'unknown'
    stopped = ask(worker.stop, task_id='a.j:0:1', term=1, checkpoint=False)
    assert stopped.body['state'] == 'not_started'
    assert start(worker).body['state'] == 'not_started'
    assert worker.starts == {}


def test_late_start_is_refused_and_renewal_counts_from_its_time():
    clock = ManualClock(1000)
    worker = WorkerStandIn(CAPACITY, 'b', clock)
    lease(worker, task_ttl_ms=500)
    assert start(worker, until_ms=999).body['code'] == 404
    assert start(worker, until_ms=1000).status == 200
    body = {
        'holder': 'e1',
        'term': 1,
        'ttl_ms': 10_000,
        'task_ttl_ms': 500,
        'since': 0,
        'wait_ms': 0,
    }
    clock.advance(400)
    ask(worker.lease, **body, as_of_ms=0)
    assert worker.task_expiry_ms == 1500
    ask(worker.lease, **body, as_of_ms=1300)
    assert worker.task_expiry_ms == 1800


def test_poll_returns_when_the_worker_leaves():
    worker = WorkerStandIn(CAPACITY, 'b', SystemClock())
    since = lease(worker)['seq']
    replies = []
    poll = threading.Thread(
        target=lambda: replies.append(
            lease(worker, since=since, wait_ms=30_000),
        ),
    )
    poll.start()
    worker.fault_switches.set(leaving=True)
    poll.join(20)
    assert replies[0]['leaving'] is True
    assert start(worker).status == 409


def test_unlisted_worker_is_no_longer_named():
    vms = VmListStandIn(ManualClock(0))
    vms.list_worker(WorkerSpec('w1', 'p', 'a', 'r', '127.0.0.1:1', CAPACITY))
    asked = Request('GET', '/', {}, {'domain': 'a', 'since': '1'}, None)
    assert vms.read(asked).body is None
    vms.fault_switches.set(unlist='w1')
    assert vms.read(asked).body['workers'] == []


def test_a_virtual_run_may_end_without_tasks():
    async def nothing():
        return 'done'

    assert run_virtual(nothing()) == 'done'
