"""Keep the placement lease of one worker and follow its tasks."""

import threading
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol, final

from result import Err, Result

from ._backoff import Backoff
from ._clock import MS_PER_SECOND, Clock
from ._events import Event, LeaseHeld, LeaseLost, TasksReported
from ._http import CallError
from ._lease import DRIFT_DIVISOR, HeldLease
from ._renewal_interval import RenewalInterval
from ._worker_client import LeaseReply, LeaseRequest, WorkerClient

MARGIN_MS: Final = 1000


class LinkSettings(NamedTuple):
    """Name the pool and the holder of a link's lease."""

    pool: str
    holder: str
    margin_ms: int = MARGIN_MS


class LinkGuide(Protocol):
    """Tell links how to renew, as the whole pool goes."""

    def renewal_interval(self, pool: str) -> RenewalInterval:
        """Return how often to renew, and for how long."""

    def may_keep_tasks(self, pool: str) -> bool:
        """Tell whether a renewal may prolong the tasks of a worker."""


@final
class WorkerLink:
    """Renew one lease by long polls that also carry task reports."""

    def __init__(
        self,
        name: str,
        client: WorkerClient,
        settings: LinkSettings,
        guide: LinkGuide,
        clock: Clock,
        post: Callable[[str, Event], None],
    ) -> None:
        """Prepare a link that asks for nothing until it is told a term."""
        self.name = name
        self.client = client
        self.settings = settings
        self.guide = guide
        self.post = post
        self.clock = clock
        self.lease = HeldLease(clock, 0, settings.margin_ms)
        self.backoff = Backoff(f'{settings.holder}{name}')
        self.term = 0
        self.since = 0
        self.boot = ''
        self.held = False
        self.told = False
        self.needs_table = True
        self.renewed_ms = 0
        self.worker_ms = 0
        self.received_ms = 0
        self.wake = threading.Event()
        self.lock = threading.Lock()
        self.thread: threading.Thread | None = None

    def claim(self, term: int) -> None:
        """Ask for the lease under a term from now on; 0 asks no more.

        A thread runs only while there is a term to ask for.
        """
        with self.lock:
            if term != self.term:
                self.lease.drop()
            self.term = term
            self.needs_table = True
            self.wake.set()
            if term and self.thread is None:
                self.thread = threading.Thread(
                    target=self.run,
                    name=f'link-{self.name}',
                    daemon=True,
                )
                self.thread.start()

    def resync(self) -> None:
        """Compare with the worker's whole table at the next renewal."""
        self.needs_table = True
        self.wake.set()

    def worker_now_ms(self) -> int:
        """Return a time that the worker's own clock has passed, or 0.

        What is sent later than meant must not take effect late, so requests
        name times of the clock that judges them.
        """
        if not self.worker_ms:
            return 0
        passed_ms = self.clock.now_ms() - self.received_ms
        return self.worker_ms + passed_ms - passed_ms // DRIFT_DIVISOR

    def start_until_ms(self) -> int:
        """Return until when the worker may take a start sent now, or 0."""
        now_ms = self.worker_now_ms()
        left_ms = self.lease.valid_until_ms - self.clock.now_ms()
        return now_ms + max(left_ms, 1) if now_ms else 0

    def stop(self) -> None:
        """Stop asking; the lease runs out by itself."""
        self.claim(0)

    def hand_back(self) -> None:
        """Stop asking and let the worker's lease end now."""
        term = self.term
        self.claim(0)
        if term:
            request = self._request(term, 0, self._renewal_interval())
            self.client.renew(request._replace(ttl_ms=0, wait_ms=0))

    def run(self) -> None:
        """Renew until no term is asked for."""
        while self._wants_term():
            self.renew_once()

    def renew_once(self) -> None:
        """Ask for the lease once and pass on what the worker says."""
        term = self.term
        since = 0 if self.needs_table or not self.told else self.since
        self.needs_table = False
        self.wake.clear()
        renewal_interval = self._renewal_interval()
        sent_ms = self.clock.now_ms()
        reply = self.client.renew(self._request(term, since, renewal_interval))
        if self._is_granted(reply):
            self._extend(term, sent_ms, renewal_interval.ttl_ms)
            self.received_ms = self.clock.now_ms()
            self.worker_ms = reply.unwrap().now_ms
            self._deliver(term, since, reply.unwrap())
            self.backoff.reset()
        else:
            self._back_off(reply)

    def _wants_term(self) -> bool:
        with self.lock:
            if self.term == 0:
                self.thread = None
                self._lose()
                return False
            return True

    def _renewal_interval(self) -> RenewalInterval:
        # What an unheld worker would prolong unseen, an owner might call
        # over in the meantime.
        renewal_interval = self.guide.renewal_interval(self.settings.pool)
        if self.held and self.guide.may_keep_tasks(self.settings.pool):
            return renewal_interval
        return renewal_interval._replace(task_ttl_ms=0)

    def _request(
        self,
        term: int,
        since: int,
        renewal_interval: RenewalInterval,
    ) -> LeaseRequest:
        return LeaseRequest(
            self.settings.pool,
            self.settings.holder,
            term,
            renewal_interval.ttl_ms,
            renewal_interval.task_ttl_ms,
            since,
            renewal_interval.wait_ms if since else 0,
            self.worker_now_ms(),
        )

    def _extend(self, term: int, sent_ms: int, ttl_ms: int) -> None:
        with self.lock:
            if term == self.term:
                self.renewed_ms = sent_ms
                self.lease.extend(term, sent_ms, ttl_ms)

    def _is_granted(self, reply: Result[LeaseReply, CallError]) -> bool:
        return not isinstance(reply, Err) and reply.ok_value.granted

    def _back_off(self, reply: Result[LeaseReply, CallError]) -> None:
        self.needs_table = True
        if not isinstance(reply, Err):
            self.lease.drop()
        if self.held and not self.lease.is_valid(self.lease.term):
            self._lose()
        self.wake.wait(self.backoff.next_ms() / MS_PER_SECOND)

    def _deliver(self, term: int, since: int, reply: LeaseReply) -> None:
        if term != self.term:
            return
        if since and reply.boot != self.boot:
            self.needs_table = True
            return
        if not self.held:
            # The first grant teaches the worker's clock, without which no
            # task could be prolonged; nothing may start there before.
            self.held = True
            self.needs_table = True
            return
        self.boot = reply.boot
        self.since = reply.seq
        parts = (reply.boot, reply.leaving, reply.reports)
        if not since:
            self.told = True
            self.post(self.name, LeaseHeld(self.name, term, *parts))
        elif reply.reports or reply.leaving:
            self.post(self.name, TasksReported(self.name, *parts))

    def _lose(self) -> None:
        self.held = False
        if self.told:
            self.told = False
            self.post(self.name, LeaseLost(self.name))
