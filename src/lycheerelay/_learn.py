"""Learn the actual resource use and run times of each team's workloads."""

from typing import Final

from ._jobs import JobSpec
from ._learned import LearnedUsage
from ._resources import Resources
from ._state import JobInfo, ShardState, TaskInfo

MAX_LEARNED_WORKLOADS: Final = 4096


def learned_for(state: ShardState, spec: JobSpec) -> LearnedUsage:
    """Return the learned usage of a team's workload, created if missing.

    At the size limit the entry that was created first is dropped.
    """
    key = (spec.team, spec.workload)
    known = state.learned.get(key)
    if known is None:
        if len(state.learned) >= MAX_LEARNED_WORKLOADS:
            state.learned.pop(next(iter(state.learned)))
        known = LearnedUsage()
        state.learned[key] = known
    return known


def record_run(
    state: ShardState,
    job: JobInfo,
    task: TaskInfo,
    at_ms: int,
) -> None:
    """Learn from a task that ended successfully."""
    learned = learned_for(state, job.spec)
    learned.record_end(
        max(0, at_ms - task.started_ms),
        task.used_cores_milli,
        task.used_memory_mb,
    )


def allocated_demand(state: ShardState, spec: JobSpec) -> Resources:
    """Return the higher of declared and learned demand.

    Where that fits on no worker of the pool, return the declared demand.
    """
    declared = spec.demand
    learned = state.learned.get((spec.team, spec.workload))
    if learned is None:
        return declared
    cores_milli = max(declared.cores_milli, learned.cores_milli)
    memory_mb = max(declared.memory_mb, learned.memory_mb)
    demand = declared._replace(cores_milli=cores_milli, memory_mb=memory_mb)
    if demand == declared:
        return declared
    fits = any(demand.fits_in(shape) for shape in state.ledger.shapes)
    return demand if fits else declared


def expected_run_ms(state: ShardState, spec: JobSpec) -> int:
    """Return the learned run time, or the declared one before the first run."""
    learned = state.learned.get((spec.team, spec.workload))
    if learned is None or not learned.runs:
        return spec.expected_run_ms
    return learned.long_run_ms
