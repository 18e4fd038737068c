"""Keep the placement lease of one worker and follow its tasks."""

import threading
from collections.abc import Callable
from typing import Final, NamedTuple, final

from result import Err

from ._clock import MS_PER_SECOND, Clock
from ._events import Event, LeaseHeld, LeaseLost, TasksReported
from ._lease import HeldLease
from ._worker_client import LeaseReply, LeaseRequest, WorkerClient

RETRY_MS: Final = 250


class LinkSettings(NamedTuple):
    """Set the pace of a link and the length of its leases."""

    pool: str
    holder: str
    ttl_ms: int = 10_000
    margin_ms: int = 1000
    wait_ms: int = 3000
    task_ttl_ms: int = 60_000


@final
class WorkerLink:
    """Renew one lease by long polls that also carry task reports."""

    def __init__(
        self,
        name: str,
        client: WorkerClient,
        settings: LinkSettings,
        clock: Clock,
        post: Callable[[str, Event], None],
    ) -> None:
        """Prepare a link that asks for nothing until it is told a term."""
        self.name = name
        self.client = client
        self.settings = settings
        self.post = post
        self.clock = clock
        self.lease = HeldLease(clock, settings.ttl_ms, settings.margin_ms)
        self.term = 0
        self.since = 0
        self.held = False
        self.wake = threading.Event()
        self.stopping = False
        self.thread = threading.Thread(
            target=self.run,
            name=f'link-{name}',
            daemon=True,
        )

    def start(self) -> None:
        """Follow the worker from a thread of its own."""
        self.thread.start()

    def claim(self, term: int) -> None:
        """Ask for the lease under a term from now on; 0 asks no more."""
        self.term = term
        self.since = 0
        self.wake.set()

    def stop(self) -> None:
        """Stop asking; the lease runs out by itself."""
        self.stopping = True
        self.lease.drop()
        self.wake.set()

    def run(self) -> None:
        """Renew until stopped."""
        while not self.stopping:
            if self.term == 0:
                self.wake.wait(1)
                self.wake.clear()
            else:
                self._renew_once()

    def _renew_once(self) -> None:
        term = self.term
        since = self.since if self.held else 0
        sent_ms = self.clock.now_ms()
        reply = self.client.renew(self._request(term, since))
        if isinstance(reply, Err):
            self._lose_if_over()
            self.wake.wait(RETRY_MS / MS_PER_SECOND)
        elif reply.ok_value.granted:
            self.lease.extend(term, sent_ms)
            self._deliver(term, reply.ok_value)
        else:
            self.lease.drop()
            self._lose_if_over()
            self.wake.wait(RETRY_MS / MS_PER_SECOND)

    def _request(self, term: int, since: int) -> LeaseRequest:
        return LeaseRequest(
            self.settings.pool,
            self.settings.holder,
            term,
            self.settings.ttl_ms,
            self.settings.task_ttl_ms,
            since,
            self.settings.wait_ms if since else 0,
        )

    def _deliver(self, term: int, reply: LeaseReply) -> None:
        if term != self.term:
            return
        first = not self.held or self.since == 0
        self.since = reply.seq
        self.held = True
        if first:
            self.post(
                self.name,
                LeaseHeld(
                    self.name,
                    term,
                    reply.boot,
                    reply.leaving,
                    reply.reports,
                ),
            )
        elif reply.reports or reply.leaving:
            self.post(
                self.name,
                TasksReported(
                    self.name,
                    reply.boot,
                    reply.leaving,
                    reply.reports,
                ),
            )

    def _lose_if_over(self) -> None:
        if self.held and not self.lease.is_valid(self.lease.term):
            self.held = False
            self.since = 0
            self.post(self.name, LeaseLost(self.name))
