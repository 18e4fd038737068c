"""Stand in for the users' platform, in virtual time."""

from ._audit import Audit
from ._cell import PlatformCell
from ._fuzz import FAULTS, FuzzResult, fuzz
from ._net import Net, NetCaller, Request
from ._soak import SoakResult, soak
from ._store import StoreStandIn
from ._surroundings import CellShape, QueueShape
from ._virtual_time import LoopClock, run_virtual
from ._worker import Shape, WorkerStandIn

__all__ = (
    'FAULTS',
    'Audit',
    'CellShape',
    'FuzzResult',
    'LoopClock',
    'Net',
    'NetCaller',
    'PlatformCell',
    'QueueShape',
    'Request',
    'Shape',
    'SoakResult',
    'StoreStandIn',
    'WorkerStandIn',
    'fuzz',
    'run_virtual',
    'soak',
)
