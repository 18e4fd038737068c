"""Decode the configuration, worker registrations and submitted jobs."""

import logging
from collections.abc import Mapping
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from .._resources import Resources
from ..serving import CONFIG_KEY, KeyedRecord, Queue, QueueTable, digest_of
from ..serving.connections import RequestLimits
from ..workflow import (
    MAX_TASKS_PER_JOB,
    MAX_TASKS_PER_STEP,
    AdvicePolicy,
    QueuePolicy,
    StepSpec,
    WorkerKey,
    WorkerListing,
    WorkflowSpec,
    find_forward_dependency,
    make_step_spec,
)
from ..workflow.tenants import TenantPolicy

logger = logging.getLogger('lycheerelay.decode')

# Larger numbers cannot be valid times or amounts.
MAX_NUMBER: Final = 1 << 45
REGISTRATION_STATES: Final = frozenset(('ready', 'draining'))
DECODE_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    IndexError,
    AttributeError,
)


def decode_config(record: KeyedRecord) -> QueueTable | None:
    """Return the configuration in a record, or None if it holds none."""
    if record.key != CONFIG_KEY or record.payload is None:
        return None
    try:
        return _decode_queue_table(orjson.loads(record.payload))
    except DECODE_ERRORS as error:
        logger.warning(
            'config_unreadable',
            extra={'offset': record.offset, 'error': repr(error)},
        )
        return None


def _decode_queue_table(fields: Mapping[str, Any]) -> QueueTable:
    # An empty list of tenants leaves no valid key.
    requires_keys = 'tenants' in fields
    return QueueTable(
        version=int(fields['version']),
        queues=tuple(
            _decode_queue(route, requires_keys) for route in fields['routes']
        ),
        pools=frozenset(pool['name'] for pool in fields['services']),
        request_limits=_decode_request_limits(fields.get('limits') or {}),
        tenants=tuple(map(_decode_tenant, fields.get('tenants') or ())),
        requires_keys=requires_keys,
    )


def _decode_request_limits(fields: Mapping[str, Any]) -> RequestLimits:
    # A field that is missing, empty or 0 has its default.
    defaults = RequestLimits()
    return RequestLimits(
        int(fields.get('maxHeaderBytes') or defaults.header_bytes),
        int(fields.get('maxBodyBytes') or defaults.body_bytes),
        int(fields.get('headerTimeoutMs') or defaults.header_ms),
        int(fields.get('idleTimeoutMs') or defaults.idle_ms),
    )


def _decode_tenant(fields: Mapping[str, Any]) -> TenantPolicy:
    weight = float(fields.get('weight') or 0)
    if not 0 <= weight <= MAX_NUMBER:
        raise ValueError(f'tenant {fields["name"]}: weight {weight}')
    name = _check_text(fields['name'])
    keys = fields.get('apiKeys') or []
    is_list = isinstance(keys, list)
    if not is_list or not all(isinstance(key, str) for key in keys):
        # The message leaves out the keys, since it is logged.
        raise TypeError(f'tenant {name}: apiKeys is not a list of strings')
    if not name:
        # Jobs without a tenant have this name.
        raise ValueError('a tenant has an empty name')
    return TenantPolicy(
        name=name,
        weight=weight,
        quota=_decode_resources(fields.get('maxCount') or {}),
        keys=frozenset(map(digest_of, filter(None, keys))),
    )


def _decode_queue(route: Mapping[str, Any], requires_keys: bool) -> Queue:
    advice = route.get('placementAdvisor')
    policy = QueuePolicy(
        name=route['name'],
        pool=route['service'],
        max_attempts=int(route.get('maxAttempts', 1)),
        stretch=float(route.get('stretch', 1)),
        objective_ms=int(route.get('targetLatencyMs', 0)),
        priority=int(route.get('priority', 0)),
        advice=_decode_advice_policy(advice) if advice else None,
    )
    is_public = bool(route.get('public', False)) or not requires_keys
    return Queue(route['host'], route['pathPrefix'], policy, is_public)


def _decode_advice_policy(fields: Mapping[str, Any]) -> AdvicePolicy:
    return AdvicePolicy(
        float(fields.get('decisionMs', 0)),
        float(fields.get('periodMs', 0)),
        int(fields['validityMs']),
    )


def decode_worker(record: KeyedRecord) -> WorkerListing | None:
    """Return the registration in a record, or None if it is not valid."""
    try:
        return _decode_listing(record.key, orjson.loads(record.payload or b''))
    except DECODE_ERRORS as error:
        logger.info(
            'registration_unreadable',
            extra={'worker': record.key, 'error': repr(error)},
        )
        return None


