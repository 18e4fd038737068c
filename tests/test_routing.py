"""Test the routing between entry VMs with a scripted caller."""

import pytest
from result import Err, Ok

from lycheerelay._clock import ManualClock
from lycheerelay._codes import Code
from lycheerelay._http import CallError, Reply
from lycheerelay._routing import (
    MAX_HOPS,
    MAX_IN_FLIGHT,
    ROUTE_TIMEOUT_MS,
    JobLocation,
    Router,
    RouterSettings,
)
from lycheerelay._web import Request

TIMED_OUT = Err(CallError('', 'ReadTimeoutError'))


class FakeMembers:
    def alive_in_domain(self):
        return ('a1', 'a2', 'a3')

    def alive_in(self, domain):
        return ('b1', 'b2', 'b3') if domain == 'b' else ()

    def address_of(self, name):
        return name

    def is_alive(self, identity):
        return identity == 'a2@7'


class FakeDirectory:
    def __init__(self, owner='a2@7', located=None):
        self.owner = owner
        self.located = located

    def owner_of(self, workload):
        return self.owner

    def owners(self):
        return (self.owner,)

    def locate(self, job_id):
        return self.located


class FakeCaller:
    def __init__(self, clock, replies, cost_ms=0):
        self.clock = clock
        self.replies = list(replies)
        self.cost_ms = cost_ms
        self.calls = []

    def call(self, method, url, body=None, timeout_ms=0):
        self.calls.append((url, timeout_ms))
        self.clock.advance(min(self.cost_ms, timeout_ms))
        return self.replies.pop(0) if self.replies else TIMED_OUT


def make(replies, directory=None, cost_ms=0):
    clock = ManualClock()
    caller = FakeCaller(clock, replies, cost_ms)
    settings = RouterSettings('a1', 'a')
    parts = (directory or FakeDirectory(), FakeMembers(), caller, clock)
    return Router(settings, *parts), caller


def request(**query):
    return Request('POST', '/v1/jobs', {}, query, {'job_id': 'x'})


def test_submission_goes_to_the_owner():
    router, caller = make([Ok(Reply(202, {'code': 100}))])
    assert router.submit(request(), 'a.1', 'desk').status == 202
    assert caller.calls[0][0].startswith('http://a2/v1/jobs?hop=1&left_ms=')


@pytest.mark.parametrize('owner', ['', 'a1@7'])
def test_requests_without_another_owner_are_answered_locally(owner):
    router, caller = make([], FakeDirectory(owner))
    assert router.submit(request(), 'a.1', 'desk') is None
    assert caller.calls == []


def test_hops_are_bounded():
    router, caller = make([])
    hopped = request(hop=str(MAX_HOPS))
    assert router.submit(hopped, 'a.1', 'desk') is None
    crossed = router.submit(request(hop='1'), 'b.1', 'desk')
    assert crossed.body['code'] == Code.NO_OWNER
    assert caller.calls == []


@pytest.mark.parametrize('job_id', ['a.1', 'b.1', 'unknown.1'])
def test_refusal_of_unreachable_owner_never_sets_not_run(job_id):
    router, _ = make([])
    refusal = router.submit(request(), job_id, 'desk')
    assert refusal.body['code'] == Code.NO_OWNER
    assert refusal.body['not_run'] is False
    assert refusal.retry_after_ms > 0


def test_attempts_share_one_timeout():
    router, caller = make([], cost_ms=10_000)
    router.submit(request(), 'b.1', 'desk')
    assert len(caller.calls) == 3
    assert sum(timeout for _, timeout in caller.calls) <= ROUTE_TIMEOUT_MS


def test_retries_stay_within_the_budget_in_an_outage():
    router, caller = make([])
    for number in range(1000):
        router.submit(request(), f'b.{number}', 'desk')
    assert 1000 < len(caller.calls) <= 1000 + 100 + 10


def test_read_falls_back_to_the_replica():
    directory = FakeDirectory(located=JobLocation('a2@7', is_final=False))
    router, caller = make([], directory)
    assert router.read(request(), 'a.1') is None
    assert len(caller.calls) == 1


def test_final_job_is_read_locally():
    directory = FakeDirectory(located=JobLocation('a2@7', is_final=True))
    router, caller = make([], directory)
    assert router.read(request(), 'a.1') is None
    assert caller.calls == []


def test_unknown_job_is_looked_up_at_the_owners():
    router, _ = make([Ok(Reply(200, {'state': 'queued'}))])
    assert router.read(request(), 'a.1').status == 200
    router, _ = make([Ok(Reply(404, {}))])
    assert router.read(request(), 'a.1') is None


def test_unresponsive_owner_is_not_called():
    located = JobLocation('a2@6', is_final=False)
    router, caller = make([], FakeDirectory('a2@6', located))
    refusal = router.submit(request(), 'a.1', 'desk')
    assert refusal.body['code'] == Code.NO_OWNER
    assert router.read(request(), 'a.1') is None
    assert caller.calls == []


def test_hanging_node_occupies_a_bounded_number_of_threads():
    router, caller = make([])
    router.in_flight['a2'] = MAX_IN_FLIGHT
    refusal = router.submit(request(), 'a.1', 'desk')
    assert refusal.body['code'] == Code.NO_OWNER
    assert refusal.body['not_run'] is False
    assert (caller.calls, router.rejected_calls) == ([], 1)
    router.in_flight['a2'] = 0
    router.submit(request(), 'a.1', 'desk')
    assert (len(caller.calls), router.in_flight['a2']) == (1, 0)
