"""Check that late or outdated starts and renewals have no effect.

Holders and workers have clocks of their own, and requests can be delayed or
lost. A start must not run under an expired lease or an older term, and a
renewal must not extend task leases from a later time than it was sent.
"""

import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from lycheerelay._backoff import Backoff
from lycheerelay._clock import ManualClock
from lycheerelay._commands import StartTask
from lycheerelay._events import LeaseHeld, LeaseLost, TasksReported, WorkerSpec
from lycheerelay._http import CallError, HttpCaller
from lycheerelay._jobs import AttemptKey, JobSpec, Kind, TaskState
from lycheerelay._lease import HeldLease, LeaseGrantor
from lycheerelay._renewal_interval import interval_for
from lycheerelay._resources import Resources
from lycheerelay._sender import Sender, WorkerQueue
from lycheerelay._web import Request
from lycheerelay._worker_client import StartReply, _parse_lease_reply
from lycheerelay._worker_link import LinkSettings, WorkerLink
from lycheerelay._worker_links import MAX_CONFIRMATION_AGE_MS, WorkerLinks
from lycheerelay_standins.standins import WorkerStandIn

LOST = Err(CallError('', 'ReadTimeoutError'))
SPEC = JobSpec('a.1', 't', 'desk', Kind.BATCH, payload='{"run_ms": 900000}')
KEY = AttemptKey('a.1', 0, 1)


class FakeClient:
    """Call a stand-in worker directly; lose or delay calls on request."""

    def __init__(self, worker):
        self.worker = worker
        self.cut = False
        self.delayed = None

    def renew(self, request):
        body = request._replace(wait_ms=0)._asdict()
        call = Request('POST', '', {}, {}, body)
        if self.cut:
            return LOST
        if self.delayed is not None:
            self.delayed.append((self.worker.lease, call))
            return LOST
        return Ok(_parse_lease_reply(self.worker.lease(call).body))

    def start(self, term, key, spec, boot='', until_ms=0):
        body = {**spec._asdict(), 'task_id': key.to_text(), 'term': term}
        body.update(boot=boot, until_ms=until_ms)
        call = Request('POST', '', {}, {}, body)
        if self.delayed is not None:
            self.delayed.append((self.worker.start, call))
            return LOST
        reply = self.worker.start(call).body
        return Ok(StartReply(TaskState(reply['state']), reply['code']))


def acquire(link):
    """Renew twice: for the worker's clock, then for its run table."""
    link.renew_once()
    link.renew_once()


class FakeRenewalPolicy:
    may_extend = True

    def renewal_interval(self, pool):
        return interval_for(1, 60_000)

    def may_extend_tasks(self, pool):
        return self.may_extend


class Rig:
    """Connect one worker and any number of holders, each with a clock."""

    def __init__(self):
        self.worker_clock = ManualClock(5_000_000)
        capacity = Resources(16_000, 65_536, 0, 8, 64)
        self.worker = WorkerStandIn(capacity, 'boot-1', self.worker_clock)
        self.events = []

    def holder(self, identity, term):
        clock = ManualClock(1_000_000)
        link = WorkerLink(
            'w1',
            FakeClient(self.worker),
            LinkSettings('desk', identity),
            FakeRenewalPolicy(),
            clock,
            lambda _, event: self.events.append(event),
        )
        link.term = term
        link.wake.wait = lambda _: None
        return link

    def start(self, link):
        """Send a start as the sender does, only under a valid lease."""
        if not link.lease.is_valid(link.term):
            return None
        until_ms = link.start_until_ms()
        return link.client.start(link.term, KEY, SPEC, until_ms=until_ms)

    def pass_time(self, for_ms, *links):
        self.worker_clock.advance(for_ms)
        for link in links:
            link.clock.advance(for_ms)


def test_holder_sends_no_start_after_a_pause_longer_than_its_lease():
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    assert rig.start(link) is not None
    rig.pass_time(20_000, link)
    assert rig.start(link) is None


def test_start_of_the_replaced_holder_is_refused():
    rig = Rig()
    old, new = rig.holder('e1@1', 1), rig.holder('e2@1', 2)
    acquire(old)
    acquire(new)
    assert old.lease.is_valid(1)
    assert rig.start(old).unwrap().state is TaskState.NOT_STARTED
    assert rig.worker.starts == {}
    old.renew_once()
    assert not old.lease.is_valid(1)
    assert isinstance(rig.events[-1], LeaseLost)


def test_second_holder_of_one_term_is_refused():
    rig = Rig()
    first, second = rig.holder('e1@1', 3), rig.holder('e1@2', 3)
    acquire(first)
    acquire(second)
    assert first.lease.is_valid(3)
    assert not second.lease.is_valid(3)


def test_start_that_arrives_after_the_takeover_is_refused():
    rig = Rig()
    old, new = rig.holder('e1@1', 1), rig.holder('e2@1', 2)
    acquire(old)
    old.client.delayed = []
    rig.start(old)
    acquire(new)
    handler, call = old.client.delayed[0]
    assert handler(call).body['state'] == 'not_started'
    assert rig.worker.starts == {}


