"""Learn what tasks of a team's workload really use, and for how long."""

from typing import Final

from ._jobs import JobSpec
from ._learned import Learned
from ._resources import Resources
from ._state import JobInfo, ShardState, TaskInfo

MAX_LEARNED: Final = 4096


def learned_of(state: ShardState, spec: JobSpec) -> Learned:
    """Return what is learned of a team's workload, from now on."""
    key = (spec.team, spec.workload)
    known = state.learned.get(key)
    if known is None:
        if len(state.learned) >= MAX_LEARNED:
            state.learned.pop(next(iter(state.learned)))
        known = Learned()
        state.learned[key] = known
    return known


def note_run(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    at_ms: int,
) -> None:
    """Learn from a task that ended well."""
    learned = learned_of(state, job.spec)
    learned.note_end(
        max(0, at_ms - task.started_ms),
        task.used_cores_milli,
        task.used_memory_mb,
    )


def booked_demand(state: ShardState, spec: JobSpec) -> Resources:
    """Return the higher of declared and learned, where a worker holds it."""
    declared = spec.demand
    learned = state.learned.get((spec.team, spec.workload))
    if learned is None:
        return declared
    cores_milli = max(declared.cores_milli, learned.cores_milli)
    memory_mb = max(declared.memory_mb, learned.memory_mb)
    booked = declared._replace(cores_milli=cores_milli, memory_mb=memory_mb)
    if booked == declared:
        return declared
    holds = any(booked.fits_in(shape) for shape in state.ledger.shapes)
    return booked if holds else declared


def expected_run_ms(state: ShardState, spec: JobSpec) -> int:
    """Return the learned run time, or the declared one before any run."""
    learned = state.learned.get((spec.team, spec.workload))
    if learned is None or not learned.runs:
        return spec.expected_run_ms
    return learned.long_run_ms
