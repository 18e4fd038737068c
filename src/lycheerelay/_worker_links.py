"""Keep one link for each listed worker."""

from collections.abc import Callable
from typing import final

from ._clock import Clock
from ._events import Event, WorkerSpec
from ._http import HttpCaller
from ._worker_client import WorkerClient
from ._worker_link import LinkSettings, WorkerLink


@final
class WorkerLinks:
    """Open links as workers are listed and tell them the node's terms."""

    def __init__(
        self,
        name: str,
        caller: HttpCaller,
        clock: Clock,
        post: Callable[[str, Event], None],
    ) -> None:
        """Start without links."""
        self.name = name
        self.caller = caller
        self.clock = clock
        self.post = post
        self.links: dict[str, WorkerLink] = {}
        self.pools: dict[str, str] = {}
        self.terms: dict[str, int] = {}

    def open(self, spec: WorkerSpec) -> None:
        """Open a link to a worker that has none."""
        if spec.name in self.links:
            return
        self.pools[spec.name] = spec.pool
        link = WorkerLink(
            spec.name,
            WorkerClient(self.caller, spec.address),
            LinkSettings(spec.pool, self.name),
            self.clock,
            self.post_event,
        )
        self.links[spec.name] = link
        link.start()
        link.claim(self.terms.get(spec.pool, 0))

    def claim(self, pool: str, term: int) -> None:
        """Ask for the leases of a pool under a term; 0 asks no more."""
        if self.terms.get(pool, 0) == term:
            return
        self.terms[pool] = term
        for name, link in tuple(self.links.items()):
            if self.pools[name] == pool:
                link.claim(term)

    def get(self, worker: str) -> WorkerLink | None:
        """Return the link of a worker, where there is one."""
        return self.links.get(worker)

    def post_event(self, worker: str, event: Event) -> None:
        """Pass an event of a worker to its pool."""
        self.post(self.pools[worker], event)

    def stop(self) -> None:
        """Stop every link."""
        for link in tuple(self.links.values()):
            link.stop()