def test_start_that_arrives_after_its_lease_is_refused_under_the_same_term():
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    link.client.delayed = []
    rig.start(link)
    handler, call = link.client.delayed[0]
    link.client.delayed = None
    rig.pass_time(70_000, link)
    link.renew_once()
    assert link.lease.is_valid(1)
    assert handler(call).body['state'] == 'not_started'
    assert rig.worker.starts == {}


def test_late_renewal_extends_tasks_only_from_when_it_was_sent():
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    rig.start(link)
    link.renew_once()
    link.client.delayed = []
    link.renew_once()
    rig.pass_time(50_000, link)
    handler, call = link.client.delayed[0]
    handler(call)
    rig.pass_time(11_000, link)
    link.client.delayed = None
    link.renew_once()
    assert rig.events[-1].table[0].state is TaskState.LAPSED


@pytest.mark.parametrize('missing', ['permission', 'lease'])
def test_tasks_are_not_extended_without_permission_and_lease(missing):
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    rig.start(link)
    link.renew_once()
    expiry_ms = rig.worker.table.expiry_ms
    link.renewal_policy.may_extend = missing != 'permission'
    link.held = missing != 'lease'
    rig.pass_time(5000, link)
    link.renew_once()
    assert rig.worker.table.expiry_ms == expiry_ms


def test_lease_is_reported_only_once_tasks_are_extended():
    rig = Rig()
    link = rig.holder('e1@1', 1)
    link.renew_once()
    assert rig.events == []
    link.renew_once()
    assert isinstance(rig.events[0], LeaseHeld)
    assert rig.worker.table.expiry_ms == rig.worker_clock.now_ms() + 60_000


RATES = st.floats(0.99, 1.01)


@settings(derandomize=True, deadline=None)
@given(RATES, RATES, st.integers(3000, 300_000), st.integers(0, 400_000))
def test_holder_stops_before_the_grantor_at_rates_off_by_a_percent(
    holder_rate,
    grantor_rate,
    ttl_ms,
    passed_ms,
):
    holder_clock, grantor_clock = ManualClock(), ManualClock()
    lease = HeldLease(holder_clock, ttl_ms, 1000)
    grantor = LeaseGrantor(grantor_clock)
    grantor.request('e1', 1, ttl_ms)
    lease.extend(1, 0)
    holder_clock.advance(int(passed_ms * holder_rate))
    grantor_clock.advance(int(passed_ms * grantor_rate))
    assert grantor.admits(1) or not lease.is_valid(1)


def test_link_reports_table_changes_and_loss():
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    rig.start(link)
    link.renew_once()
    kinds = [type(event) for event in rig.events]
    assert kinds == [LeaseHeld, TasksReported]
    link.client.cut = True
    link.renew_once()
    assert len(rig.events) == 2
    rig.pass_time(10_000, link)
    link.renew_once()
    assert isinstance(rig.events[-1], LeaseLost)
    link.client.cut = False
    acquire(link)
    assert [report.key for report in rig.events[-1].table] == [KEY]


def test_reboot_is_followed_by_the_whole_run_table():
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    rig.worker.boot = 'boot-2'
    link.renew_once()
    link.renew_once()
    assert rig.events[-1] == LeaseHeld('w1', 1, 'boot-2', False, ())


def make_links():
    clock = ManualClock(1_000_000)
    posted = []
    links = WorkerLinks(
        'e1@1',
        HttpCaller(),
        clock,
        lambda pool, event: posted.append(event),
    )
    capacity = Resources(1000, 1000, 0, 8, 64)
    specs = [
        WorkerSpec(f'w{number}', 'desk', 'a', 'r', '127.0.0.1:9', capacity)
        for number in range(3)
    ]
    links.update_listed(specs)
    return links, specs, clock, posted


def test_tasks_are_extended_after_a_recent_log_read_or_most_renewals():
    links, _, clock, _ = make_links()
    assert not links.may_extend_tasks('desk')
    links.log_read_ms = clock.now_ms()
    assert links.may_extend_tasks('desk')
    clock.advance(MAX_CONFIRMATION_AGE_MS)
    assert not links.may_extend_tasks('desk')
    links.get('w0').renewed_ms = clock.now_ms()
    assert not links.may_extend_tasks('desk')
    links.get('w1').renewed_ms = clock.now_ms()
    assert links.may_extend_tasks('desk')


def test_unlisted_worker_leaves_no_link_or_thread_behind():
    links, specs, _, posted = make_links()
    links.claim('desk', 4)
    threads = [link.thread for link in links.links.values()]
    assert all(thread.is_alive() for thread in threads)
    links.update_listed(specs[:1])
    assert [event.worker for event in posted] == ['w1', 'w2']
    links.claim('desk', 4)
    assert list(links.links) == ['w0']
    links.stop()
    for thread in threads:
        thread.join(10)
        assert not thread.is_alive()


