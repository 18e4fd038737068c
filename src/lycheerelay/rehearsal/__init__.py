"""Simulate workflow jobs on the scheduler core in virtual time."""

from ._rehearse import CellDocument, StepLine, read_cell, rehearse
from ._simulation import (
    ADVICE_QUEUES,
    RunModel,
    RunPlan,
    RunRecord,
    Simulation,
)

__all__ = (  # noqa: WPS410
    'ADVICE_QUEUES',
    'CellDocument',
    'RunModel',
    'RunPlan',
    'RunRecord',
    'Simulation',
    'StepLine',
    'read_cell',
    'rehearse',
)
