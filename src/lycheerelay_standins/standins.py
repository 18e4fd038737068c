"""Stand in for the platform in tests and benchmarks."""

from ._cell import Cell, PoolShape, Workers
from ._faults import Faults, SwitchBoard
from ._ledger import StartLedger
from ._log import LogStandIn
from ._vms import VmListStandIn
from ._worker import WorkerStandIn

__all__ = (
    'Cell',
    'Faults',
    'LogStandIn',
    'PoolShape',
    'StartLedger',
    'SwitchBoard',
    'VmListStandIn',
    'WorkerStandIn',
    'Workers',
)