def test_renewals_slow_down_within_a_third_of_the_task_lease():
    assert interval_for(9, 60_000).wait_ms == 3000
    assert interval_for(200, 180_000).wait_ms == 56_000
    assert interval_for(200, 60_000).wait_ms == 20_000
    assert interval_for(200, 60_000).ttl_ms > 2 * 20_000


class QueueClient:
    """Reply for a live worker, hang for an unresponsive one."""

    def __init__(self, started, unresponsive, clock):
        self.started = started
        self.unresponsive = unresponsive

    def start(self, term, key, spec, boot='', until_ms=0):
        if self.unresponsive.is_set():
            self.unresponsive.hanging.wait(30)
            return LOST
        self.started.append(key)
        return Ok(StartReply(TaskState.RUNNING, 0))


def test_unresponsive_workers_do_not_delay_the_others():
    class Unresponsive(threading.Event):
        hanging = threading.Event()

    clock = ManualClock(1000)
    started, answered = [], threading.Semaphore(0)
    links = {}
    for number in range(20):
        flag = Unresponsive()
        if number < 19:
            flag.set()
        link = WorkerLink(
            f'w{number}',
            QueueClient(started, flag, clock),
            LinkSettings('desk', 'e1@1'),
            FakeRenewalPolicy(),
            clock,
            lambda *_: None,
        )
        link.term = 1
        link.lease.extend(1, clock.now_ms(), 60_000)
        links[f'w{number}'] = link
    sender = Sender(links.get, lambda *_: answered.release(), clock, 8)
    for number in range(19):
        sender.queues[f'w{number}'] = queue_of(f'w{number}')
    for number in range(20):
        sender.send(StartTask(f'w{number}', 1, KEY, SPEC))
    assert answered.acquire(timeout=20)
    assert started == [KEY]
    Unresponsive.hanging.set()
    sender.stop()


def queue_of(worker):
    queue = WorkerQueue(worker, Backoff(worker))
    queue.backoff.failures = 1
    return queue


def test_commands_without_a_lease_are_dropped_and_the_run_table_requested():
    clock = ManualClock(1000)
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    link.needs_run_table = False
    link.lease.drop()
    sender = Sender({'w1': link}.get, lambda *_: None, clock, 0)
    sender.send(StartTask('w1', 1, KEY, SPEC))
    sender._send_next(sender._next_queue())
    assert (sender.dropped, link.needs_run_table) == (1, True)
    assert sender.queues == {}


def test_repeated_start_of_an_ended_task_leaves_the_answer_to_the_report():
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    payload = '{"run_ms": 50, "answer": "17 dB"}'
    short = SPEC._replace(payload=payload)
    link.renew_once()
    link.client.start(1, KEY, short)
    rig.pass_time(60, link)
    answered = []
    sender = Sender(
        {'w1': link}.get, lambda *pair: answered.append(pair), ManualClock(), 0
    )
    sender.send(StartTask('w1', 1, KEY, short))
    sender._send_next(sender._next_queue())
    assert (sender.sent, answered) == (1, [])
    link.renew_once()
    assert rig.events[-1].reports[0].answer == '17 dB'


def test_refusal_for_an_old_term_ends_no_attempt():
    rig = Rig()
    old, new = rig.holder('e1@1', 1), rig.holder('e2@1', 2)
    acquire(old)
    acquire(new)
    old.needs_run_table = False
    posted = []
    sender = Sender(
        {'w1': old}.get,
        lambda *pair: posted.append(pair),
        ManualClock(),
        0,
    )
    sender.send(StartTask('w1', 1, KEY, SPEC))
    sender._send_next(sender._next_queue())
    assert (posted, old.needs_run_table) == ([], True)


def test_refused_repeat_is_resolved_by_the_run_table():
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    link.needs_run_table = False
    posted = []
    clock = ManualClock(1000)
    sender = Sender(
        {'w1': link}.get, lambda *pair: posted.append(pair), clock, 0
    )
    sender.send(StartTask('w1', 1, KEY, SPEC))
    link.client.delayed = []
    sender._send_next(sender._next_queue())
    link.client.delayed = None
    rig.worker.leaving = True
    clock.advance(10_000)
    sender._send_next(sender._next_queue())
    assert (posted, link.needs_run_table) == ([], True)
    sender.send(StartTask('w1', 1, KEY, SPEC))
    sender._send_next(sender._next_queue())
    assert posted[0][1].state is TaskState.NOT_STARTED


def test_handed_back_lease_ends_while_tasks_go_on():
    rig = Rig()
    link = rig.holder('e1@1', 1)
    acquire(link)
    rig.start(link)
    link.hand_back()
    assert not rig.worker.grantor.admits(1)
    assert not link.lease.is_valid(1)
    rig.pass_time(5000, link)
    successor = rig.holder('e2@1', 2)
    acquire(successor)
    assert rig.events[-1].table[0].state is TaskState.RUNNING
