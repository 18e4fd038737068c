"""Repeat requests under one id, within a budget, at several entry VMs."""

from collections import deque

import pytest

from lycheerelay._retry import BURST_TOKENS
from lycheerelay._web import Response, WebServer, route
from lycheerelay.client import Client, ClientSettings, Code, JobSpec, Kind
from lycheerelay.clock import ManualClock

SPEC = JobSpec('a.one', 't', 'desk', Kind.BATCH)
KEPT = Response(202, {'code': 100, 'job_id': 'a.one', 'newer_field': 1})


class Entry:
    """Answer from a script; repeat its last line."""

    def __init__(self, *script):
        self.script, self.seen = deque(script), []
        self.server = WebServer(
            '127.0.0.1',
            0,
            (route('POST', '/v1/jobs', self.answer),),
            4,
        )
        self.server.start()

    def answer(self, request):
        self.seen.append(request.body['job_id'])
        if len(self.script) > 1:
            return self.script.popleft()
        return self.script[0]


def refusal(status, code, retry_after_ms=0, not_run=False):
    body = {
        'code': code,
        'detail': 'as scripted',
        'not_run': not_run,
        'retry_after_ms': retry_after_ms,
    }
    return Response(status, body)


@pytest.fixture
def entries():
    made = []

    def add(*script):
        made.append(Entry(*script))
        return made[-1]

    yield add
    for entry in made:
        entry.server.stop()


def client_of(*addresses, patience_ms=30_000):
    clock, naps = ManualClock(1000), []

    def sleep(seconds):
        naps.append(int(seconds * 1000))
        clock.advance(naps[-1])

    settings = ClientSettings(addresses, patience_ms=patience_ms)
    client = Client(settings, clock, sleep)
    client.position = 0
    return client, naps


def test_next_entry_vm_is_tried_at_once(entries):
    draining = entries(refusal(503, 303, 1000))
    ready = entries(KEPT)
    client, naps = client_of(
        '127.0.0.1:9',
        draining.server.address,
        ready.server.address,
    )
    assert client.submit(SPEC).unwrap().job_id == 'a.one'
    assert draining.seen == ready.seen == ['a.one']
    assert naps == []


def test_retry_after_is_honoured(entries):
    busy = entries(refusal(429, 301, 1500), refusal(429, 301, 2500), KEPT)
    client, naps = client_of(busy.server.address)
    assert client.submit(SPEC).unwrap().code == 100
    assert naps == [1500, 2500]


def test_final_refusals_are_not_repeated(entries):
    never = entries(refusal(422, 300, 0, not_run=True))
    client, naps = client_of(never.server.address)
    refused = client.submit(SPEC).unwrap_err()
    assert (refused.code, refused.not_run) == (Code.NEVER_FITS, True)
    assert (len(never.seen), naps) == (1, [])


def test_budget_and_patience_bound_the_retries(entries):
    down = entries(refusal(503, 302, 10))
    client, naps = client_of(down.server.address)
    assert client.submit(SPEC).unwrap_err().code is Code.NOT_KEPT
    assert len(naps) == BURST_TOKENS
    hurried, naps = client_of(down.server.address, patience_ms=25)
    assert hurried.submit(SPEC).unwrap_err().code is Code.NOT_KEPT
    assert naps == [10, 10]


def test_answer_without_code_leaves_the_effect_unknown(entries):
    odd = entries(Response(502, None, text='bad gateway'))
    client, _ = client_of(odd.server.address, patience_ms=1)
    refused = client.submit(SPEC).unwrap_err()
    assert (refused.code, refused.not_run) == (Code.UNREACHABLE, False)
