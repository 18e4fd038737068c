"""Stand-in of the platform's VM list."""

import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, final

from lycheerelay._clock import Clock, SystemClock
from lycheerelay._codec import Json, from_json, to_json
from lycheerelay._events import WorkerSpec
from lycheerelay._vm_client import EntryVm
from lycheerelay._web import Request, Response, Route, route

from ._faults import FaultSwitches


class DelayedChange(NamedTuple):
    """A change that readers see from a later time on."""

    due_ms: int
    apply: Callable[[], object]


@final
class VmListStandIn:
    """Serve a VM list; changes become visible after a configurable lag."""

    def __init__(self, clock: Clock | None = None) -> None:
        """Start with an empty list and no lag."""
        self.clock = clock or SystemClock()
        self.workers: dict[str, WorkerSpec] = {}
        self.entries: dict[str, EntryVm] = {}
        self.version = 0
        self.lag_ms = 0
        self.pending_changes: deque[DelayedChange] = deque()
        self.lock = threading.Lock()
        self.fault_switches = FaultSwitches(
            self.clock,
            {
                'lag_ms': self.set_lag,
                'list_workers': self._list_workers,
                'list_entries': self._list_entries,
                'unlist': self.unlist,
                'leaving': self.mark_leaving,
            },
        )

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the VM list, with fault switches."""
        return self.fault_switches.wrap((route('GET', '/v1/vms', self.read),))

    def list_worker(self, spec: WorkerSpec) -> None:
        """Add or replace a worker."""
        self._change(lambda: self.workers.update({spec.name: spec}))

    def list_entry(self, entry: EntryVm) -> None:
        """Add or replace an entry VM."""
        self._change(lambda: self.entries.update({entry.name: entry}))

    def unlist(self, name: str) -> None:
        """Remove a worker or an entry VM."""
        self._change(
            lambda: (self.workers.pop(name, None), self.entries.pop(name, None))
        )

    def mark_leaving(self, name: str) -> None:
        """Mark a worker or an entry VM as leaving."""
        self._change(lambda: self._mark_leaving(name))

    def set_lag(self, lag_ms: int) -> None:
        """Delay the visibility of later changes."""
        self.lag_ms = lag_ms

    def read(self, request: Request) -> Response:
        """Return the list for one failure domain, or nothing if unchanged."""
        with self.lock:
            self._apply_due()
            if request.query.get('since') == str(self.version):
                return Response(200)
            return Response(
                200, self._domain_list(request.query.get('domain', ''))
            )

    def _domain_list(self, domain: str) -> Json:
        workers = [
            to_json(spec)
            for spec in self.workers.values()
            if spec.domain == domain
        ]
        entries = [to_json(entry) for entry in self.entries.values()]
        return {
            'version': self.version,
            'workers': workers,
            'entries': entries,
        }

    def _change(self, apply: Callable[[], object]) -> None:
        with self.lock:
            due_ms = self.clock.now_ms() + self.lag_ms
            self.pending_changes.append(DelayedChange(due_ms, apply))
            self._apply_due()

    def _apply_due(self) -> None:
        now_ms = self.clock.now_ms()
        while self.pending_changes and self.pending_changes[0].due_ms <= now_ms:
            self.pending_changes.popleft().apply()
            self.version += 1

    def _mark_leaving(self, name: str) -> None:
        if name in self.workers:
            spec = self.workers[name]
            self.workers[name] = spec._replace(leaving=True)
        if name in self.entries:
            entry = self.entries[name]
            self.entries[name] = entry._replace(leaving=True)

    def _list_workers(self, listed: Json) -> None:
        for raw in listed:
            self.list_worker(from_json(WorkerSpec, raw).unwrap())

    def _list_entries(self, listed: Json) -> None:
        for raw in listed:
            self.list_entry(from_json(EntryVm, raw).unwrap())
