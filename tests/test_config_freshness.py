"""Test that a VM serves keys exactly as long as its configuration is fresh.

Guards against a revoked key that still works at a VM that is cut off, frozen or
turned away by the store, and against refusals without need.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import orjson
import pytest
from result import Err, Ok, Result

from lycheerelay.platform import decode_config
from lycheerelay.serving import (
    EVERYONE,
    ConfigFreshness,
    ConfigWatch,
    KeyedRecord,
    LogFault,
    Queue,
    RecordPage,
)
from lycheerelay.serving._credentials import identify
from lycheerelay.workflow import QueuePolicy
from lycheerelay_standins.platform import CellShape, PlatformCell, run_virtual
from lycheerelay_standins.platform._virtual_time import LoopClock
from platform_days import STORE, play
from tenant_calls import (
    ADA,
    BOB,
    KEYS,
    REVOCATION_MS,
    begin,
    call,
    other_vm,
    publish,
    request,
    status,
)

JOB = 'a1' * 8
IDLE = CellShape(workers=())
# Time in ms since the last contact with the store until which calls are served.
SERVED_MS = 3000


async def _poll_until(
    cell: PlatformCell, vm: str, until_ms: int
) -> list[tuple[int, int]]:
    """Return the time in ms and the status of a call every 50 ms."""
    begun_ms = cell.clock.now_ms()
    seen = []
    while cell.clock.now_ms() - begun_ms <= until_ms:
        at_ms = cell.clock.now_ms() - begun_ms
        # This call needs no owner, and so shows the check of the key only.
        sent = request('GET', 'malformed', ADA)
        seen.append((at_ms, await status(cell, vm, sent)))
        await asyncio.sleep(0.05)
    return seen


@pytest.mark.parametrize('slow_ms', [0, 240])
@pytest.mark.parametrize('offset_ms', range(0, 1300, 130))
def test_a_vm_that_is_cut_off_serves_keys_for_a_bounded_time(
    offset_ms: int, slow_ms: int
) -> None:
    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        cell.net.slow[STORE] = slow_ms
        await asyncio.sleep(3 + offset_ms / 1000)
        cell.net.cuts.add(('vm-0', '*'))
        publish(cell, bob=KEYS['bob'])
        seen = await _poll_until(cell, 'vm-0', 8000)
        assert {code for at_ms, code in seen if at_ms <= SERVED_MS} == {404}
        assert {code for at_ms, code in seen if at_ms > REVOCATION_MS} == {503}
        refused, fields = await call(cell, 'vm-0', request('POST', JOB, ADA))
        assert (refused, fields['retry_after']) == (503, '1')
        assert 'has not run' in fields['error']
        public = request('GET', 'malformed', queue='open')
        assert await status(cell, 'vm-0', public) == 404
        cell.net.cuts.clear()
        await asyncio.sleep(1.5)
        assert await status(cell, 'vm-0', request('GET', JOB, ADA)) == 401
        assert await status(cell, 'vm-0', request('GET', JOB, BOB)) == 410

    play(scenario, IDLE)


@pytest.mark.parametrize('offset_ms', range(0, 700, 100))
def test_a_frozen_vm_wakes_with_calls_in_its_sockets(offset_ms: int) -> None:
    """A response in flight across the freeze is no proof either."""

    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        vm = other_vm(cell)
        await asyncio.sleep(offset_ms / 1000)
        cell.net.freeze(vm)
        publish(cell, bob=KEYS['bob'])
        await asyncio.sleep(REVOCATION_MS / 1000 + 0.1)
        cell.net.thaw(vm)
        for _ in range(40):
            assert await status(cell, vm, request('GET', JOB, ADA)) in {
                401,
                503,
            }
            await asyncio.sleep(0.001)
        await asyncio.sleep(2)
        assert await status(cell, vm, request('GET', JOB, BOB)) == 410

    play(scenario, IDLE)


@pytest.mark.parametrize('fault', ['refusing', 'cuts'])
@pytest.mark.parametrize('with_takeover', [False, True])
def test_a_vm_that_the_store_turns_away_asks_the_owner(
    fault: str, with_takeover: bool
) -> None:
    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        # The owner names other members in its next answer to a hello.
        await asyncio.sleep(6)
        vm = other_vm(cell)
        getattr(cell.net, fault).add((vm, STORE))
        if with_takeover:
            cell.kill_vm(cell.owner())
        seen = await _poll_until(cell, vm, 9000)
        assert {code for _, code in seen} == {404}
        publish(cell, bob=KEYS['bob'])
        seen = await _poll_until(cell, vm, 5000)
        assert [
            code for at_ms, code in seen if at_ms > 3000 and code != 401
        ] == []
        # The records of this VM reach the store through the owner.
        assert await status(cell, vm, request('POST', JOB, BOB)) == 200

    play(scenario, IDLE)


def test_after_a_compaction_the_newest_records_are_a_proof() -> None:
    async def scenario(cell: PlatformCell) -> None:
        await begin(cell)
        cell.net.cuts.add(('vm-0', '*'))
        await asyncio.sleep(2)
        publish(cell, **KEYS)
        publish(cell, bob=KEYS['bob'])
        cell.store.truncate_history('keyed.op')
        await asyncio.sleep(4)
        assert await status(cell, 'vm-0', request('GET', JOB, ADA)) == 503
        cell.net.cuts.clear()
        await asyncio.sleep(2)
        assert await status(cell, 'vm-0', request('GET', JOB, ADA)) == 401
        assert await status(cell, 'vm-0', request('GET', JOB, BOB)) == 410

    play(scenario, IDLE)


def _record(version: int, offset: int, *keys: str) -> KeyedRecord:
    config = {
        'version': version,
        'routes': [],
        'services': [],
        'limits': {'maxBodyBytes': 1},
        'tenants': [{'name': 'ada', 'apiKeys': keys}],
    }
    return KeyedRecord('config', orjson.dumps(config), offset)


Outcome = Result[RecordPage, LogFault]


class FakeLog:
    """Log that returns scripted pages, faults or hanging reads."""

    def __init__(self) -> None:
        """Start with the first version; reads then wait in vain."""
        self.pages: list[RecordPage] = []
        self.listed = (_record(1, 0, ADA),)
        self.fault: LogFault | None = None
        self.hangs_ms = 0
        self.waits: list[int] = []

    async def newest(self, _: object) -> Outcome:
        """Return the listed records."""
        return Ok(RecordPage(self.listed, 1, True))

    async def read(self, _: object, start: int, wait_ms: int) -> Outcome:
        """Return the next page, or an empty one after the wait."""
        self.waits.append(wait_ms)
        if self.hangs_ms:
            hangs_ms, self.hangs_ms = self.hangs_ms, 0
            await asyncio.sleep(hangs_ms / 1000)
            return Err(LogFault.UNKNOWN)
        if self.fault is not None:
            return Err(self.fault)
        if self.pages:
            await asyncio.sleep(0.002)
            return Ok(self.pages.pop(0))
        await asyncio.sleep((wait_ms + 2) / 1000)
        return Ok(RecordPage((), start, True))


class FakePeers:
    """Peers that answer with a scripted configuration, or not at all."""

    owner = ''
    answer: dict[str, Any] | None = None
    calls = 0

    async def ask_config(self, _: int) -> Result[dict[str, Any], LogFault]:
        """Return the answer after a round trip."""
        self.calls += 1
        await asyncio.sleep(0.05)
        if self.answer is None:
            return Err(LogFault.REFUSED)
        return Ok(self.answer)


Scenario = Callable[
    [ConfigWatch, FakeLog, FakePeers], Coroutine[Any, Any, None]
]


def _watch(scenario: Scenario) -> None:
    async def whole() -> None:
        log, peers = FakeLog(), FakePeers()
        watch = ConfigWatch(
            log,  # type: ignore[arg-type]
            decode_config,
            LoopClock(1_000_000),
            peers,  # type: ignore[arg-type]
            ConfigFreshness(REVOCATION_MS),
        )
        task = asyncio.ensure_future(watch.run())
        await asyncio.sleep(1)
        await scenario(watch, log, peers)
        task.cancel()

    run_virtual(whole())


@pytest.mark.parametrize(
    'fault', [LogFault.REFUSED, LogFault.THROTTLED, LogFault.UNKNOWN]
)
def test_reads_that_fail_prove_nothing(fault: LogFault) -> None:
    """Busy, throttling and resetting stores look the same to the age."""

    async def scenario(
        watch: ConfigWatch, log: FakeLog, peers: FakePeers
    ) -> None:
        log.fault = fault
        await asyncio.sleep(SERVED_MS / 1000)
        assert watch.is_current
        assert peers.calls
        await asyncio.sleep((REVOCATION_MS - SERVED_MS) / 1000)
        assert not watch.is_current
        log.fault = None
        await asyncio.sleep(0.2)
        assert watch.is_current

    _watch(scenario)


def test_a_read_that_hangs_makes_no_vm_refuse_calls() -> None:
    async def scenario(
        watch: ConfigWatch, log: FakeLog, peers: FakePeers
    ) -> None:
        for _ in range(5):
            log.hangs_ms = 2100
            log.waits.clear()
            for _ in range(60):
                assert watch.is_current
                await asyncio.sleep(0.05)
            hung = log.waits.index(max(log.waits))
            assert 0 in log.waits[hung:]

    _watch(scenario)


def test_without_tenants_reads_and_calls_are_as_before() -> None:
    """Without tenants no peer is asked, and each read waits for 1.5 s."""

    async def scenario(
        watch: ConfigWatch, log: FakeLog, peers: FakePeers
    ) -> None:
        assert watch.table is not None
        watch.table.requires_keys = False
        log.fault = LogFault.REFUSED
        await asyncio.sleep(1)
        log.waits.clear()
        await asyncio.sleep(6)
        assert set(log.waits) == {1500}
        assert not peers.calls
        queue = Queue('h', '/q/', QueuePolicy('q', 'cpu', 1, 1, 0), False)
        served = identify(watch.table, queue, '', is_current=watch.is_current)
        assert served == Ok(EVERYONE)

    _watch(scenario)


def test_an_unreadable_version_proves_nothing_until_a_readable_one() -> None:
    async def scenario(
        watch: ConfigWatch, log: FakeLog, peers: FakePeers
    ) -> None:
        log.pages = [RecordPage((KeyedRecord('config', b'{', 1),), 2, True)]
        await asyncio.sleep(6)
        assert not watch.is_current
        log.pages = [RecordPage((KeyedRecord('note', b'{', 2),), 3, True)]
        await asyncio.sleep(2)
        assert not watch.is_current
        log.pages = [RecordPage((_record(3, 3),), 4, True)]
        await asyncio.sleep(1)
        assert watch.is_current

    _watch(scenario)


def test_a_page_before_the_end_proves_nothing() -> None:
    async def scenario(
        watch: ConfigWatch, log: FakeLog, peers: FakePeers
    ) -> None:
        log.pages = [
            RecordPage((_record(2, offset),), offset + 1)
            for offset in range(1, 100)
        ]
        while len(log.pages) > 98:
            await asyncio.sleep(0.001)
        confirmed_ms = watch.freshness.confirmed_ms
        while log.pages:
            await asyncio.sleep(0.001)
        assert watch.freshness.confirmed_ms == confirmed_ms
        await asyncio.sleep(1)
        assert watch.freshness.confirmed_ms != confirmed_ms

    _watch(scenario)


def test_a_listing_without_the_configuration_proves_nothing() -> None:
    async def scenario(
        watch: ConfigWatch, log: FakeLog, peers: FakePeers
    ) -> None:
        log.listed = ()
        log.fault = LogFault.GONE
        await asyncio.sleep(6)
        assert not watch.is_current

    _watch(scenario)


def test_an_older_version_read_after_a_newer_one_is_ignored() -> None:
    async def scenario(
        watch: ConfigWatch, log: FakeLog, peers: FakePeers
    ) -> None:
        records = (_record(3, 1, BOB), _record(2, 2, ADA))
        log.pages = [RecordPage(records, 3, True)]
        await asyncio.sleep(1)
        table = watch.table
        assert table is not None
        assert table.version == 3
        assert table.find_tenant(ADA) is None

    _watch(scenario)


def test_an_answer_of_a_peer_counts_from_its_call() -> None:
    """Its age is added; without its newer record it is no proof."""

    async def scenario(
        watch: ConfigWatch, log: FakeLog, peers: FakePeers
    ) -> None:
        peers.answer = {'version': 2, 'age_ms': 0}
        log.fault = LogFault.REFUSED
        await asyncio.sleep(6)
        assert not watch.is_current
        source = ConfigWatch(
            log,  # type: ignore[arg-type]
            decode_config,
            watch.clock,
            peers,  # type: ignore[arg-type]
            ConfigFreshness(REVOCATION_MS),
        )
        assert source.answer_peer(0) is None
        source._apply(_record(2, 5, BOB))  # noqa: SLF001
        source.freshness.confirm(watch.clock.now_ms())
        await asyncio.sleep(1)
        peers.answer = source.answer_peer(1)
        sent_ms = watch.clock.now_ms()
        await asyncio.sleep(0.6)
        assert watch.is_current
        assert watch.table is not None
        assert watch.table.find_tenant(ADA) is None
        confirmed_ms = watch.freshness.confirmed_ms
        assert confirmed_ms is not None
        assert -1001 <= confirmed_ms - sent_ms <= -400
        assert 'payload' not in (source.answer_peer(2) or {})

    _watch(scenario)
