"""Simulate workflow jobs on the scheduler core in virtual time."""

from ._rehearse import CellDocument, StepLine, read_cell, rehearse
from ._simulation import RunModel, RunPlan, RunRecord, Simulation

__all__ = (  # noqa: WPS410
    'CellDocument',
    'RunModel',
    'RunPlan',
    'RunRecord',
    'Simulation',
    'StepLine',
    'read_cell',
    'rehearse',
)
