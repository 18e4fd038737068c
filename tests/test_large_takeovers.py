"""Take over a cell that holds many jobs, on the platform stand-in."""

import asyncio
import json
from typing import Any, Final

import pytest
from result import Ok

from lycheerelay.clock import ManualClock
from lycheerelay.serving._cell_restore import CellRestore
from lycheerelay.serving._context import Limits, OwnerContext
from lycheerelay.serving._job_expiry import JobExpiry
from lycheerelay.serving._job_stream import JobStream
from lycheerelay.serving._metrics_registry import MetricsRegistry
from lycheerelay.serving._past_jobs import PastJobs
from lycheerelay.serving._ports import KeyedRecord, RecordPage, StoreLimits
from lycheerelay.serving._recorder import Recorder
from lycheerelay.workflow import CellState
from lycheerelay_standins.platform import CellShape, PlatformCell, Shape
from platform_days import job, play, step

JOBS: Final = 'keyed.jobs'
PROGRESS: Final = 'keyed.progress'
SPEC: Final = {
    'queue': 'batch',
    'pool': 'cpu',
    'steps': [{'demand': [1000, 100, 0], 'width': 8, 'expected_ms': 500}],
    'payload': 'text',
    'priority': 1,
    'max_attempts': 3,
    'stretch': 2.0,
    'objective_ms': 1000,
    'accepted_ms': 1,
}


def spec_of(cell: PlatformCell, name: str) -> dict[str, Any]:
    """Return the fields of a job's record in the store."""
    fields: dict[str, Any] = json.loads(
        cell.store.partition(JOBS).newest[f'job/{name}'][1]
    )
    return fields


def add_history(cell: PlatformCell, name: str, count: int) -> list[str]:
    """Copy the record of a job, with the progress of a completed one."""
    fields = spec_of(cell, name)
    names = [f'{0x10000 + number:016x}' for number in range(count)]
    for other in names:
        cell.store.put(JOBS, f'job/{other}', {**fields, 'job_id': other})
        cell.store.put(PROGRESS, other, {'phase': 'completed', 'why': 'done'})
    return names


async def replace_owner(cell: PlatformCell, within_s: float = 5) -> None:
    """Kill the owner and wait for the next one."""
    before = cell.owner()
    cell.kill_vm(before)
    await asyncio.sleep(within_s)
    assert cell.owner() not in {'', before}


def owner_of(cell: PlatformCell) -> Any:
    """Return the owner that serves."""
    return cell.entries[cell.owner()].handler.owner


class SteppingClock:
    """Clock that goes on by 1 ms with every reading."""

    def __init__(self) -> None:
        """Start at 1 s."""
        self.clock = ManualClock(1000)

    def now_ms(self) -> int:
        """Return the time."""
        self.clock.advance(1)
        return self.clock.now_ms()


def make_context(log: Any) -> OwnerContext:
    """Return the context of an owner whose clock steps with each reading."""
    clock: Any = SteppingClock()
    nothing: Any = None
    return OwnerContext(
        cell=CellState(1, 0),
        ownership_lease=nothing,
        clock=clock,
        log=log,
        workers=nothing,
        limits=Limits(6000, 120_000, 1000),
        metrics=MetricsRegistry(),
        fence=1,
    )


def make_parts(context: OwnerContext) -> tuple[Recorder, PastJobs, JobStream]:
    """Return parts of an owner."""
    ignore: Any = lambda ids: None  # noqa: E731
    recorder = Recorder(context, ignore, ignore)
    past = PastJobs(context.cell)
    expiry = JobExpiry(context, recorder, past, ignore)
    return recorder, past, JobStream(context, expiry)


class NewestLog:
    """Keep the newest record of each key."""

    def __init__(self) -> None:
        """Start empty."""
        self.newest: dict[str, bytes | None] = {}
        self.limits = StoreLimits()
        self.sizes: list[int] = []

    async def append(self, _: Any, records: Any, *__: Any) -> Ok[int]:
        """Keep the records of an append."""
        self.newest.update((record.key, record.payload) for record in records)
        self.sizes.append(len(records))
        return Ok(0)


def test_a_deletion_that_waits_never_follows_newer_progress() -> None:
    """A job handed in again keeps its progress, however much is deleted."""

    async def scenario() -> NewestLog:
        log = NewestLog()
        context = make_context(log)
        recorder, _, stream = make_parts(context)
        names = [f'{number:016x}' for number in range(5000)]
        recorder.write(KeyedRecord(name, None) for name in names)
        raw = json.dumps({**SPEC, 'job_id': names[-1]}).encode()
        await stream.apply_page(
            RecordPage((KeyedRecord(f'job/{names[-1]}', raw, 0),), 1)
        )
        context.cell.unrecorded_jobs[names[-1]] = None
        context.cell.loaded = True
        task = asyncio.create_task(recorder.run())
        await asyncio.sleep(0.2)
        task.cancel()
        assert log.newest.pop(names[-1])
        return log

    log = asyncio.run(scenario())
    assert len(log.newest) == 4999
    assert set(log.newest.values()) == {None}
    assert max(log.sizes) < 2500


