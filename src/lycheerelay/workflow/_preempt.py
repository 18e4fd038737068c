"""Stop what can resume later for what would otherwise be late."""

from typing import Final

from ._fit import Reserved, free_at, has_ticket
from ._notes import note
from ._runs import stop_run
from ._state import CellState, Run, RunState, StepBook, WorkerBook

# What is stopped must have so much more slack, in ms, than what it makes room
# for: the stop, the wait for other room and the restore take some of it.
SLACK_MARGIN_MS: Final = 4000
# A run that is done to this share is left to end.
MOST_PERCENT: Final = 75
FULL_PERCENT: Final = 100
# Room that is being made is kept for so long, in ms: a stop takes up to 0.9 s.
KEEP_MS: Final = 1500


def make_room(
    cell: CellState,
    step: StepBook,
    workers: list[WorkerBook],
    reserved: dict[str, Reserved],
    now_ms: int,
) -> None:
    """Stop saved runs with much slack where a step would start too late."""
    slack_ms = step.latest_start_ms - now_ms - cell.wall_offset_ms
    demand = step.spec.demand
    if slack_ms < 0 or step.spec.lasts:
        return
    open_workers = [
        worker
        for worker in workers
        if has_ticket(step, worker, now_ms) and worker.worker_id not in reserved
    ]
    if any(
        free_at(worker, demand, now_ms) <= now_ms + slack_ms
        for worker in open_workers
    ):
        return
    options = [
        (len(victims), index, worker, victims)
        for index, worker in enumerate(open_workers)
        if (victims := _victims(cell, step, worker, slack_ms, now_ms))
    ]
    if not options:
        return
    _, _, worker, victims = min(options, key=lambda option: option[:2])
    for run in victims:
        stop_run(cell, run, now_ms, 'room for more urgent work')
    worker.reserved_for = step.key
    worker.reserved_until_ms = now_ms + KEEP_MS
    reserved[worker.worker_id] = Reserved(step.key, demand, now_ms)
    note(
        cell,
        'room_made',
        run=step.key,
        worker=worker.worker_id,
        stopped=len(victims),
        slack_ms=slack_ms,
    )


def kept_rooms(cell: CellState, now_ms: int) -> dict[str, Reserved]:
    """Return the room that is being made for steps that still wait."""
    rooms: dict[str, Reserved] = {}
    for worker in cell.workers.values():
        key = worker.reserved_for
        if key is None:
            continue
        step = cell.open_steps.get(key)
        if step is None or worker.reserved_until_ms < now_ms:
            worker.reserved_for = None
            continue
        if step.waiting:
            rooms[worker.worker_id] = Reserved(key, step.spec.demand, now_ms)
    return rooms


def _victims(
    cell: CellState,
    step: StepBook,
    worker: WorkerBook,
    slack_ms: int,
    now_ms: int,
) -> list[Run]:
    wall_ms = now_ms + cell.wall_offset_ms
    rated = [
        (_slack_of(run, wall_ms), index, run)
        for index, run in enumerate(worker.runs.values())
        if _can_resume(run)
    ]
    rated.sort(reverse=True)
    free = worker.free
    chosen = []
    for run_slack_ms, _, run in rated:
        if run_slack_ms < slack_ms + SLACK_MARGIN_MS:
            return []
        chosen.append(run)
        free = free.plus(run.demand)
        if step.spec.demand.fits_in(free):
            return chosen
    return []


def _can_resume(run: Run) -> bool:
    spec = run.step.spec
    is_plain = not (spec.gang or spec.lasts or spec.fills)
    is_early = run.percent < MOST_PERCENT
    return (
        spec.checkpoints
        and is_plain
        and is_early
        and run.state is RunState.RUNNING
    )


def _slack_of(run: Run, wall_ms: int) -> int:
    done_ms = run.step.spec.expected_ms * run.percent // FULL_PERCENT
    return run.step.latest_start_ms + done_ms - wall_ms
