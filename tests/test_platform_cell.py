"""Serve jobs on the stand-in of the platform, in virtual time, under faults."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from lycheerelay_standins.platform import (
    CellShape,
    PlatformCell,
    QueueShape,
    Shape,
    run_virtual,
)

STORE = '10.9.0.1:80'
Scenario = Callable[[PlatformCell], Coroutine[Any, Any, None]]


def job(*steps: dict[str, Any]) -> dict[str, Any]:
    """Return a submission's body."""
    return {'spec': 'text', 'steps': list(steps)}


def step(count: int = 2, **fields: Any) -> dict[str, Any]:
    """Return one step of a submission."""
    return {
        'count': count,
        'cpu': 1000,
        'memMb': 100,
        'estimatedMs': 500,
        **fields,
    }


def play(scenario: Scenario, shape: CellShape | None = None) -> PlatformCell:
    """Run a scenario on a cell and return the cell."""
    chosen = shape or CellShape(workers=(Shape('cpu'),) * 4)

    async def whole() -> PlatformCell:
        cell = PlatformCell(chosen)
        await cell.begin()
        try:
            await scenario(cell)
        finally:
            await cell.finish()
        return cell

    cell: PlatformCell = run_virtual(whole())
    assert cell.audit.broken == []
    return cell


def test_steps_run_in_order() -> None:
    """A job of three steps is completed; nothing runs twice."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(3), step(2, after=[0]), step(1, after=[0, 1]))
        name, _ = await cell.submit('vm-0', body)
        phases = await cell.settle([name], 10)
        assert phases == {name: 'completed'}
        assert sum(worker.starts for worker in cell.workers.values()) == 6

    play(scenario)


def test_a_gang_starts_whole() -> None:
    """Four members that need a worker each start together."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(4, cpu=16000, gang=True))
        names = [(await cell.submit('vm-1', body))[0] for _ in range(3)]
        phases = await cell.settle(names, 20)
        assert set(phases.values()) == {'completed'}

    cell = play(scenario)
    assert cell.audit.alone == 0


def test_a_queue_with_advice_is_served() -> None:
    """Starts of an advised queue carry tickets."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-2', job(step(5)))
        assert await cell.settle([name], 10) == {name: 'completed'}

    advice = {'decisionMs': 20, 'periodMs': 1, 'validityMs': 2000}
    queues = (QueueShape('batch', 'cpu', advice=advice),)
    play(scenario, CellShape(workers=(Shape('cpu'),) * 4, queues=queues))


def test_a_repeat_at_another_vm_stays_one_job() -> None:
    """The same id handed in again, also much later, runs once."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(2)))
        await cell.submit('vm-1', job(step(2)), job_id=name)
        assert await cell.settle([name], 10) == {name: 'completed'}
        await cell.submit('vm-2', job(step(2)), job_id=name)
        await asyncio.sleep(3)
        assert sum(worker.starts for worker in cell.workers.values()) == 2

    play(scenario)


def test_an_unknown_job_is_said_not_to_exist() -> None:
    """A state asked for at any VM is 'no such job'."""

    async def scenario(cell: PlatformCell) -> None:
        for vm in sorted(cell.entries):
            assert await cell.state(vm, 'ab' * 8) == 'no_such_job'

    play(scenario)


def test_cancel_stops_what_runs() -> None:
    """Tasks that last end with the cancel."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(3, longRunning=True))
        name, _ = await cell.submit('vm-0', body)
        await asyncio.sleep(2)
        assert await cell.state('vm-1', name) == 'running'
        assert await cell.cancel('vm-2', name) == 'ok'
        await asyncio.sleep(1)
        assert await cell.state('vm-1', name) == 'cancelled'
        assert not any(worker.runs for worker in cell.workers.values())

    play(scenario)


def test_an_owner_that_dies_is_replaced_within_three_seconds() -> None:
    """Running tasks are adopted; none is started again."""

    async def scenario(cell: PlatformCell) -> None:
        body = job(step(8), step(4, after=[0]))
        name, _ = await cell.submit('vm-0', body, work_ms=4000)
        await asyncio.sleep(1)
        before = cell.owner()
        cell.kill_vm(before)
        await asyncio.sleep(3)
        assert cell.owner() not in {'', before}
        assert await cell.settle([name], 20) == {name: 'completed'}
        assert sum(worker.starts for worker in cell.workers.values()) == 12

    play(scenario)


def test_all_vms_die_after_an_acknowledgement() -> None:
    """A job that was accepted is known after all VMs started again."""

    async def scenario(cell: PlatformCell) -> None:
        name, outcome = await cell.submit('vm-0', job(step(2)))
        assert outcome.verdict.value == 'ok'
        names = sorted(cell.entries)
        for vm in names:
            cell.kill_vm(vm)
        await asyncio.sleep(1)
        for vm in names:
            cell.start_vm(vm)
        await asyncio.sleep(4)
        assert await cell.settle([name], 10) == {name: 'completed'}

    play(scenario)


def test_a_crashed_worker_loses_its_tasks_once_its_leases_are_over() -> None:
    """Tasks of a silent worker start elsewhere, not before its leases end."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(8)), work_ms=3000)
        await asyncio.sleep(1)
        busiest = max(cell.workers.values(), key=lambda one: len(one.runs))
        cell.crash_worker(busiest)
        assert await cell.settle([name], 25) == {name: 'completed'}

    play(scenario)


