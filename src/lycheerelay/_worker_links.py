"""Manage one link for each listed worker."""

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
MAX_CONFIRMATION_AGE_MS: Final = 10_000


@final
class WorkerLinks:
    """Open and close links as workers are listed, and set their terms."""

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
        """Open links to listed workers and mark the others as unlisted."""
        listed = {spec.name: spec for spec in specs}
        with self.lock:
            for spec in listed.values():
                self.open(spec)
            gone = set(self.links) - set(listed) - self.unlisted
            for name in sorted(gone):
                self.unlisted.add(name)
                self.post_event(name, WorkerUnlisted(name))

    def open(self, spec: WorkerSpec) -> None:
        """Open a link to a worker unless it has one at this address."""
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
        """Request the leases of a pool under a term; 0 stops requests."""
        with self.lock:
            self._close_unlisted()
            if self.terms.get(pool, 0) == term:
                return
            self.terms[pool] = term
            for link in self._of_pool(pool):
                link.claim(term)

    def get(self, worker: str) -> WorkerLink | None:
        """Return the link of a worker, or None."""
        return self.links.get(worker)

    def post_event(self, worker: str, event: Event) -> None:
        """Post an event of a worker to its pool."""
        self.post(self.specs[worker].pool, event)

    def renewal_interval(self, pool: str) -> RenewalInterval:
        """Return the interval for the number of workers with a term."""
        with self.lock:
            active = sum(link.term > 0 for link in self.links.values())
        return interval_for(active, self.task_ttl_ms)

    def may_extend_tasks(self, pool: str) -> bool:
        """Return whether a renewal may extend the task leases of a worker.

        Requires that the log was read to its end, or that most workers of
        the pool renewed, within the last MAX_CONFIRMATION_AGE_MS. Otherwise
        another node may own the pool and wait for these tasks to expire.
        """
        max_age_ms = min(MAX_CONFIRMATION_AGE_MS, self.task_ttl_ms // 2)
        after_ms = self.clock.now_ms() - max_age_ms
        if self.log_read_ms > after_ms:
            return True
        return self.has_majority(pool, after_ms)

    def has_majority(self, pool: str, after_ms: int) -> bool:
        """Return whether most listed workers renewed after a time."""
        with self.lock:
            links = self._of_pool(pool)
            listed = [link for link in links if link.name not in self.unlisted]
        renewed = sum(link.renewed_ms > after_ms for link in listed)
        return renewed * 2 > len(listed)

    def hand_back(self) -> None:
        """End every lease at its worker now."""
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

    def _close_unlisted(self) -> None:
        # The list lags behind, so a link whose lease is valid stays open.
        for name in tuple(self.unlisted):
            link = self.links.get(name)
            if link is None or not link.lease.is_valid(link.term):
                self._close(name)

    def _close(self, name: str) -> None:
        link = self.links.pop(name, None)
        self.unlisted.discard(name)
        if link is not None:
            link.stop()
