"""Encode and decode accepted jobs as store records.

A record is a JSON object with the fields of `WorkflowSpec`. Each step is an
object with its width, its demand and the `StepSpec` fields that differ from
their defaults.
"""

from typing import Any, Final

import orjson
from result import Err, Ok, Result

from .._resources import Resources
from ..workflow import AdvicePolicy, StepSpec, WorkflowSpec

DECODE_ERRORS: Final = (ValueError, TypeError, KeyError, AttributeError)
_DEFAULTS: Final = StepSpec(1, Resources(), 0)


def encode_spec(spec: WorkflowSpec) -> bytes:
    """Return the record of an accepted job."""
    fields = spec._asdict()
    fields['steps'] = [_encode_step(step) for step in spec.steps]
    if spec.advice is not None:
        fields['advice'] = list(spec.advice)
    if not spec.tenant:
        # Earlier versions cannot read a record with this field.
        fields.pop('tenant')
    return orjson.dumps(fields)


def _encode_step(step: StepSpec) -> dict[str, Any]:
    fields = step._asdict()
    fields['demand'] = list(step.demand[:3])
    fields['after'] = list(step.after)
    return {
        name: content
        for name, content in fields.items()
        if name in {'demand', 'width'} or content != getattr(_DEFAULTS, name)
    }


def decode_spec(raw: bytes) -> Result[WorkflowSpec, str]:
    """Return the job in a record, or the error if it cannot be decoded."""
    try:
        return Ok(_decode(orjson.loads(raw)))
    except DECODE_ERRORS as error:
        return Err(f'{type(error).__name__}: {error}')


def _decode(fields: dict[str, Any]) -> WorkflowSpec:
    steps = tuple(_decode_step(step) for step in fields.pop('steps'))
    advice = fields.pop('advice', None)
    policy = AdvicePolicy(*advice) if advice else None
    return WorkflowSpec(**fields, steps=steps, advice=policy)


def _decode_step(fields: dict[str, Any]) -> StepSpec:
    demand = Resources(*fields.pop('demand'))
    after = tuple(fields.pop('after', ()))
    expected_ms = fields.pop('expected_ms', 0)
    return StepSpec(
        demand=demand,
        after=after,
        expected_ms=expected_ms,
        **fields,
    )
