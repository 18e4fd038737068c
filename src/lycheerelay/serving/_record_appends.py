"""Append the records of callers over the available routes."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple, final

from result import Err, Ok

from .._clock import MS_PER_SECOND, Clock
from .._registry import Registry
from ._append_gate import AppendGate
from ._append_route import AppendRoute, AppendRouter
from ._caller_checks import CallerChecks
from ._credentials import Identity
from ._doubt_reports import DoubtReports
from ._doubtful_jobs import DoubtfulJobs
from ._job_appends import AppendOutcome, JobAppends
from ._job_expiry import JOB_PREFIX
from ._peers import Peers
from ._ports import KeyedLog, KeyedRecord, LogFault, StoreLimits
from ._request_result import RequestResult, RequestStatus
from ._store_health import StoreHealth

logger = logging.getLogger('lycheerelay.desk')

# Attempts per append while the caller waits, without another route.
MAX_APPEND_ATTEMPTS: Final = 2
# Delay before a cancellation is tried again, which costs nothing while no append may
# be sent.
RETRY_DELAY_MS: Final = 100
# Upper bound of an append on behalf of another VM.
RELAY_TIMEOUT_MS: Final = 1000
FAULT_OF_STATUS: Final = {
    RequestStatus.KEY_REFUSED: LogFault.KEY_REVOKED,
    RequestStatus.CONFIG_TOO_OLD: LogFault.REFUSED,
}


class PendingRecord(NamedTuple):
    """Record of a caller, the caller, and the deadline of the append in ms.

    One that `waits` is tried again until its deadline while the store answers.
    """

    record: KeyedRecord
    identity: Identity
    deadline_ms: int
    waits: bool = False


class AppendAttempt(NamedTuple):
    """Status after the routes that were tried, and the last fault."""

    status: RequestStatus
    fault: LogFault = LogFault.REFUSED
    offset: int = -1


@final
class RecordAppends:
    """Append records directly or through the owner."""

    def __init__(
        self,
        clock: Clock,
        log: KeyedLog,
        peers: Peers,
        checks: CallerChecks,
        store_health: StoreHealth,
    ) -> None:
        """Start with direct appends."""
        self.clock = clock
        self.peers = peers
        self.checks = checks
        self.metrics = checks.metrics
        self.gate = AppendGate(clock, store_health)
        self.router = AppendRouter(clock, store_health)
        self.job_appends = JobAppends(clock, log, self.gate, self.metrics)
        self.doubts = DoubtfulJobs(clock)
        self.doubt_reports = DoubtReports(self.doubts, peers)

    async def append(
        self, pending: PendingRecord, operation: str, *, is_owner: bool
    ) -> RequestResult:
        """Append a record, trying one route after the other."""
        attempt = await self._try_routes(pending, is_owner)
        while attempt.status is RequestStatus.REFUSED and self._waits(pending):
            await asyncio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
            attempt = await self._try_routes(pending, is_owner)
        if attempt.status is RequestStatus.OK:
            return RequestResult(RequestStatus.OK, attempt.offset)
        logger.info(
            'append_failed',
            extra={
                'what': operation,
                'key': pending.record.key,
                'fault': attempt.fault.value,
                'unsure': attempt.status is RequestStatus.UNKNOWN_OUTCOME,
                'store_failing_since_ms': self.gate.failing_since_ms,
            },
        )
        return self._refusal(attempt.status)

    async def _try_routes(
        self, pending: PendingRecord, is_owner: bool
    ) -> AppendAttempt:
        """Append a record over one route after the other until one takes it.

        The caller is checked before each attempt, since a version that revokes
        its key may have arrived during the last one.
        """
        status = RequestStatus.REFUSED
        fault = LogFault.REFUSED
        for route in self._routes(is_owner):
            refusal = self.checks.recheck(pending.identity, pending.record.key)
            if refusal is not None:
                return AppendAttempt(worse_status(status, refusal), fault)
            outcome = await self._try_route(route, pending)
            if isinstance(outcome, Ok):
                return AppendAttempt(RequestStatus.OK, offset=outcome.ok_value)
            fault = outcome.err_value
            status = worse_status(status, STATUS_OF_FAULT.get(fault, status))
            if (
                fault in FINAL_FAULTS
                or self.clock.now_ms() >= pending.deadline_ms
            ):
                break
        return AppendAttempt(status, fault)

    def _waits(self, pending: PendingRecord) -> bool:
        """Return whether a refused record may still be taken in time."""
        if not pending.waits or self.gate.store_health.is_lost:
            return False
        next_ms = self.clock.now_ms() + RETRY_DELAY_MS
        return next_ms < pending.deadline_ms

    def _refusal(self, status: RequestStatus) -> RequestResult:
        if status is RequestStatus.NEVER_STORED:
            return RequestResult(status, NEVER_STORED_TEXT)
        if status is RequestStatus.REFUSED:
            return RequestResult(
                status, retry_after_s=self.gate.retry_after_s()
            )
        return RequestResult(status)

    async def append_for_peer(
        self, record: KeyedRecord, identity: Identity
    ) -> AppendOutcome:
        """Append a record of another VM; it is not passed on again."""
        refusal = self.checks.recheck(identity, record.key)
        if refusal is not None:
            return Err(FAULT_OF_STATUS[refusal])
        deadline_ms = self.clock.now_ms() + RELAY_TIMEOUT_MS
        pending = PendingRecord(record, identity, deadline_ms)
        outcome = await append_directly(self, pending)
        self._note_doubt(pending, outcome)
        return outcome

    def _routes(self, is_owner: bool) -> tuple[AppendRoute, ...]:
        routes = self.router.routes(is_owner)
        # A VM without another route repeats a failed append.
        return routes if len(routes) > 1 else routes * MAX_APPEND_ATTEMPTS

    async def _try_route(
        self, route: AppendRoute, pending: PendingRecord
    ) -> AppendOutcome:
        begun_ms = self.clock.now_ms()
        # The first record of a key counts, so that a second append of it
        # changes nothing.
        outcome = await APPENDERS[route](self, pending)
        self._note_doubt(pending, outcome)
        is_answered = outcome.is_ok() or outcome.err() in FINAL_FAULTS
        took_ms = self.clock.now_ms() - begun_ms
        self.router.observe(route, took_ms, not is_answered)
        verdict = 'ok' if is_answered else 'failed'
        self.metrics.count('appends', route=route.value, verdict=verdict)
        return outcome

    def _note_doubt(
        self, pending: PendingRecord, outcome: AppendOutcome
    ) -> None:
        key = pending.record.key
        if outcome == Err(LogFault.UNKNOWN) and key.startswith(JOB_PREFIX):
            job_id = key.removeprefix(JOB_PREFIX)
            self.doubts.note(job_id, pending.identity)
            self.doubt_reports.wanted.set()


STATUS_OF_FAULT: Final = {
    LogFault.UNKNOWN: RequestStatus.UNKNOWN_OUTCOME,
    LogFault.KEY_REVOKED: RequestStatus.KEY_REFUSED,
    LogFault.REJECTED: RequestStatus.NEVER_STORED,
}
# Faults that no other route or attempt would change.
FINAL_FAULTS: Final = frozenset((LogFault.KEY_REVOKED, LogFault.REJECTED))
NEVER_STORED_TEXT: Final = (
    'the store refuses the record for good; it was not stored and has not run'
)


def find_size_excess(
    record: KeyedRecord, limits: StoreLimits
) -> RequestResult | None:
    """Return the refusal of a record that can never be stored, or None."""
    size = len(record.payload or b'')
    if size <= limits.payload_bytes:
        return None
    return RequestResult(
        RequestStatus.NEVER_STORED,
        f'the job takes {size} bytes in the store, which accepts '
        f'{limits.payload_bytes}; it was not stored and has not run',
    )


def worse_status(before: RequestStatus, after: RequestStatus) -> RequestStatus:
    """Return the status after two attempts; an unknown outcome stays one."""
    is_unknown = before is RequestStatus.UNKNOWN_OUTCOME
    return before if is_unknown else after


Appender = Callable[[RecordAppends, PendingRecord], Awaitable[AppendOutcome]]

# Functions that append a record over a route.
APPENDERS: Final[Registry[AppendRoute, Appender]] = Registry('append route')


@APPENDERS.register(AppendRoute.DIRECT)
async def append_directly(
    appends: RecordAppends, pending: PendingRecord
) -> AppendOutcome:
    """Append a record, unless the store is failing."""
    if not appends.gate.allows_append():
        return Err(LogFault.REFUSED)
    remaining_ms = max(pending.deadline_ms - appends.clock.now_ms(), 1)
    return await appends.job_appends.append(pending.record, remaining_ms)


@APPENDERS.register(AppendRoute.OWNER)
async def append_through_owner(
    appends: RecordAppends, pending: PendingRecord
) -> AppendOutcome:
    """Let the owner append a record."""
    remaining_ms = max(pending.deadline_ms - appends.clock.now_ms(), 1)
    return await appends.peers.append_at_owner(
        pending.record, pending.identity, min(remaining_ms, RELAY_TIMEOUT_MS)
    )
