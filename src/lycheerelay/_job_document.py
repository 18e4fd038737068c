"""Parse the JSON documents in which callers describe workflow jobs."""

import re
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ._codec import FieldError, Json, from_json
from ._field_ranges import FieldRange, find_out_of_range
from ._resources import Resources
from .workflow import (
    MAX_TASKS_PER_JOB,
    MAX_TASKS_PER_STEP,
    QueuePolicy,
    StepSpec,
    WorkflowSpec,
    find_forward_dependency,
    make_step_spec,
)

MAX_STEPS: Final = 1000
MAX_OCCURRENCES: Final = 10_000
MAX_MS: Final = 1 << 45
MAX_AMOUNT: Final = 100_000_000
MAX_ACCELERATORS: Final = 1024
JOB_ID: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,95}')
JOB_ID_DESCRIPTION: Final = 'at most 96 letters, digits, dots, - or _'


class StepDocument(NamedTuple):
    """Hold a step as submitted; resource amounts are per task."""

    width: int
    expected_ms: int
    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
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


class JobDocument(NamedTuple):
    """Hold a job as submitted; times are milliseconds since the Unix epoch."""

    job_id: str
    queue: str
    steps: tuple[StepDocument, ...]
    payload: str = ''
    occurrences: int = 0
    first_due_ms: int = 0
    every_ms: int = 0


STEP_RANGES: Final = (
    FieldRange('width', 1, MAX_TASKS_PER_STEP),
    FieldRange('expected_ms', 0, MAX_MS),
    FieldRange('cores_milli', 0, MAX_AMOUNT),
    FieldRange('memory_mb', 0, MAX_AMOUNT),
    FieldRange('accelerators', 0, MAX_ACCELERATORS),
    FieldRange('spread_limit', 0, MAX_TASKS_PER_STEP),
    FieldRange('tail_target_ms', 0, MAX_MS),
)
JOB_RANGES: Final = (
    FieldRange('occurrences', 0, MAX_OCCURRENCES),
    FieldRange('first_due_ms', 0, MAX_MS),
    FieldRange('every_ms', 0, MAX_MS),
)
# Pairs of step fields that must not be set together.
EXCLUSIVE_FIELDS: Final = (
    ('gang', 'copies'),
    ('lasts', 'copies'),
    ('lasts', 'gang'),
    ('fills', 'gang'),
    ('fills', 'tail_target_ms'),
)


def read_document(body: Json) -> Result[JobDocument, FieldError]:
    """Parse a job document; the error names the first invalid field."""
    parsed = from_json(JobDocument, body)
    if isinstance(parsed, Err):
        return parsed
    document: JobDocument = parsed.ok_value
    invalid = _find_invalid_job_field(document)
    if invalid is not None:
        return Err(invalid)
    for number, step in enumerate(document.steps):
        invalid = _find_invalid_step_field(step, number)
        if invalid is not None:
            return Err(invalid.within(f'steps[{number}]'))
    return Ok(document)


def to_spec(
    document: JobDocument,
    policy: QueuePolicy,
    accepted_ms: int,
) -> WorkflowSpec:
    """Return the workflow of a document with the policy of its queue."""
    return WorkflowSpec(
        job_id=document.job_id,
        queue=policy.name,
        pool=policy.pool,
        payload=document.payload,
        steps=tuple(_to_step(step) for step in document.steps),
        max_attempts=policy.max_attempts,
        stretch=policy.stretch,
        objective_ms=policy.objective_ms,
        accepted_ms=accepted_ms,
        priority=policy.priority,
        advice=policy.advice,
        occurrences=document.occurrences,
        first_due_ms=document.first_due_ms,
        every_ms=document.every_ms,
    )


def _find_invalid_job_field(document: JobDocument) -> FieldError | None:
    if not JOB_ID.fullmatch(document.job_id):
        return FieldError(
            'job_id', repr(document.job_id[:80]), JOB_ID_DESCRIPTION
        )
    count = len(document.steps)
    if not 0 < count <= MAX_STEPS:
        return FieldError('steps', f'{count} steps', f'1 to {MAX_STEPS}')
    tasks = sum(step.width for step in document.steps)
    if tasks > MAX_TASKS_PER_JOB:
        return FieldError(
            'steps', f'{tasks} tasks', f'at most {MAX_TASKS_PER_JOB}'
        )
    if document.occurrences > 1 and not document.every_ms:
        return FieldError('every_ms', '0', 'the time between occurrences')
    return find_out_of_range(document, JOB_RANGES)


def _find_invalid_step_field(
    step: StepDocument, number: int
) -> FieldError | None:
    for name, other in EXCLUSIVE_FIELDS:
        if getattr(step, name) and getattr(step, other):
            return FieldError(name, 'true', f'not together with {other}')
    if step.same_rack and not step.gang:
        return FieldError('same_rack', 'true', 'only together with gang')
    later_step = find_forward_dependency(step.after, number)
    if later_step is not None:
        expected = f'numbers of earlier steps, 0 to {number - 1}'
        return FieldError('after', str(later_step), expected)
    return find_out_of_range(step, STEP_RANGES)


def _to_step(step: StepDocument) -> StepSpec:
    fields = step._asdict()
    demand = Resources(
        fields.pop('cores_milli'),
        fields.pop('memory_mb'),
        fields.pop('accelerators'),
    )
    return make_step_spec(demand, fields.pop('fills'), **fields)
