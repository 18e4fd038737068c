"""Decode what the operator, the workers and the callers write."""

import logging
from collections.abc import Mapping
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from .._resources import Resources
from ..serving import KeyedRecord, Queue, QueueTable
from ..workflow import (
    MAX_TASKS_PER_STEP,
    AdvicePolicy,
    QueuePolicy,
    StepSpec,
    WorkerListing,
    WorkflowSpec,
    find_forward_dependency,
    make_step_spec,
)

logger = logging.getLogger('lycheerelay.decode')

CONFIG_KEY: Final = 'config'
# Numbers beyond this are no times and no amounts.
MOST_NUMBER: Final = 1 << 45
STATES: Final = frozenset(('ready', 'draining'))
UNREADABLE: Final = (
    KeyError,
    TypeError,
    ValueError,
    IndexError,
    AttributeError,
)


def decode_config(record: KeyedRecord) -> QueueTable | None:
    """Return a version of the configuration; None for other records."""
    if record.key != CONFIG_KEY or record.payload is None:
        return None
    try:
        return _config(orjson.loads(record.payload))
    except UNREADABLE as error:
        logger.warning(
            'config_unreadable',
            extra={'offset': record.offset, 'error': repr(error)},
        )
        return None


def _config(fields: Mapping[str, Any]) -> QueueTable:
    return QueueTable(
        version=int(fields['version']),
        queues=tuple(_queue(route) for route in fields['routes']),
        pools=frozenset(pool['name'] for pool in fields['services']),
        max_body_bytes=int(fields['limits']['maxBodyBytes']),
    )


def _queue(route: Mapping[str, Any]) -> Queue:
    advice = route.get('placementAdvisor')
    policy = QueuePolicy(
        name=route['name'],
        pool=route['service'],
        max_attempts=int(route.get('maxAttempts', 1)),
        stretch=float(route.get('stretch', 1)),
        objective_ms=int(route.get('targetLatencyMs', 0)),
        priority=int(route.get('priority', 0)),
        advice=_advice(advice) if advice else None,
    )
    return Queue(route['host'], route['pathPrefix'], policy)


def _advice(fields: Mapping[str, Any]) -> AdvicePolicy:
    return AdvicePolicy(
        float(fields.get('decisionMs', 0)),
        float(fields.get('periodMs', 0)),
        int(fields['validityMs']),
    )


def decode_worker(record: KeyedRecord) -> WorkerListing | None:
    """Return a registration; None for what no worker wrote."""
    try:
        return _worker(record.key, orjson.loads(record.payload or b''))
    except UNREADABLE as error:
        logger.info(
            'registration_unreadable',
            extra={'worker': record.key, 'error': repr(error)},
        )
        return None


def _worker(worker_id: str, fields: Mapping[str, Any]) -> WorkerListing:
    state = fields['state']
    if state not in STATES:
        raise ValueError(f'unknown state {state!r}')
    labels = [_text(label) for label in fields.get('labels') or ()]
    address = _text(fields['address'])
    _, port = address.rsplit(':', 1)
    int(port)
    return WorkerListing(
        worker_id=worker_id,
        address=address,
        pool=_text(fields['service']),
        domain=_text(fields.get('zone', '')),
        # The labels are the worker's kind and its rack, in this order.
        rack=labels[1] if len(labels) > 1 else '',
        labels=frozenset(labels),
        capacity=_resources(fields['capacity']),
        draining=state == 'draining',
    )


def _text(content: object) -> str:
    if not isinstance(content, str):
        raise TypeError(f'expected text, not {content!r}')
    return content


def _resources(fields: Mapping[str, Any]) -> Resources:
    amounts = Resources(
        cores_milli=_whole(fields, 'cpu'),
        memory_mb=_whole(fields, 'memMb'),
        accelerators=_whole(fields, 'gpus'),
    )
    if min(amounts) < 0:
        raise ValueError(f'negative amount in {fields!r}')
    return amounts


def decode_job(
    raw: bytes,
    job_id: str,
    policy: QueuePolicy,
    accepted_ms: int,
) -> Result[WorkflowSpec, str]:
    """Return the job of a submission, or what is wrong with its body."""
    try:
        fields = orjson.loads(raw)
        steps = tuple(
            _step(step, number) for number, step in enumerate(fields['steps'])
        )
        if not steps:
            return Err('steps: at least one is needed')
        return Ok(_job(fields, steps, job_id, policy, accepted_ms))
    except UNREADABLE as error:
        return Err(f'{type(error).__name__}: {error}')


def _job(
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
        payload=_text(fields.get('spec', '')),
        steps=steps,
        max_attempts=policy.max_attempts,
        stretch=policy.stretch,
        objective_ms=policy.objective_ms,
        accepted_ms=accepted_ms,
        priority=policy.priority,
        advice=policy.advice,
        # `repetitions` counts all runs of the steps, not those after the
        # first.
        occurrences=_whole(fields, 'repetitions'),
        first_due_ms=_whole(fields, 'firstRunMs'),
        every_ms=_whole(fields, 'intervalMs'),
    )


def _whole(fields: Mapping[str, Any], name: str) -> int:
    number = int(fields.get(name) or 0)
    if abs(number) > MOST_NUMBER:
        raise ValueError(f'{name}: {number} is too large')
    return number


def _step(fields: Mapping[str, Any], number: int) -> StepSpec:
    after = tuple(int(before) for before in fields.get('after') or ())
    width = int(fields['count'])
    if not 0 < width <= MAX_TASKS_PER_STEP:
        raise ValueError(f'steps[{number}].count: {width}')
    if find_forward_dependency(after, number) is not None:
        raise ValueError(f'steps[{number}].after: {after}')
    return make_step_spec(
        _resources(fields),
        bool(fields.get('fills')),
        width=width,
        expected_ms=_whole(fields, 'estimatedMs'),
        after=after,
        checkpoints=bool(fields.get('checkpointing')),
        gang=bool(fields.get('gang')),
        same_rack=bool(fields.get('tightlyCoupled')),
        label=_text(fields.get('requirements') or ''),
        rack=_text(fields.get('affinity') or ''),
        spread_limit=_whole(fields, 'antiAffinity'),
        copies=bool(fields.get('speculative')),
        lasts=bool(fields.get('longRunning')),
        image=_text(fields.get('image') or ''),
        tail_target_ms=_whole(fields, 'targetMs'),
    )
