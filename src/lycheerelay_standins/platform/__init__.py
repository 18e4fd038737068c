"""Provide the emulated platform: virtual time, auditor, fuzzer and soak."""

from ._audit import Audit, ObservedRun
from ._audit_tenants import ObservedCall, TenantAudit
from ._callers import KeyedCaller
from ._cell import PlatformCell
from ._crowd import (
    CROWDS,
    Crowd,
    chunked,
    job_of_many_steps,
    job_of_size,
    request_head,
)
from ._environment import CellShape, MachineShape, QueueShape
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
    'CROWDS',
    'FAULTS',
    'TENANT_FAULTS',
    'Audit',
    'CellShape',
    'Credential',
    'Crowd',
    'EmulatedNetwork',
    'FreezableLoop',
    'FuzzResult',
    'KeyedCaller',
    'LoopClock',
    'MachineShape',
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
    'chunked',
    'fuzz',
    'job_of_many_steps',
    'job_of_size',
    'request_head',
    'run_virtual',
    'soak',
)
