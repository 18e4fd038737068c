"""Validate submitted jobs."""

import re
from typing import Final

from result import Err, Ok, Result

from ._codec import FieldError, Json, from_json
from ._codes import Code, Refusal
from ._field_ranges import FieldRange, find_out_of_range
from ._jobs import ID_SEPARATOR, JobSpec
from ._options import suggest_name
from ._policy import Policy
from ._service import REPLICA_PREFIX

DAY_MS: Final = 86_400_000
MAX_TASKS: Final = 1000
MAX_PAYLOAD_BYTES: Final = 65_536
MAX_TIME_MS: Final = 1 << 45
NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9_-]{0,62}')
JOB_ID: Final = re.compile(
    rf'{NAME.pattern}{re.escape(ID_SEPARATOR)}[A-Za-z0-9_-]{{1,96}}',
)
JOB_ID_DESCRIPTION: Final = (
    'DOMAIN.ID, with ID of at most 96 letters, digits, - or _'
)
NAME_DESCRIPTION: Final = 'a name of at most 63 letters, digits, - or _'


RANGES: Final = (
    FieldRange('tasks', 1, MAX_TASKS),
    FieldRange('cores_milli', 1, 10_000_000),
    FieldRange('memory_mb', 1, 100_000_000),
    FieldRange('accelerators', 0, 1024),
    FieldRange('connections', 0, 1024),
    FieldRange('expected_run_ms', 1, 366 * DAY_MS),
    FieldRange('deadline_ms', 0, MAX_TIME_MS),
)
PATTERNS: Final = (
    ('job_id', JOB_ID, JOB_ID_DESCRIPTION),
    ('team', NAME, NAME_DESCRIPTION),
    ('workload', NAME, NAME_DESCRIPTION),
)


def read_spec(body: Json) -> Result[JobSpec, Refusal]:
    """Parse a submitted job; the refusal names the first invalid field."""
    parsed = from_json(JobSpec, body)
    if isinstance(parsed, Err):
        return Err(parsed.err_value.refusal())
    spec: JobSpec = parsed.ok_value
    size = len(spec.payload.encode('utf-8', 'surrogatepass'))
    if size > MAX_PAYLOAD_BYTES:
        detail = f'payload: {size} bytes, at most {MAX_PAYLOAD_BYTES}'
        return Err(Refusal(Code.TOO_LARGE, detail, not_run=True))
    invalid = find_invalid_field(spec)
    return Err(invalid.refusal()) if invalid else Ok(spec)


def find_invalid_field(spec: JobSpec) -> FieldError | None:
    """Return the first field with an invalid format or value."""
    for name, pattern, expected in PATTERNS:
        text = getattr(spec, name)
        if not pattern.fullmatch(text):
            return FieldError(name, repr(text[:80]), expected)
    if spec.job_id.partition(ID_SEPARATOR)[2].startswith(REPLICA_PREFIX):
        expected = f'an id that does not begin with {REPLICA_PREFIX}'
        return FieldError('job_id', repr(spec.job_id), expected)
    return find_out_of_range(spec, RANGES)


def find_unconfigured(policy: Policy, spec: JobSpec) -> FieldError | None:
    """Return the first field that contradicts the operators' configuration."""
    workload = policy.workload(spec.workload)
    if workload is None:
        names = [entry.name for entry in policy.workloads]
        expected = suggest_name(spec.workload, names)
        return FieldError('workload', repr(spec.workload), expected)
    if workload.kind != spec.kind:
        expected = f'{workload.kind!r}, the kind of {spec.workload}'
        return FieldError('kind', repr(spec.kind.value), expected)
    if policy.team(spec.team) is None:
        expected = suggest_name(
            spec.team, [entry.name for entry in policy.teams]
        )
        return FieldError('team', repr(spec.team), expected)
    return None


def is_job_id(text: str) -> bool:
    """Return whether a text is a valid job id."""
    return JOB_ID.fullmatch(text) is not None
