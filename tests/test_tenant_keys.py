"""Test which callers are served, and that their keys stay secret."""

import asyncio
import logging
from typing import Any

import orjson
import pytest

from lycheerelay._codes import Code
from lycheerelay.platform import decode_config, decode_job
from lycheerelay.serving import (
    Identity,
    KeyedRecord,
    Queue,
    QueueTable,
    digest_of,
)
from lycheerelay.serving._request_result import RequestStatus
from lycheerelay.serving._state_query import StateQuery
from lycheerelay.serving._tenant_monitor import Shortage
from lycheerelay.workflow import QueuePolicy
from lycheerelay.workflow._tenant_rates import TokenBucket
from lycheerelay.workflow.tenants import PoolBacklog, TenantPolicy
from lycheerelay_standins.platform import CellShape, PlatformCell
from platform_days import STORE, job, play, step
from tenant_calls import (
    ADA,
    BOB,
    KEYS,
    begin,
    call,
    other_vm,
    publish,
    request,
    status,
)

JOB = 'a1' * 8
OTHER_JOB = 'b2' * 8
# Without a worker the jobs wait, and no run needs to be audited.
IDLE = CellShape(workers=())


def test_each_call_of_a_queue_needs_a_key(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against calls without a valid key, and against keys in logs."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        for method, name in (
            ('POST', JOB),
            ('GET', JOB),
            ('DELETE', JOB),
            ('GET', ''),
        ):
            for key in ('', 'guessed', 'key-of-ad\udcff'):
                assert (
                    await status(cell, 'vm-0', request(method, name, key))
                    == 401
                )
        assert not cell.store.partition('keyed.jobs').records
        assert await status(cell, 'vm-0', request('POST', JOB, ADA)) == 200
        assert (
            await status(cell, 'vm-1', request('GET', JOB, 'second-of-ada'))
            == 200
        )
        assert await status(cell, 'vm-2', request('GET', '', ADA)) == 200
        public = request('POST', OTHER_JOB, queue='open')
        assert await status(cell, 'vm-0', public) == 200
        assert (
            await status(cell, 'vm-0', request('GET', JOB, ADA, 'none')) == 404
        )
        metrics = cell.entries['vm-0'].render_metrics()
        assert 'callers_refused_total{cause="missing_key"} 4' in metrics
        assert 'callers_refused_total{cause="unknown_key"} 8' in metrics
        assert 'lycheerelay_config_age_ms' in metrics
        assert not any(key in metrics for held in KEYS.values() for key in held)

    caplog.set_level(logging.INFO)
    play(scenario, IDLE)
    lines = [record.__dict__ for record in caplog.records]
    refused = [line for line in lines if line['msg'] == 'caller_refused']
    assert refused[1]['key_digest'] == digest_of('guessed').hex()[:8]
    assert refused[1]['version'] == 2
    assert 0 <= refused[1]['version_age_ms'] < 2000
    text = str(lines)
    assert 'guessed' not in text
    assert not any(key in text for held in KEYS.values() for key in held)


def test_a_job_of_another_tenant_is_unknown() -> None:
    """Guards against a tenant that sees, counts or cancels others' jobs."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        for vm in cell.entries:
            await status(cell, vm, request('POST', JOB, ADA))
        for vm in cell.entries:
            assert await status(cell, vm, request('GET', JOB, BOB)) == 410
            assert await status(cell, vm, request('DELETE', JOB, BOB)) == 410
            assert await status(cell, vm, request('GET', JOB, ADA)) == 200
            # A public queue is no way to the jobs of other queues.
            for method in ('GET', 'DELETE'):
                by_open = request(method, JOB, queue='open')
                assert await status(cell, vm, by_open) == 410
        cell.kill_vm(cell.owner())
        vm = next(iter(cell.entries))
        # A VM stores this cancellation while no owner knows the job.
        cell.store.put('keyed.jobs', f'cancel/{JOB}', {'tenant': 'bob'})
        await asyncio.sleep(8)
        assert await status(cell, vm, request('GET', JOB, BOB)) == 410
        _, fields = await call(cell, vm, request('GET', JOB, ADA))
        assert fields['state'] != 'cancelled'
        assert await status(cell, vm, request('DELETE', JOB, ADA)) == 200

    play(scenario, IDLE)


def test_callers_of_a_queue_that_became_public_keep_their_jobs() -> None:
    """Guards against a 410 for accepted jobs whose callers send no key now."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        assert await status(cell, 'vm-0', request('POST', JOB, ADA)) == 200
        publish(cell, public=('open', 'batch'), **KEYS)
        await asyncio.sleep(3)
        for vm in cell.entries:
            assert await status(cell, vm, request('GET', JOB)) == 200
        assert await status(cell, 'vm-0', request('DELETE', JOB)) == 200
        await asyncio.sleep(1)
        _, fields = await call(cell, 'vm-0', request('GET', JOB))
        assert fields['state'] == 'cancelled'

    play(scenario, IDLE)