def decode_worker_key(asked: WorkerKey, fields: Mapping[str, Any]) -> WorkerKey:
    """Return the instance that sent these fields.

    Without a start time it is taken for the one that was asked.
    """
    return asked._replace(
        started_ms=_int_field(fields, 'born') or asked.started_ms
    )


def _decode_listing(worker_id: str, fields: Mapping[str, Any]) -> WorkerListing:
    state = fields['state']
    if state not in REGISTRATION_STATES:
        raise ValueError(f'unknown state {state!r}')
    labels = [_check_text(label) for label in fields.get('labels') or ()]
    address = _check_text(fields['address'])
    _, port = address.rsplit(':', 1)
    int(port)
    return WorkerListing(
        worker=decode_worker_key(WorkerKey(worker_id), fields),
        address=address,
        pool=_check_text(fields['service']),
        domain=_check_text(fields.get('zone', '')),
        # The platform sends the worker's kind and its rack, in this order.
        rack=labels[1] if len(labels) > 1 else '',
        labels=frozenset(labels),
        capacity=_decode_resources(fields['capacity']),
        draining=state == 'draining',
    )


def _check_text(content: object) -> str:
    if not isinstance(content, str):
        raise TypeError(f'expected a string, not {content!r}')
    return content


def _decode_resources(fields: Mapping[str, Any]) -> Resources:
    amounts = Resources(
        cores_milli=_int_field(fields, 'cpu'),
        memory_mb=_int_field(fields, 'memMb'),
        accelerators=_int_field(fields, 'gpus'),
    )
    if min(amounts) < 0:
        raise ValueError(f'negative amount in {fields!r}')
    return amounts


def decode_job(
    raw: bytes,
    job_id: str,
    policy: QueuePolicy,
    accepted_ms: int,
    tenant: str = '',
) -> Result[WorkflowSpec, str]:
    """Return a tenant's job in a request body, or what is wrong with it."""
    try:
        fields = orjson.loads(raw)
        steps = tuple(
            _decode_step(step, number)
            for number, step in enumerate(fields['steps'])
        )
        if not steps:
            return Err('steps: at least one step is required')
        spec = _build_job_spec(fields, steps, job_id, policy, accepted_ms)
    except DECODE_ERRORS as error:
        return Err(f'{type(error).__name__}: {error}')
    tasks = sum(step.width for step in steps)
    if tasks > MAX_TASKS_PER_JOB:
        return Err(f'steps: {tasks} tasks, at most {MAX_TASKS_PER_JOB}')
    return Ok(spec._replace(tenant=tenant))


def _build_job_spec(
    fields: Mapping[str, Any],
    steps: tuple[StepSpec, ...],
    job_id: str,
    policy: QueuePolicy,
    accepted_ms: int,
) -> WorkflowSpec:
    return WorkflowSpec(
        job_id=job_id,
        queue=policy.name,
        pool=policy.pool,
        payload=_check_text(fields.get('spec', '')),
        steps=steps,
        max_attempts=policy.max_attempts,
        stretch=policy.stretch,
        objective_ms=policy.objective_ms,
        accepted_ms=accepted_ms,
        priority=policy.priority,
        advice=policy.advice,
        # `repetitions` counts every run of the steps, including the first.
        occurrences=_int_field(fields, 'repetitions'),
        first_due_ms=_int_field(fields, 'firstRunMs'),
        every_ms=_int_field(fields, 'intervalMs'),
    )


def _int_field(fields: Mapping[str, Any], name: str) -> int:
    number = int(fields.get(name) or 0)
    if abs(number) > MAX_NUMBER:
        raise ValueError(f'{name}: {number} is too large')
    return number


def _decode_step(fields: Mapping[str, Any], number: int) -> StepSpec:
    after = tuple(int(dependency) for dependency in fields.get('after') or ())
    width = int(fields['count'])
    if not 0 < width <= MAX_TASKS_PER_STEP:
        raise ValueError(f'steps[{number}].count: {width}')
    if find_forward_dependency(after, number) is not None:
        raise ValueError(f'steps[{number}].after: {after}')
    return make_step_spec(
        _decode_resources(fields),
        bool(fields.get('fills')),
        width=width,
        expected_ms=_int_field(fields, 'estimatedMs'),
        after=after,
        checkpoints=bool(fields.get('checkpointing')),
        gang=bool(fields.get('gang')),
        same_rack=bool(fields.get('tightlyCoupled')),
        label=_check_text(fields.get('requirements') or ''),
        rack=_check_text(fields.get('affinity') or ''),
        spread_limit=_int_field(fields, 'antiAffinity'),
        copies=bool(fields.get('speculative')),
        lasts=bool(fields.get('longRunning')),
        image=_check_text(fields.get('image') or ''),
        tail_target_ms=_int_field(fields, 'targetMs'),
    )
