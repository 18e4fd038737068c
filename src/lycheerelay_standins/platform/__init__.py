"""Provide the emulated platform: virtual time, auditor, fuzzer and soak."""

from ._audit import Audit, ObservedRun
from ._audit_tenants import ObservedCall, TenantAudit
from ._callers import KeyedCaller
from ._cell import PlatformCell
from ._environment import CellShape, QueueShape
from ._freezing import FreezableLoop
from ._fuzz import FuzzResult, fuzz
from ._fuzz_faults import FAULTS
from ._fuzz_tenants import TENANT_FAULTS
from ._network import EmulatedNetwork, NetCaller, Request
from ._soak import SoakResult, soak
from ._store import StoreStandIn
from ._tenants import Credential, TenantBounds, TenantShape
from ._virtual_time import LoopClock, run_virtual
from ._worker import Shape, WorkerStandIn

__all__ = (
    'FAULTS',
    'TENANT_FAULTS',
    'Audit',
    'CellShape',
    'Credential',
    'EmulatedNetwork',
    'FreezableLoop',
    'FuzzResult',
    'KeyedCaller',
    'LoopClock',
    'NetCaller',
    'ObservedCall',
    'ObservedRun',
    'PlatformCell',
    'QueueShape',
    'Request',
    'Shape',
    'SoakResult',
    'StoreStandIn',
    'TenantAudit',
    'TenantBounds',
    'TenantShape',
    'WorkerStandIn',
    'fuzz',
    'run_virtual',
    'soak',
)