def test_waiting_jobs_of_other_tenants_are_not_counted() -> None:
    """Guards against counts from which a tenant learns the load of others."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        for name, key in ((JOB, ADA), (OTHER_JOB, BOB)):
            await status(cell, 'vm-0', request('POST', name, key))
        for vm in cell.entries:
            _, fields = await call(cell, vm, request('GET', '', ADA))
            assert fields['waiting'] == 1

    play(scenario, IDLE)


def test_a_key_that_is_revoked_while_the_body_arrives() -> None:
    """Guards against a check that precedes a slow body only."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        slow = request('POST', JOB, ADA)
        slow.sent.clear()
        answer = asyncio.ensure_future(status(cell, 'vm-0', slow))
        await asyncio.sleep(0.1)
        publish(cell, bob=KEYS['bob'])
        await asyncio.sleep(1)
        # The key is checked before the body is looked at.
        slow.body = b'{'
        slow.sent.set()
        assert await answer == 401
        assert not cell.store.partition('keyed.jobs').records

    play(scenario, IDLE)


def test_a_submission_is_checked_again_before_it_is_appended() -> None:
    """Guards against a revoked key used by a retry, or by the owner."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell, strict=False)
        late, owner = other_vm(cell), cell.owner()
        entry = cell.entries[late]
        before = entry.ingress.admit(request('POST', JOB, ADA)).unwrap()
        cell.net.refusing.add((late, STORE))
        await asyncio.sleep(1)
        publish(cell, ada=('second-of-ada',), bob=KEYS['bob'])
        await asyncio.sleep(2)
        assert cell.owner() == owner
        # This VM still holds the version with the key.
        assert entry.config.table.version == before.table.version
        assert await status(cell, late, request('POST', JOB, ADA)) == 401
        assert await status(cell, late, request('GET', JOB, ADA)) == 401
        known = request('POST', OTHER_JOB, 'second-of-ada')
        assert await status(cell, late, known) == 200
        spec = decode_job(
            orjson.dumps(job(step(1))), JOB, before.queue.policy, 0, 'ada'
        ).unwrap()
        handler = cell.entries[owner].handler
        outcome = await handler.submit(spec, 3000, before.identity)
        assert outcome.status.value == 'key_refused'
        keys = cell.store.partition('keyed.jobs').newest
        assert set(keys) == {f'job/{OTHER_JOB}'}

    play(scenario, IDLE)


def test_an_answer_about_a_revoked_key_keeps_the_rows_of_tenants() -> None:
    """Guards against a revoked key that lets a surge through.

    An answer without rows says that the owner has no tenant over its rate.
    """

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        owner = cell.entries[cell.owner()].handler.owner
        assert owner is not None
        backlog = PoolBacklog('cpu', {'bob': 9}, 5000, 2000, True, 8000)
        owner.tenants.shortages['cpu'] = Shortage(backlog, 0)
        vm = cell.entries[other_vm(cell)]
        revoked = Identity('ada', digest_of('revoked').hex(), 1)
        await vm.handler.state(JOB, 'batch', 3000)
        assert vm.handler.tenant_gate.rows.rows
        refused = await vm.handler.state(JOB, 'batch', 3000, revoked)
        assert refused.status is RequestStatus.KEY_REFUSED
        assert vm.handler.tenant_gate.rows.rows
        refused = await vm.handler.waiting('batch', 3000, revoked)
        assert refused.status is RequestStatus.KEY_REFUSED
        assert vm.handler.tenant_gate.rows.rows

    play(scenario, IDLE)


def test_a_refusal_for_the_rate_tells_whose_key_was_used(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against refusals that operators cannot assign to a key."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        owner = cell.entries[cell.owner()].handler.owner
        assert owner is not None
        owner.cell.tenants.window_ms = 5000
        account = owner.cell.tenants.accounts['bob']
        account.bucket = TokenBucket(0, cell.clock.now_ms())
        backlog = PoolBacklog('cpu', {'bob': 9}, 5000, 2000, True, 8000)
        owner.tenants.shortages['cpu'] = Shortage(backlog, 0)
        refused = request('POST', JOB, BOB)
        assert await status(cell, cell.owner(), refused) == 429

    with caplog.at_level(logging.INFO, 'lycheerelay'):
        play(scenario, IDLE)
    (line,) = [
        record.__dict__
        for record in caplog.records
        if getattr(record, 'verdict', '') == 'over_rate'
    ]
    assert line['key_digest'] == digest_of(BOB).hex()[:8]
    assert line['tenant'] == 'bob'
    assert line['version'] > 0
    assert 0 <= line['version_age_ms'] < 5000


def test_an_owner_with_an_older_version_trusts_the_sender() -> None:
    """Guards against new keys that fail until the owner has read them."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        identity = Identity('new', digest_of('key-of-new').hex(), 99)
        answer = await cell.entries[cell.owner()].handler.answers.state(
            StateQuery(JOB, identity)
        )
        assert answer is not None
        assert 'key_revoked' not in answer

    play(scenario, IDLE)


