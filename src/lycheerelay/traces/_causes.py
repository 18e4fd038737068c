"""Name what a job waits for, from what is known about its runs."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum, unique
from typing import Final


@unique
class Cause(StrEnum):
    """Reason for which a job is not done at a moment."""

    KEY = 'key'
    CONNECTION = 'connection'
    BUSY = 'busy'
    STORE = 'store'
    OWNER = 'owner'
    ADVICE = 'advice'
    QUOTA = 'quota'
    SHARE = 'share'
    CAPACITY = 'capacity'
    START_RECORD = 'start_record'
    RUNNING = 'running'
    TRIAL = 'trial'
    RERUN = 'rerun'
    END_RECORD = 'end_record'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class JobProgress:
    """Track what the log lines have told about one job so far.

    `widths` are the numbers of tasks of its steps. `advised` holds the steps
    that the advisor has allowed workers for, `done`, `lost` and `suspected` task names,
    `unrecorded` and `running` the names of runs in that state. `refused_by` is the
    cause of the last refusal until the job is accepted, `held_by` holds the causes
    for which work of its tenant is held back.
    """

    accepted: bool = False
    opened: bool = False
    settled: bool = False
    widths: tuple[int, ...] = ()
    needs_advice: bool = False
    advised: set[str] = field(default_factory=set)
    done: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)
    suspected: set[str] = field(default_factory=set)
    unrecorded: set[str] = field(default_factory=set)
    running: set[str] = field(default_factory=set)
    refused_by: Cause | None = None
    held_by: set[Cause] = field(default_factory=set)

    @property
    def has_gaps(self) -> bool:
        """Return whether lines about a finished job must be missing."""
        ended = {_step_of(task) for task in self.done | self.lost}
        return not self.opened or not ended.issuperset(range(len(self.widths)))

    @property
    def missing(self) -> int:
        """Return the tasks of the first open step that have no run."""
        step = self.open_step
        if step == len(self.widths):
            return 0
        tasks = self.done.union(map(_task_of, self.running | self.unrecorded))
        begun = sum(_step_of(task) == step for task in tasks)
        return max(self.widths[step] - begun, 0)

    @property
    def open_step(self) -> int:
        """Return the index of the first step that is not done."""
        for step, width in enumerate(self.widths):
            if sum(_step_of(task) == step for task in self.done) < width:
                return step
        return len(self.widths)


Rule = Callable[[JobProgress], bool]

# Causes in the order in which they are tested; the first that holds counts.
RULES: Final[tuple[tuple[Cause, Rule], ...]] = (
    (Cause.KEY, lambda job: job.refused_by is Cause.KEY),
    (Cause.CONNECTION, lambda job: job.refused_by is Cause.CONNECTION),
    (Cause.BUSY, lambda job: job.refused_by is Cause.BUSY),
    (Cause.SHARE, lambda job: job.refused_by is Cause.SHARE),
    (Cause.STORE, lambda job: not job.accepted),
    (Cause.END_RECORD, lambda job: job.settled),
    (Cause.OWNER, lambda job: not job.opened),
    (
        Cause.START_RECORD,
        lambda job: bool(job.unrecorded and not job.running),
    ),
    (Cause.TRIAL, lambda job: bool((job.lost & job.suspected) - job.done)),
    (Cause.RERUN, lambda job: bool(job.lost - job.done)),
    (
        Cause.ADVICE,
        lambda job: bool(
            job.missing
            and job.needs_advice
            and str(job.open_step) not in job.advised
        ),
    ),
    (
        Cause.QUOTA,
        lambda job: bool(job.missing and Cause.QUOTA in job.held_by),
    ),
    (
        Cause.SHARE,
        lambda job: bool(job.missing and Cause.SHARE in job.held_by),
    ),
    (Cause.CAPACITY, lambda job: bool(job.missing)),
    (Cause.RUNNING, lambda job: bool(job.running)),
)


def cause_of(job: JobProgress) -> Cause:
    """Return what the job waits for."""
    for cause, holds in RULES:
        if holds(job):
            return cause
    return Cause.UNKNOWN


def _task_of(run: str) -> str:
    return run.partition('#')[0]


def _step_of(name: str) -> int:
    # JOB.OCCURRENCE.STEP.MEMBER
    return int(name.split('.')[2])
