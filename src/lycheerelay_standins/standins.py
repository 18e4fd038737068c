"""Export the stand-ins of the log, the VM list and the workers."""

from ._cell import Cell, PoolShape, Workers
from ._faults import Faults, FaultSwitches
from ._ledger import StartLedger
from ._log import LogStandIn
from ._vm_list import VmListStandIn
from ._worker import WorkerStandIn

__all__ = (
    'Cell',
    'FaultSwitches',
    'Faults',
    'LogStandIn',
    'PoolShape',
    'StartLedger',
    'VmListStandIn',
    'WorkerStandIn',
    'Workers',
)