def test_the_workflow_api_requires_the_key() -> None:
    """Guards against the workflow API as a way around the keys."""
    document = {
        'job_id': 'nightly.7',
        'queue': 'batch',
        'steps': [{'width': 1, 'expected_ms': 500, 'cores_milli': 1000}],
    }

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)

        async def code(method: str, target: str, key: str = '') -> Any:
            reply = await cell.entries['vm-0'].workflows.answer(
                method,
                f'/v1/workflows{target}',
                orjson.dumps(document),
                {'X-Api-Key': key} if key else {},
            )
            return reply.fields()['code']

        for key in ('', 'guessed'):
            for target in ('POST ', 'GET /nightly.7', 'DELETE /nightly.7'):
                assert await code(*target.split(' '), key) == Code.KEY_REFUSED
            assert await code('GET', '?queue=batch', key) == Code.KEY_REFUSED
        # A refused cancelling must not cancel a job of that id later.
        assert not cell.store.partition('keyed.jobs').newest
        assert await code('POST', '', ADA) == Code.ACCEPTED
        assert await code('GET', '/nightly.7', ADA) == Code.ACCEPTED
        assert await code('GET', '/nightly.7') == Code.KEY_REFUSED
        assert await code('GET', '/nightly.7', BOB) == Code.NOT_FOUND
        document.update(queue='open', job_id='public.1')
        assert await code('POST', '') == Code.ACCEPTED
        assert await code('GET', '/public.1') == Code.ACCEPTED
        cell.net.cuts.add(('vm-0', '*'))
        await asyncio.sleep(6)
        assert await code('GET', '/nightly.7', ADA) == Code.CONFIG_TOO_OLD

    play(scenario, IDLE)


class Unscannable(tuple[Queue, ...]):
    """Queues that must not be scanned."""

    def __iter__(self) -> Any:
        """Fail: a lookup takes as long as there are queues."""
        raise AssertionError('the queues are scanned')


class CountingDict(dict[str, Queue]):
    """Count the lookups."""

    lookups = 0

    def get(self, *arguments: Any) -> Any:
        """Count and delegate."""
        self.lookups += 1
        return super().get(*arguments)


def test_a_lookup_does_not_scan_the_queues() -> None:
    """Guards against lookups that slow down when 1,900 queues are added."""
    queues = tuple(
        Queue(
            'h',
            f'/q{number:04}/{"sub/" * (number % 3)}',
            QueuePolicy(f'q{number}', 'cpu', 1, 1, 0),
        )
        for number in range(1900)
    )
    tenant = TenantPolicy('ada', keys=frozenset((digest_of(ADA),)))
    table = QueueTable(1, queues, frozenset(), 1, (tenant,), True)
    table.queues = Unscannable()
    index = table.queues_by_host['h']
    index.queues = CountingDict(index.queues)
    for queue in queues:
        assert table.find('h', f'{queue.prefix}abc') is queue
        assert table.named(queue.policy.name) is queue
    assert table.find('h', '/q0002/abc') is None
    assert index.queues.lookups <= 3 * 1901
    assert table.find_tenant(ADA) is tenant
    assert table.find_tenant(BOB) is None


@pytest.mark.parametrize('keys', ['secret-key', [71829], [['secret-key']]])
def test_malformed_keys_are_neither_used_nor_logged(
    keys: Any, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a text read as keys of one character, and error texts."""
    config = {
        'version': 1,
        'routes': [],
        'services': [],
        'limits': {'maxBodyBytes': 1},
        'tenants': [{'name': 'ada', 'apiKeys': keys}],
    }
    record = KeyedRecord('config', orjson.dumps(config), 1)
    assert decode_config(record) is None
    text = str([line.__dict__ for line in caplog.records])
    assert 'ada: apiKeys' in text
    assert '71829' not in text
    assert 'secret-key' not in text


def test_a_large_configuration_reaches_a_vm_on_a_slow_link() -> None:
    """Guards against reads that time out during a transfer of two seconds."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        cell.net.bytes_per_s['vm-0'] = 50_000
        keys = tuple(f'{number:020}' for number in range(4000))
        publish(cell, ada=keys)
        await asyncio.sleep(6)
        assert await status(cell, 'vm-0', request('GET', JOB, keys[-1])) == 410

    play(scenario, IDLE)
