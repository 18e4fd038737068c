"""Define the specification of a workflow, a job of dependent steps."""

from typing import Final, NamedTuple

from .._resources import Resources

MAX_TASKS_PER_STEP: Final = 10_000
# A job is opened at once: 30,000 tasks take 70 ms of a processor and 10 MB.
MAX_TASKS_PER_JOB: Final = 30_000


class StepSpec(NamedTuple):
    """Specification of one step, whose tasks are identical.

    `lasts` marks a service step that runs until it is cancelled. `fills`
    marks a filler step that uses only cores left unused by other runs.
    """

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

    @property
    def charged_demand(self) -> Resources:
        """Return what one task counts against a quota.

        A filler task allocates no cores, but those that it wants count.
        """
        if not self.fills:
            return self.demand
        cores_milli = self.demand.cores_milli + self.filler_cores_milli
        return self.demand._replace(cores_milli=cores_milli)


class AdvicePolicy(NamedTuple):
    """Duration of a placement advice call and validity of its tickets."""

    base_ms: float
    per_worker_ms: float
    valid_ms: int

    def call_ms(self, workers: int) -> float:
        """Return the expected duration of a call in ms, for its worker count."""
        return self.base_ms + self.per_worker_ms * workers


class QueuePolicy(NamedTuple):
    """Settings of an operator for all jobs of a queue; times in ms."""

    name: str
    pool: str
    max_attempts: int = 1
    stretch: float = 1
    objective_ms: int = 0
    priority: int = 0
    advice: AdvicePolicy | None = None


class WorkflowSpec(NamedTuple):
    """Specification of one accepted job; wall times are Unix time in ms.

    `tenant` is empty for jobs of a public queue, and where there are no tenants.
    """

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
    tenant: str = ''


class TaskKey(NamedTuple):
    """Identify one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    member: int


class WorkerKey(NamedTuple):
    """Identify one instance of a worker.

    A worker may start again under its id. `started_ms` is the Unix time of the
    start, or 0 where it is not known.
    """

    worker_id: str
    started_ms: int = 0


class StepKey(NamedTuple):
    """Identify one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class RunKey(NamedTuple):
    """Identify one start of a task."""

    task: TaskKey
    number: int


def make_step_spec(
    demand: Resources, fills: bool, **fields: object
) -> StepSpec:
    """Return a step; a filler step allocates no cores."""
    allocated = demand._replace(cores_milli=0) if fills else demand
    return StepSpec(
        demand=allocated,
        fills=fills,
        filler_cores_milli=demand.cores_milli if fills else 0,
        **fields,  # type: ignore[arg-type]
    )


def find_forward_dependency(after: tuple[int, ...], number: int) -> int | None:
    """Return a dependency that is not an earlier step, or None."""
    for dependency in after:
        if not 0 <= dependency < number:
            return dependency
    return None


class StepGraph(NamedTuple):
    """Dependencies of the steps of a job, by step, and its longest paths.

    `dependents` holds the steps after each step, `dependencies` how many steps each
    one comes after. `remaining_ms` is the duration in ms of the longest path that
    begins at a step, `path_ms` that of the critical path of the job.
    """

    dependents: tuple[tuple[int, ...], ...]
    dependencies: tuple[int, ...]
    remaining_ms: tuple[int, ...]
    path_ms: int

    def objective_ms(self, spec: WorkflowSpec) -> int:
        """Return the allowed duration of the job in ms, from its start time."""
        return int(spec.stretch * self.path_ms) + spec.objective_ms


def make_step_graph(spec: WorkflowSpec) -> StepGraph:
    """Return the graph of a job, in time linear in its steps and edges."""
    dependents: list[list[int]] = [[] for _ in spec.steps]
    dependencies = []
    for index, step in enumerate(spec.steps):
        numbers = dict.fromkeys(step.after)
        dependencies.append(len(numbers))
        for number in numbers:
            dependents[number].append(index)
    remaining_ms = [0 for _ in spec.steps]
    for index in reversed(range(len(spec.steps))):
        later_ms = [remaining_ms[number] for number in dependents[index]]
        duration_ms = _step_duration_ms(spec, spec.steps[index])
        remaining_ms[index] = duration_ms + max(later_ms, default=0)
    return StepGraph(
        tuple(map(tuple, dependents)),
        tuple(dependencies),
        tuple(remaining_ms),
        max(remaining_ms, default=0),
    )


def objective_ms(spec: WorkflowSpec) -> int:
    """Return the allowed duration of a job in ms, from its start time."""
    return int(spec.stretch * critical_path_ms(spec)) + spec.objective_ms


def critical_path_ms(spec: WorkflowSpec) -> int:
    """Return the duration in ms of the critical path through the steps."""
    longest: list[int] = []
    for step in spec.steps:
        start = max((longest[number] for number in step.after), default=0)
        longest.append(start + _step_duration_ms(spec, step))
    return max(longest, default=0)


def _step_duration_ms(spec: WorkflowSpec, step: StepSpec) -> int:
    advice_ms = spec.advice.base_ms if spec.advice else 0
    return step.expected_ms + int(advice_ms)
