"""Describe a workflow: a job of steps with dependencies."""

from typing import Final, NamedTuple

from .._resources import Resources

# The largest number of tasks of one step.
MOST_TASKS: Final = 10_000


class StepSpec(NamedTuple):
    """Describe one step; its tasks are alike."""

    width: int
    demand: Resources
    expected_ms: int
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    rack: str = ''
    spread_limit: int = 0
    copies: bool = False
    lasts: bool = False
    image: str = ''
    tail_target_ms: int = 0
    fills: bool = False
    filler_cores_milli: int = 0


class AdvicePolicy(NamedTuple):
    """Tell what a call for placement advice takes, and how long it holds."""

    base_ms: float
    per_worker_ms: float
    valid_ms: int

    def call_ms(self, workers: int) -> float:
        """Return how long a call that names so many workers takes."""
        return self.base_ms + self.per_worker_ms * workers


class QueuePolicy(NamedTuple):
    """Tell what an operator sets for every job of a queue; times in ms."""

    name: str
    pool: str
    max_attempts: int = 1
    stretch: float = 1
    objective_ms: int = 0
    priority: int = 0
    advice: AdvicePolicy | None = None


class WorkflowSpec(NamedTuple):
    """Describe one accepted job; wall times are milliseconds since 1970."""

    job_id: str
    queue: str
    pool: str
    payload: str
    steps: tuple[StepSpec, ...]
    max_attempts: int
    stretch: float
    objective_ms: int
    accepted_ms: int
    priority: int = 0
    advice: AdvicePolicy | None = None
    occurrences: int = 0
    first_due_ms: int = 0
    every_ms: int = 0


class TaskKey(NamedTuple):
    """Name one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    member: int


class StepKey(NamedTuple):
    """Name one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class RunKey(NamedTuple):
    """Name one start of a task."""

    task: TaskKey
    number: int


def make_step(demand: Resources, fills: bool, **fields: object) -> StepSpec:
    """Return a step; what fills takes only cores that others leave unused."""
    booked = demand._replace(cores_milli=0) if fills else demand
    return StepSpec(
        demand=booked,
        fills=fills,
        filler_cores_milli=demand.cores_milli if fills else 0,
        **fields,  # type: ignore[arg-type]
    )


def find_later(after: tuple[int, ...], number: int) -> int | None:
    """Return a step that a step waits for and that does not precede it."""
    for before in after:
        if not 0 <= before < number:
            return before
    return None


def objective_ms(spec: WorkflowSpec) -> int:
    """Return within how many ms a job is in time, from its begin."""
    return int(spec.stretch * chain_ms(spec)) + spec.objective_ms


def chain_ms(spec: WorkflowSpec, first: int = 0) -> int:
    """Return the longest chain of expected work through the steps.

    With `first`, only chains that begin at that step count.
    """
    longest = [0 for _ in spec.steps]
    reachable = [False for _ in spec.steps]
    for index, step in enumerate(spec.steps):
        before = [number for number in step.after if reachable[number]]
        reachable[index] = index == first or bool(before) or first == 0
        if reachable[index]:
            start = max((longest[number] for number in before), default=0)
            longest[index] = start + _step_ms(spec, step)
    return max(longest, default=0)


def _step_ms(spec: WorkflowSpec, step: StepSpec) -> int:
    advice_ms = spec.advice.base_ms if spec.advice else 0
    return step.expected_ms + int(advice_ms)