@pytest.mark.parametrize('is_past', [False, True])
def test_restoring_many_jobs_never_holds_up_the_event_loop(
    is_past: bool,
) -> None:
    """Between two turns of the loop there are some ms of work only."""

    async def scenario() -> int:
        context = make_context(NewestLog())
        cell = context.cell
        _, past, stream = make_parts(context)
        names = [f'{number:016x}' for number in range(2000)]
        records = tuple(
            KeyedRecord(
                f'job/{name}', json.dumps({**SPEC, 'job_id': name}).encode(), n
            )
            for n, name in enumerate(names)
        )
        progress = tuple(
            KeyedRecord(name, b'{"phase":"completed"}', n)
            for n, name in enumerate(names)
            if is_past
        )
        restore = CellRestore(context, stream, RecordPage(progress, 0))
        task = asyncio.create_task(restore.run(RecordPage(records, 2000)))
        turns = 0
        known = 0
        while not task.done():
            await asyncio.sleep(0)
            turns += 1
            count = len(cell.jobs) + len(past.jobs)
            assert count - known < 50
            known = count
        assert await task
        assert known == 2000
        assert len(cell.jobs) == (0 if is_past else 2000)
        return turns

    assert asyncio.run(scenario()) > 100


def test_jobs_of_the_past_stay_records_until_they_are_referred_to() -> None:
    """Their state is known, a repeat does not run them, and they expire."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(2)))
        assert await cell.settle([name], 10) == {name: 'completed'}
        names = add_history(cell, name, 700)
        await replace_owner(cell)
        owner = owner_of(cell)
        assert len(owner.cell.jobs) < 5
        assert len(owner.past.jobs) >= 700
        answer = await cell.entries[cell.owner()].handler.state(
            names[1], 'batch', 3000
        )
        assert answer.content == 'completed'
        record = cell.store.partition(JOBS).newest[f'job/{names[2]}'][1]
        cell.store.put(JOBS, f'job/{names[2]}', record)
        await asyncio.sleep(2)
        assert sum(worker.starts for worker in cell.workers.values()) == 2
        assert set(owner.cell.jobs) >= {names[1], names[2]}
        await asyncio.sleep(90)
        assert not owner.cell.jobs
        assert not owner.past.jobs
        assert not cell.store.partition(JOBS).newest

    play(scenario, CellShape(workers=(Shape('cpu'),) * 2, status_ms=5000))


def slow_restore(monkeypatch: pytest.MonkeyPatch, pause_s: float) -> None:
    """Let every takeover go on for some time after the jobs are restored."""
    run = CellRestore.run

    async def run_slowly(self: CellRestore, jobs: RecordPage) -> bool:
        is_restored = await run(self, jobs)
        await asyncio.sleep(pause_s)
        return is_restored

    monkeypatch.setattr(CellRestore, 'run', run_slowly)


def test_a_long_takeover_keeps_the_ownership_and_the_running_tasks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No other VM claims, leases are extended, and known jobs are answered."""

    async def scenario(cell: PlatformCell) -> None:
        running, _ = await cell.submit('vm-0', job(step(2)), work_ms=25_000)
        done, _ = await cell.submit('vm-0', job(step(1)))
        await asyncio.sleep(3)
        slow_restore(monkeypatch, 12)
        cell.kill_vm(cell.owner())
        claims = cell.store.partition('keyed.lock').end
        await asyncio.sleep(7)
        assert not cell.owner()
        vm = sorted(cell.entries)[0]
        assert await cell.state(vm, running) == 'running'
        assert await cell.state(vm, done) == 'completed'
        assert await cell.state(vm, 'f' * 16) == 'unavailable'
        await asyncio.sleep(9)
        assert cell.owner()
        assert cell.store.partition('keyed.lock').end == claims + 1
        phases = await cell.settle([running, done], 20)
        assert set(phases.values()) == {'completed'}
        assert sum(worker.starts for worker in cell.workers.values()) == 3

    play(scenario)


def test_a_cancellation_during_a_long_takeover_counts_from_its_first_cycle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The owner starts nothing before it has read what was cancelled."""

    async def scenario(cell: PlatformCell) -> None:
        before = cell.owner()
        vm = next(name for name in cell.entries if name != before)
        slow_restore(monkeypatch, 8)
        cell.kill_vm(before)
        name, outcome = await cell.submit(vm, job(step(1)))
        assert outcome.status.value == 'ok'
        await asyncio.sleep(5)
        assert await cell.cancel(vm, name) == 'ok'
        owners = [entry.handler.owner for entry in cell.entries.values()]
        owner = next(each for each in owners if each is not None)
        await owner.context.loaded.wait()
        assert owner.cell.jobs[name].cancelled
        await asyncio.sleep(2)
        assert not any(worker.starts for worker in cell.workers.values())

    play(scenario)


def test_a_cancelled_job_that_still_runs_counts_after_a_takeover() -> None:
    """Its run is stopped by the next owner, and holds its room until then."""

    async def scenario(cell: PlatformCell) -> None:
        name, _ = await cell.submit('vm-0', job(step(1)), work_ms=60_000)
        await asyncio.sleep(1)
        worker = next(each for each in cell.workers.values() if each.starts)
        address = cell.addresses[worker.worker_id]
        cell.net.cuts.update((vm, address) for vm in cell.entries)
        assert await cell.cancel('vm-0', name) == 'ok'
        await asyncio.sleep(0.5)
        cell.kill_vm(cell.owner())
        await asyncio.sleep(2.2)
        cell.net.cuts.clear()
        owner = owner_of(cell)
        free = []
        for _ in range(40):
            await asyncio.sleep(0.05)
            free += [
                min(other.free) < other.capacity.cores_milli
                for other in owner.cell.workers.values()
                if other.runs
            ]
        assert any(free)
        await asyncio.sleep(3)
        assert not any(other.runs for other in owner.cell.workers.values())

    play(scenario, CellShape(workers=(Shape('cpu'),)))
