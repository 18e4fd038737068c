"""Provide the emulated platform: virtual time, auditor, fuzzer and soak."""

from ._audit import Audit
from ._cell import PlatformCell
from ._environment import CellShape, QueueShape
from ._fuzz import FuzzResult, fuzz
from ._fuzz_faults import FAULTS
from ._network import EmulatedNetwork, NetCaller, Request
from ._soak import SoakResult, soak
from ._store import StoreStandIn
from ._virtual_time import LoopClock, run_virtual
from ._worker import Shape, WorkerStandIn

__all__ = (
    'FAULTS',
    'Audit',
    'CellShape',
    'EmulatedNetwork',
    'FuzzResult',
    'LoopClock',
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