def test_a_worker_that_is_cut_off_runs_on() -> None:
    """Its tasks are not started elsewhere while they may run."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(8)), work_ms=4000)
        await asyncio.sleep(0.5)
        busiest = max(cell.workers.values(), key=lambda one: len(one.runs))
        cell.net.cuts.add(('*', busiest.worker_id))
        await asyncio.sleep(9)
        cell.net.cuts.clear()
        assert await cell.settle([name], 25) == {name: 'completed'}

    play(scenario)


def test_an_address_that_goes_to_another_worker() -> None:
    """The former worker's tasks start elsewhere at once."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(8)), work_ms=2000)
        await asyncio.sleep(0.5)
        busiest = max(cell.workers.values(), key=lambda one: len(one.runs))
        address = cell.addresses[busiest.worker_id]
        cell.crash_worker(busiest)
        cell.add_worker(Shape('gpu'), address)
        assert await cell.settle([name], 6) == {name: 'completed'}

    play(scenario)


@pytest.mark.parametrize('share', [0.3, 1])
def test_orders_that_are_carried_out_late(share: float) -> None:
    """An unanswered start that takes effect seconds later does no harm."""

    async def scenario(cell: PlatformCell) -> None:
        for worker_id, address in cell.addresses.items():
            if worker_id != 'w-1':
                cell.net.late[address] = (share, 1, 12)
        name, _ = await cell.submit('vm-0', job(step(6)))
        await asyncio.sleep(5)
        cell.net.late.clear()
        assert await cell.settle([name], 30) == {name: 'completed'}

    play(scenario)


def test_the_store_is_away_for_a_while() -> None:
    """Accepted jobs are completed after the store's return."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(6)), work_ms=1500)
        await asyncio.sleep(0.3)
        cell.net.refusing.add(('*', STORE))
        await asyncio.sleep(1)
        _, outcome = await cell.submit('vm-1', job(step(1)))
        assert outcome.verdict.value == 'refused'
        await asyncio.sleep(4)
        cell.net.refusing.clear()
        assert await cell.settle([name], 20) == {name: 'completed'}

    play(scenario)


def test_an_owner_that_loses_the_store_hands_over() -> None:
    """Another VM takes over; the former owner sends nothing more."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(6)), work_ms=3000)
        await asyncio.sleep(0.5)
        before = cell.owner()
        cell.net.cuts.add((before, STORE))
        await asyncio.sleep(3)
        assert cell.owner() not in {'', before}
        cell.net.cuts.clear()
        assert await cell.settle([name], 20) == {name: 'completed'}

    play(scenario)


def test_ownership_is_dealt_anew_while_the_owner_works() -> None:
    """Two owners at once do no harm: the later one is obeyed."""

    async def scenario(cell: PlatformCell) -> None:
        names = []
        for _ in range(6):
            names.append((await cell.submit('vm-0', job(step(4))))[0])
            cell.store.deal_anew()
            await asyncio.sleep(0.3)
        phases = await cell.settle(names, 20)
        assert set(phases.values()) == {'completed'}

    play(scenario)


def test_the_history_of_every_stream_is_deleted() -> None:
    """The newest records are enough to go on."""

    async def scenario(cell: PlatformCell) -> None:
        first, _ = await cell.submit('vm-0', job(step(2)), work_ms=3000)
        await asyncio.sleep(0.5)
        cell.configure()
        for topic in list(cell.store.topics):
            cell.store.forget_history(topic)
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


