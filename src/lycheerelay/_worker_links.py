"""Keep one link for each listed worker."""

import threading
from collections.abc import Callable, Iterable
from typing import Final, final

from ._clock import Clock
from ._events import Event, WorkerSpec, WorkerUnlisted
from ._http import HttpCaller
from ._renewal_interval import RenewalInterval, interval_for
from ._worker_client import WorkerClient
from ._worker_link import LinkSettings, WorkerLink

TASK_TTL_MS: Final = 60_000
CONFIRM_BOUND_MS: Final = 10_000


@final
class WorkerLinks:
    """Open links as workers are listed and tell them the node's terms."""

    def __init__(
        self,
        identity: str,
        caller: HttpCaller,
        clock: Clock,
        post: Callable[[str, Event], None],
    ) -> None:
        """Start without links."""
        self.identity = identity
        self.caller = caller
        self.clock = clock
        self.post = post
        self.log_read_ms = 0
        self.links: dict[str, WorkerLink] = {}
        self.specs: dict[str, WorkerSpec] = {}
        self.unlisted: set[str] = set()
        self.terms: dict[str, int] = {}
        self.task_ttl_ms = TASK_TTL_MS
        self.lock = threading.RLock()

    def update_listed(self, specs: Iterable[WorkerSpec]) -> None:
        """Open links to listed workers; let the others end."""
        listed = {spec.name: spec for spec in specs}
        with self.lock:
            for spec in listed.values():
                self.open(spec)
            gone = set(self.links) - set(listed) - self.unlisted
            for name in sorted(gone):
                self.unlisted.add(name)
                self.post_event(name, WorkerUnlisted(name))

    def open(self, spec: WorkerSpec) -> None:
        """Open a link to a worker that has none at this address."""
        with self.lock:
            self.unlisted.discard(spec.name)
            known = self.specs.get(spec.name)
            if known is not None and known.address == spec.address:
                return
            if known is not None:
                self._close(spec.name)
            self.specs[spec.name] = spec
            link = WorkerLink(
                spec.name,
                WorkerClient(self.caller, spec.address),
                LinkSettings(spec.pool, self.identity),
                self,
                self.clock,
                self.post_event,
            )
            self.links[spec.name] = link
            link.claim(self.terms.get(spec.pool, 0))

    def claim(self, pool: str, term: int) -> None:
        """Ask for the leases of a pool under a term; 0 asks no more."""
        with self.lock:
            self._reap()
            if self.terms.get(pool, 0) == term:
                return
            self.terms[pool] = term
            for link in self._of_pool(pool):
                link.claim(term)

    def get(self, worker: str) -> WorkerLink | None:
        """Return the link of a worker, where there is one."""
        return self.links.get(worker)

    def post_event(self, worker: str, event: Event) -> None:
        """Pass an event of a worker to its pool."""
        self.post(self.specs[worker].pool, event)

    def renewal_interval(self, pool: str) -> RenewalInterval:
        """Return how often to renew, by the number of workers held."""
        with self.lock:
            held = sum(link.term > 0 for link in self.links.values())
        return interval_for(held, self.task_ttl_ms)

    def may_keep_tasks(self, pool: str) -> bool:
        """Tell whether a renewal may prolong the tasks of a worker.

        Either the log was read to its end or most of the pool's workers
        renewed within the bound; else another node may own the pool and
        wait for these tasks to lapse.
        """
        bound_ms = min(CONFIRM_BOUND_MS, self.task_ttl_ms // 2)
        after_ms = self.clock.now_ms() - bound_ms
        if self.log_read_ms > after_ms:
            return True
        return self.holds_most(pool, after_ms)

    def holds_most(self, pool: str, after_ms: int) -> bool:
        """Tell whether most listed workers renewed after a time."""
        with self.lock:
            links = self._of_pool(pool)
            listed = [link for link in links if link.name not in self.unlisted]
        renewed = sum(link.renewed_ms > after_ms for link in listed)
        return renewed * 2 > len(listed)

    def hand_back(self) -> None:
        """Let every held lease end at its worker now."""
        for link in tuple(self.links.values()):
            link.hand_back()

    def stop(self) -> None:
        """Stop every link."""
        for link in tuple(self.links.values()):
            link.stop()

    def _of_pool(self, pool: str) -> list[WorkerLink]:
        return [
            link
            for name, link in self.links.items()
            if self.specs[name].pool == pool
        ]

    def _reap(self) -> None:
        # The list lags, so a link that still renews is kept.
        for name in tuple(self.unlisted):
            link = self.links.get(name)
            if link is None or not link.lease.is_valid(link.term):
                self._close(name)

    def _close(self, name: str) -> None:
        link = self.links.pop(name, None)
        self.unlisted.discard(name)
        if link is not None:
            link.stop()
