"""Bundle the state that the parts of an owner share."""

import asyncio
from dataclasses import dataclass, field
from typing import Final

from .._clock import Clock
from ..workflow import CellState
from ._metrics_registry import MetricsRegistry
from ._ownership_lease import OwnershipLease
from ._poll_pace import PollPace
from ._ports import KeyedLog, Workers
from ._queues import TableSource, no_table

# Minimum time for which events are batched before a scheduling cycle.
CYCLE_DELAY_S: Final = 0.002


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that the platform sets, in ms."""

    lease_ms: int
    status_ms: int
    group_ttl_ms: int


@dataclass(slots=True, eq=False)
class OwnerContext:
    """Share one cell among the tasks that serve it.

    `find_table` returns the configuration in force, or None before the first one.
    """

    cell: CellState
    ownership_lease: OwnershipLease
    clock: Clock
    log: KeyedLog
    workers: Workers
    limits: Limits
    metrics: MetricsRegistry
    fence: int
    find_table: TableSource = no_table
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    cycle_needed: asyncio.Event = field(default_factory=asyncio.Event)
    recorded: asyncio.Event = field(default_factory=asyncio.Event)
    loaded: asyncio.Event = field(default_factory=asyncio.Event)
    poll_pace: PollPace = field(default_factory=PollPace)
    tail_offset: int = 0

    def notify_changed(self) -> None:
        """Wake the scheduling cycle and the recorder."""
        self.changed.set()
        self.cycle_needed.set()

    @property
    def may_send_orders(self) -> bool:
        """Return whether this owner may still send orders."""
        return not self.cell.deposed and self.ownership_lease.is_valid(
            self.now_ms
        )

    @property
    def now_ms(self) -> int:
        """Return the time in ms; it also advances while the VM is suspended."""
        return self.clock.now_ms()
