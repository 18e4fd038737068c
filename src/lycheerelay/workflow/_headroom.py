"""Keep room for queues that cannot wait from work that can.

A run that was started cannot be taken back for free, so long runs with time
to spare would fill a pool between two arrivals of short, urgent jobs. The room
that a queue was seen to use lately is kept from steps of longer runs, while
these have more than a run's time left before they have to start.
"""

from dataclasses import dataclass
from typing import Final

from .._resources import Resources
from ._spec import chain_ms
from ._state import CellState, JobBook, StepBook

# What queues use is noted this often, in ms.
NOTE_EVERY_MS: Final = 500
# The largest use is forgotten by this share at each note: half in some 7 s.
FORGET: Final = 0.05


@dataclass(slots=True)
class QueueUse:
    """Track what the jobs of a queue use, and how long they can wait."""

    pool: str
    tolerance_ms: int = 0
    now: Resources = Resources()
    lately: Resources = Resources()

    def missing(self) -> Resources:
        """Return what the queue used lately and does not use now."""
        pairs = zip(self.lately, self.now, strict=True)
        return Resources(*(max(most - used, 0) for most, used in pairs))


def note_use(cell: CellState, now_ms: int) -> None:
    """Note what each queue uses, once in a while."""
    if now_ms - cell.use_noted_ms < NOTE_EVERY_MS:
        return
    cell.use_noted_ms = now_ms
    for use in cell.uses.values():
        use.now = Resources()
    for worker in cell.workers.values():
        for run in worker.runs.values():
            if not run.step.spec.lasts:
                use = _use_of(cell, run.step.job)
                use.now = use.now.plus(run.demand)
    for use in cell.uses.values():
        use.lately = Resources(
            *(
                max(used, int(most * (1 - FORGET)))
                for used, most in zip(use.now, use.lately, strict=True)
            ),
        )


def room_to_keep(cell: CellState, step: StepBook, now_ms: int) -> Resources:
    """Return what a step has to leave free in its pool."""
    kept = Resources()
    run_ms = step.spec.expected_ms
    if step.latest_start_ms - now_ms <= run_ms or step.spec.lasts:
        return kept
    pool = step.job.spec.pool
    for name, use in cell.uses.items():
        is_other = use.pool == pool and name != step.job.spec.queue
        if is_other and use.tolerance_ms < run_ms:
            kept = kept.plus(use.missing())
    return kept


def _use_of(cell: CellState, job: JobBook) -> QueueUse:
    spec = job.spec
    use = cell.uses.get(spec.queue)
    if use is None or use.pool != spec.pool:
        use = QueueUse(spec.pool)
        cell.uses[spec.queue] = use
    whole_ms = chain_ms(spec)
    use.tolerance_ms = int((spec.stretch - 1) * whole_ms) + spec.objective_ms
    return use