def test_foreign_registrations_name_no_worker() -> None:
    """Entries by other writers harm nothing."""

    async def scenario(cell: PlatformCell) -> None:
        for number, entry in enumerate(
            (
                b'\xff\xfe',
                b'[]',
                {'service': 'cpu'},
                {'service': 5, 'address': 'x', 'state': 'ready'},
                {'service': 'cpu', 'address': 'x', 'state': 'asleep'},
            ),
        ):
            cell.store.put('keyed.servers', f'foreign-{number}', entry)
        name, _ = await cell.submit('vm-0', job(step(2)))
        assert await cell.settle([name], 10) == {name: 'completed'}

    play(scenario)


def test_a_worker_that_fails_everything_is_left_alone() -> None:
    """Jobs of one attempt each suffer only from its first runs."""

    async def scenario(cell: PlatformCell) -> None:
        bad = next(iter(cell.workers.values()))
        bad.fails = True
        names = [(await cell.submit('vm-0', job(step(2))))[0] for _ in range(8)]
        phases = await cell.settle(names, 20)
        assert set(phases.values()) == {'completed'}

    play(scenario)


def test_a_run_that_stands_still_is_moved() -> None:
    """Tasks on a worker that hangs are done elsewhere."""

    async def scenario(cell: PlatformCell) -> None:
        bad = next(iter(cell.workers.values()))
        bad.hangs = True
        names = [(await cell.submit('vm-0', job(step(6))))[0] for _ in range(3)]
        phases = await cell.settle(names, 20)
        assert set(phases.values()) == {'completed'}

    play(scenario)


def test_ownership_stays_while_others_come_and_go() -> None:
    """Members that start and stop do not move the ownership."""

    async def scenario(cell: PlatformCell) -> None:
        before = cell.owner()
        others = [name for name in sorted(cell.entries) if name != before]
        for name in others:
            cell.kill_vm(name)
            await asyncio.sleep(2)
            cell.start_vm(name)
            await asyncio.sleep(2)
            assert cell.owner() == before

    play(scenario)


def test_an_owner_without_its_workers_hands_over() -> None:
    """A VM that reaches the store but no worker does not stay the owner."""

    async def scenario(cell: PlatformCell) -> None:
        before = cell.owner()
        cell.net.cuts.update((before, name) for name in cell.workers)
        name, _ = await cell.submit('vm-0', job(step(4)))
        await asyncio.sleep(6)
        assert cell.owner() not in {'', before}
        assert await cell.settle([name], 15) == {name: 'completed'}

    play(scenario)


def test_a_seat_that_is_taken_away_does_no_harm() -> None:
    """The former owner stops, and running tasks are adopted."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(6)), work_ms=4000)
        await asyncio.sleep(1)
        cell.store.revoke('seat')
        assert await cell.settle([name], 20) == {name: 'completed'}
        assert sum(worker.starts for worker in cell.workers.values()) == 6

    play(scenario)


@pytest.mark.parametrize('how', ['kill', 'store', 'workers'])
def test_an_owner_is_replaced_in_time(how: str) -> None:
    """Starts go on within 4 s, the target at worst, after it is lost."""

    async def scenario(cell: PlatformCell) -> None:
        before = cell.owner()
        if how == 'kill':
            cell.kill_vm(before)
        elif how == 'store':
            cell.net.cuts.add((before, STORE))
        else:
            cell.net.cuts.update((before, name) for name in cell.workers)
        begun_ms = cell.clock.now_ms()
        other = next(name for name in sorted(cell.entries) if name != before)
        await cell.submit(other, job(step(1)))
        while not any(worker.starts for worker in cell.workers.values()):
            await asyncio.sleep(0.05)
            assert cell.clock.now_ms() - begun_ms < 4000

    play(scenario)


def test_callers_are_refused_at_once_while_the_store_is_silent() -> None:
    """After a first timeout, refusals come at once and say when to return."""

    async def scenario(cell: PlatformCell) -> None:
        cell.net.cuts.add(('vm-0', STORE))
        _, first = await cell.submit('vm-0', job(step(1)))
        assert first.verdict.value in {'unknown_outcome', 'refused'}
        begun_ms = cell.clock.now_ms()
        _, second = await cell.submit('vm-0', job(step(1)))
        assert second.verdict.value == 'refused'
        assert second.retry_after_s >= 1
        assert cell.clock.now_ms() - begun_ms < 50
        cell.net.cuts.clear()
        await asyncio.sleep(1)
        name, third = await cell.submit('vm-0', job(step(1)))
        assert third.verdict.value == 'ok'
        assert await cell.settle([name], 10) == {name: 'completed'}

    play(scenario)


def test_an_owner_is_found_while_the_store_is_slow() -> None:
    """A claim whose answers take long leads to a term that holds."""

    async def scenario(cell: PlatformCell) -> None:
        cell.net.slow[STORE] = 300
        before = cell.owner()
        cell.kill_vm(before)
        await asyncio.sleep(7)
        assert cell.owner() not in {'', before}
        cell.net.slow.clear()
        vm = sorted(cell.entries)[0]
        name, _ = await cell.submit(vm, job(step(2)))
        assert await cell.settle([name], 10) == {name: 'completed'}

    play(scenario)


def test_submissions_share_an_append_while_the_store_is_slow() -> None:
    """What comes while an append is on its way goes with the next."""

    async def scenario(cell: PlatformCell) -> None:
        cell.net.slow[STORE] = 300
        before = cell.store.appends['keyed.jobs']
        outcomes = await asyncio.gather(
            *(cell.submit('vm-0', job(step(1))) for _ in range(20)),
        )
        assert {outcome.verdict.value for _, outcome in outcomes} == {'ok'}
        assert len({outcome.content for _, outcome in outcomes}) == 20
        assert cell.store.appends['keyed.jobs'] - before <= 3

    play(scenario)


def test_a_former_owner_lets_leases_run_out() -> None:
    """What only the former owner reaches ends before it starts elsewhere."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(8)), work_ms=20_000)
        await asyncio.sleep(1)
        before = cell.owner()
        others = [vm for vm in sorted(cell.entries) if vm != before]
        busiest = max(cell.workers.values(), key=lambda one: len(one.runs))
        cell.net.cuts.add((before, STORE))
        cell.net.cuts.update((vm, busiest.worker_id) for vm in others)
        cell.net.cuts.update(
            (before, worker_id)
            for worker_id in cell.workers
            if worker_id != busiest.worker_id
        )
        await asyncio.sleep(14)
        cell.net.cuts.clear()
        assert await cell.settle([name], 60) == {name: 'completed'}

    play(scenario)


