"""Provide the client of the entry VMs for use in other programs."""

from ._client import Client, ClientSettings
from ._codes import Code, Refusal
from ._jobs import JobSpec, Kind
from ._views import JobLine, JobList, JobView, Receipt, TaskView

__all__ = (
    'Client',
    'ClientSettings',
    'Code',
    'JobLine',
    'JobList',
    'JobSpec',
    'JobView',
    'Kind',
    'Receipt',
    'Refusal',
    'TaskView',
)
