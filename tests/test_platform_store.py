"""Test serving while the store is unavailable, slow or loses records."""

import asyncio

import pytest

from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import STORE, job, play, step


def test_accepted_jobs_survive_a_store_outage() -> None:
    """An outage of the store delays accepted jobs but loses none."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(6)), work_ms=1500)
        await asyncio.sleep(0.3)
        cell.net.refusing.add(('*', STORE))
        await asyncio.sleep(1)
        _, outcome = await cell.submit('vm-1', job(step(1)))
        assert outcome.status.value == 'refused'
        await asyncio.sleep(4)
        cell.net.refusing.clear()
        assert await cell.settle([name], 20) == {name: 'completed'}

    play(scenario)


def test_serving_continues_after_the_history_is_deleted() -> None:
    """Readers continue from the latest record of each key.

    Reads from an older offset fail once the store has deleted the history.
    """

    async def scenario(cell: PlatformCell) -> None:
        first, _ = await cell.submit('vm-0', job(step(2)), work_ms=3000)
        await asyncio.sleep(0.5)
        cell.configure()
        for topic in list(cell.store.topics):
            cell.store.truncate_history(topic)
        second, _ = await cell.submit('vm-1', job(step(2)))
        phases = await cell.settle([first, second], 20)
        assert set(phases.values()) == {'completed'}
        versions = {
            entry.config.table.version
            for entry in cell.entries.values()
            if entry.config.table is not None
        }
        assert versions == {cell.version}

    play(scenario)


@pytest.mark.parametrize('seed', range(1, 9))
def test_callers_are_refused_at_once_while_the_store_is_unresponsive(
    seed: int,
) -> None:
    """After a first timeout, submissions are refused without waiting again."""

    async def scenario(cell: PlatformCell) -> None:
        cell.net.cuts.update((vm, STORE) for vm in cell.entries)
        _, first = await cell.submit('vm-0', job(step(1)))
        assert first.status.value in {'unknown_outcome', 'refused'}
        begun_ms = cell.clock.now_ms()
        _, second = await cell.submit('vm-0', job(step(1)))
        assert second.status.value == 'refused'
        assert second.retry_after_s >= 1
        assert cell.clock.now_ms() - begun_ms < 50
        cell.net.cuts.clear()
        await asyncio.sleep(1)
        name, third = await cell.submit('vm-0', job(step(1)))
        assert third.status.value == 'ok'
        assert await cell.settle([name], 10) == {name: 'completed'}

    play(scenario, CellShape(workers=(Shape('cpu'),) * 4, seed=seed))


@pytest.mark.parametrize('how', ['cuts', 'refusing'])
def test_a_vm_without_the_store_accepts_through_the_owner(how: str) -> None:
    """Its callers are served while the owner still reaches the store.

    Only the first submission waits for the timeout of a silent store.
    """

    async def scenario(cell: PlatformCell) -> None:
        vm = next(name for name in cell.entries if name != cell.owner())
        getattr(cell.net, how).add((vm, STORE))
        first, outcome = await cell.submit(vm, job(step(1)))
        assert outcome.status.value == 'ok'
        names = [first]
        for _ in range(8):
            begun_ms = cell.clock.now_ms()
            name, outcome = await cell.submit(vm, job(step(1)))
            assert outcome.status.value == 'ok'
            assert cell.clock.now_ms() - begun_ms < 100
            names.append(name)
        phases = await cell.settle(names, 15)
        assert set(phases.values()) == {'completed'}

    play(scenario)


def test_many_vms_share_the_appends_of_a_slow_store() -> None:
    """The owner makes one append for all callers that wait.

    Each VM notices the slow store by its regular calls. Otherwise each has an
    append of its own in the queue of the partition, and the last ones time out.
    """

    async def scenario(cell: PlatformCell) -> None:
        cell.net.slow[STORE] = 150
        await asyncio.sleep(1)
        before = cell.store.appends['keyed.jobs']
        outcomes = await asyncio.gather(
            *(
                cell.submit(vm, job(step(1)))
                for vm in cell.entries
                for _ in 'ab'
            )
        )
        assert {outcome.status.value for _, outcome in outcomes} == {'ok'}
        assert cell.store.appends['keyed.jobs'] - before <= 4

    play(scenario, CellShape(vms=10, workers=(Shape('cpu'),) * 4))


def test_submissions_share_an_append_while_the_store_is_slow() -> None:
    """Jobs submitted while an append is in flight share the next append."""

    async def scenario(cell: PlatformCell) -> None:
        cell.net.slow[STORE] = 300
        before = cell.store.appends['keyed.jobs']
        outcomes = await asyncio.gather(
            *(cell.submit('vm-0', job(step(1))) for _ in range(20)),
        )
        assert {outcome.status.value for _, outcome in outcomes} == {'ok'}
        assert len({outcome.content for _, outcome in outcomes}) == 20
        assert cell.store.appends['keyed.jobs'] - before <= 3

    play(scenario)


def test_a_start_waits_for_its_record() -> None:
    """No run starts before the store has acknowledged its assignment.

    Otherwise a new owner could start the same task a second time.
    """

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(4)))
        cell.net.late[STORE] = (1, 3, 4)
        await asyncio.sleep(0.3)
        assert not any(worker.starts for worker in cell.workers.values())
        cell.net.late.clear()
        assert await cell.settle([name], 20) == {name: 'completed'}

    play(scenario)


def test_a_lost_end_record_causes_no_second_run() -> None:
    """An end whose record is lost with its owner must not cause a second run."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(1)))
        await asyncio.sleep(0.2)
        before = cell.owner()
        cell.net.late[STORE] = (1, 30, 40)
        await asyncio.sleep(0.85)
        assert await cell.state(before, name) != 'completed'
        cell.kill_vm(before)
        cell.net.late.clear()
        assert await cell.settle([name], 20) == {name: 'completed'}
        assert sum(worker.starts for worker in cell.workers.values()) == 1

    play(scenario)


def test_an_older_configuration_is_ignored() -> None:
    """An older version that is written after a newer one is ignored."""

    async def scenario(cell: PlatformCell) -> None:
        cell.configure()
        cell.configure()
        await asyncio.sleep(0.5)
        cell.version = 0
        cell.configure()
        await asyncio.sleep(0.5)
        for entry in cell.entries.values():
            table = entry.config.table
            assert table is not None
            assert table.version == 3

    play(scenario)