def test_a_start_waits_for_its_record() -> None:
    """Nothing begins before the store has acknowledged the assignment."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(4)))
        cell.net.late[STORE] = (1, 3, 4)
        await asyncio.sleep(0.3)
        assert not any(worker.starts for worker in cell.workers.values())
        cell.net.late.clear()
        assert await cell.settle([name], 20) == {name: 'completed'}

    play(scenario)


def test_an_end_whose_record_is_lost_is_not_forgotten() -> None:
    """The next owner finds the end at its worker; the task runs once."""

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


def test_an_order_is_for_one_life_only() -> None:
    """A start that reaches another worker at the address has no effect."""

    async def scenario(cell: PlatformCell) -> None:
        worker = next(iter(cell.workers.values()))
        address = cell.addresses[worker.worker_id]
        cell.crash_worker(worker)
        cell.add_worker(Shape('gpu'), address)
        name, _ = await cell.submit('vm-0', job(step(40)))
        assert await cell.settle([name], 20) == {name: 'completed'}

    play(scenario)


def test_a_job_is_not_denied_by_an_owner_that_reads_nothing() -> None:
    """An owner cut from the store cannot know what was accepted since."""

    async def scenario(cell: PlatformCell) -> None:
        before = cell.owner()
        other = next(vm for vm in sorted(cell.entries) if vm != before)
        cell.net.cuts.add((before, STORE))
        name, outcome = await cell.submit(other, job(step(1)))
        assert outcome.verdict.value == 'ok'
        assert await cell.state(before, name) != 'no_such_job'

    play(scenario)


def test_a_former_owner_learns_it_from_the_lock() -> None:
    """It stops within a second, though no worker refuses its orders."""

    async def scenario(cell: PlatformCell) -> None:
        before = cell.owner()
        cell.net.cuts.update((before, name) for name in cell.workers)
        first = cell.entries[before].desk.owner
        cell.store.put('keyed.lock', 'owner', b'another')
        await asyncio.sleep(1)
        assert cell.entries[before].desk.owner is not first

    play(scenario)


def test_the_configuration_never_goes_back() -> None:
    """An older version that is written later changes nothing."""

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


def test_the_owner_knows_every_member() -> None:
    """Also those that were dealt partitions only after they had joined."""

    async def scenario(cell: PlatformCell) -> None:
        before = cell.owner()
        await asyncio.sleep(1)
        assert len(cell.entries[before].peers.others()) == 2
        cell.start_vm('vm-9')
        await asyncio.sleep(3)
        assert len(cell.entries[before].peers.others()) == 3

    play(scenario)
