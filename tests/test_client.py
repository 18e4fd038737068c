"""Test the retries of the client across entry VMs."""

from collections import deque

import pytest

from lycheerelay._retry import BURST_TOKENS
from lycheerelay._web import Response, WebServer, route
from lycheerelay.client import Client, ClientSettings, Code, JobSpec, Kind
from lycheerelay.clock import ManualClock

SPEC = JobSpec('a.one', 't', 'desk', Kind.BATCH)
ACCEPTED = Response(202, {'code': 100, 'job_id': 'a.one', 'newer_field': 1})


class Entry:
    """Answer with scripted responses; the last one repeats."""

    def __init__(self, *script):
        self.script, self.job_ids = deque(script), []
        self.server = WebServer(
            '127.0.0.1',
            0,
            (route('POST', '/v1/jobs', self.answer),),
            4,
        )
        self.server.start()

    def answer(self, request):
        self.job_ids.append(request.body['job_id'])
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
    clock, sleeps_ms = ManualClock(1000), []

    def sleep(seconds):
        sleeps_ms.append(int(seconds * 1000))
        clock.advance(sleeps_ms[-1])

    settings = ClientSettings(addresses, patience_ms=patience_ms)
    client = Client(settings, clock, sleep)
    client.address_index = 0
    return client, sleeps_ms


def test_next_entry_vm_is_tried_without_delay(entries):
    draining = entries(refusal(503, 303, 1000))
    ready = entries(ACCEPTED)
    client, sleeps_ms = client_of(
        '127.0.0.1:9',
        draining.server.address,
        ready.server.address,
    )
    assert client.submit(SPEC).unwrap().job_id == 'a.one'
    assert draining.job_ids == ready.job_ids == ['a.one']
    assert sleeps_ms == []


def test_retry_after_is_honoured(entries):
    busy = entries(refusal(429, 301, 1500), refusal(429, 301, 2500), ACCEPTED)
    client, sleeps_ms = client_of(busy.server.address)
    assert client.submit(SPEC).unwrap().code == 100
    assert sleeps_ms == [1500, 2500]


def test_final_refusals_are_not_repeated(entries):
    never = entries(refusal(422, 300, 0, not_run=True))
    client, sleeps_ms = client_of(never.server.address)
    refused = client.submit(SPEC).unwrap_err()
    assert (refused.code, refused.not_run) == (Code.NEVER_FITS, True)
    assert (len(never.job_ids), sleeps_ms) == (1, [])


def test_budget_and_time_limit_bound_the_retries(entries):
    down = entries(refusal(503, 302, 10))
    client, sleeps_ms = client_of(down.server.address)
    assert client.submit(SPEC).unwrap_err().code is Code.NOT_KEPT
    assert len(sleeps_ms) == BURST_TOKENS
    client, sleeps_ms = client_of(down.server.address, patience_ms=25)
    assert client.submit(SPEC).unwrap_err().code is Code.NOT_KEPT
    assert sleeps_ms == [10, 10]


def test_answer_without_code_leaves_the_effect_unknown(entries):
    odd = entries(Response(502, None, text='bad gateway'))
    client, _ = client_of(odd.server.address, patience_ms=1)
    refused = client.submit(SPEC).unwrap_err()
    assert (refused.code, refused.not_run) == (Code.UNREACHABLE, False)
