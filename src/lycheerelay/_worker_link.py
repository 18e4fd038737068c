"""Renew the placement lease of one worker and report its tasks."""

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

LEASE_MARGIN_MS: Final = 1000


class LinkSettings(NamedTuple):
    """Set the pool, the holder and the safety margin of a link's lease."""

    pool: str
    holder: str
    margin_ms: int = LEASE_MARGIN_MS


class RenewalPolicy(Protocol):
    """Decide for all links of a pool how their leases are renewed."""

    def renewal_interval(self, pool: str) -> RenewalInterval:
        """Return the interval and the lifetimes of renewals."""

    def may_extend_tasks(self, pool: str) -> bool:
        """Return whether a renewal may extend the task leases of a worker."""


@final
class WorkerLink:
    """Renew one lease by long polls, whose replies also report tasks."""

    def __init__(
        self,
        name: str,
        client: WorkerClient,
        settings: LinkSettings,
        renewal_policy: RenewalPolicy,
        clock: Clock,
        post: Callable[[str, Event], None],
    ) -> None:
        """Configure the link; it is idle until `claim` sets a term."""
        self.name = name
        self.client = client
        self.settings = settings
        self.renewal_policy = renewal_policy
        self.post = post
        self.clock = clock
        self.lease = HeldLease(clock, 0, settings.margin_ms)
        self.backoff = Backoff(f'{settings.holder}{name}')
        self.term = 0
        self.since = 0
        self.boot = ''
        self.held = False
        self.is_reported = False
        self.needs_run_table = True
        self.renewed_ms = 0
        self.worker_clock_ms = 0
        self.received_ms = 0
        self.wake = threading.Event()
        self.lock = threading.Lock()
        self.thread: threading.Thread | None = None

    def claim(self, term: int) -> None:
        """Request the lease under a term from now on; 0 stops requests.

        A thread runs only while a term is set.
        """
        with self.lock:
            if term != self.term:
                self.lease.drop()
            self.term = term
            self.needs_run_table = True
            self.wake.set()
            if term and self.thread is None:
                self.thread = threading.Thread(
                    target=self.run,
                    name=f'link-{self.name}',
                    daemon=True,
                )
                self.thread.start()

    def resync(self) -> None:
        """Request the worker's whole run table with the next renewal."""
        self.needs_run_table = True
        self.wake.set()

    def worker_now_ms(self) -> int:
        """Return a lower bound of the worker's clock now; 0 if unknown.

        Requests carry deadlines by the worker's clock, so that a request
        which is delayed on the network cannot take effect late.
        """
        if not self.worker_clock_ms:
            return 0
        passed_ms = self.clock.now_ms() - self.received_ms
        return self.worker_clock_ms + passed_ms - passed_ms // DRIFT_DIVISOR

    def start_until_ms(self) -> int:
        """Return the deadline of a start sent now, by the worker's clock.

        Return 0 if that clock is unknown.
        """
        now_ms = self.worker_now_ms()
        left_ms = self.lease.valid_until_ms - self.clock.now_ms()
        return now_ms + max(left_ms, 1) if now_ms else 0

    def stop(self) -> None:
        """Stop requests; the lease expires by itself."""
        self.claim(0)

    def hand_back(self) -> None:
        """Stop requests and end the lease at the worker now."""
        term = self.term
        self.claim(0)
        if term:
            request = self._request(term, 0, self._renewal_interval())
            self.client.renew(request._replace(ttl_ms=0, wait_ms=0))

    def run(self) -> None:
        """Renew the lease while a term is set."""
        while self._has_term():
            self.renew_once()

    def renew_once(self) -> None:
        """Request the lease once and post events about the reply."""
        term = self.term
        is_full = self.needs_run_table or not self.is_reported
        since = 0 if is_full else self.since
        self.needs_run_table = False
        self.wake.clear()
        renewal_interval = self._renewal_interval()
        sent_ms = self.clock.now_ms()
        reply = self.client.renew(self._request(term, since, renewal_interval))
        if self._is_granted(reply):
            self._extend(term, sent_ms, renewal_interval.ttl_ms)
            self.received_ms = self.clock.now_ms()
            self.worker_clock_ms = reply.unwrap().now_ms
            self._deliver(term, since, reply.unwrap())
            self.backoff.reset()
        else:
            self._back_off(reply)

    def _has_term(self) -> bool:
        with self.lock:
            if self.term == 0:
                self.thread = None
                self._report_loss()
                return False
            return True

    def _renewal_interval(self) -> RenewalInterval:
        # While the lease is not held, the owner may already treat the tasks
        # of the worker as expired, so a renewal must not extend them.
        pool = self.settings.pool
        renewal_interval = self.renewal_policy.renewal_interval(pool)
        if self.held and self.renewal_policy.may_extend_tasks(pool):
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
        self.needs_run_table = True
        if not isinstance(reply, Err):
            self.lease.drop()
        if self.held and not self.lease.is_valid(self.lease.term):
            self._report_loss()
        self.wake.wait(self.backoff.next_ms() / MS_PER_SECOND)

    def _deliver(self, term: int, since: int, reply: LeaseReply) -> None:
        if term != self.term:
            return
        if since and reply.boot != self.boot:
            self.needs_run_table = True
            return
        if not self.held:
            # Task leases can be extended only once the worker's clock is
            # known from the first grant, so nothing may start before that.
            self.held = True
            self.needs_run_table = True
            return
        self.boot = reply.boot
        self.since = reply.seq
        parts = (reply.boot, reply.leaving, reply.reports)
        if not since:
            self.is_reported = True
            self.post(self.name, LeaseHeld(self.name, term, *parts))
        elif reply.reports or reply.leaving:
            self.post(self.name, TasksReported(self.name, *parts))

    def _report_loss(self) -> None:
        self.held = False
        if self.is_reported:
            self.is_reported = False
            self.post(self.name, LeaseLost(self.name))
