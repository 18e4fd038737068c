"""Handle callers' requests: submit, cancel and query jobs."""

import asyncio
import logging
from typing import Any, Final, final

from result import Err

from .._clock import Clock
from ..workflow import WorkflowSpec
from ..workflow.tenants import find_quota_excess
from ._caller_checks import CallerChecks
from ._cancellations import cancel_key, encode_cancellation
from ._cell_room import LARGE_JOB_STEPS
from ._credentials import (
    EVERYONE,
    KEYLESS,
    Identity,
    decode_identity,
    encode_identity,
)
from ._job_expiry import JOB_PREFIX
from ._owner import Owner
from ._owner_answers import (
    CANCEL_ROOM_FIELD,
    DOUBT_FIELD,
    REVOKED_FIELD,
    ROOM_FIELD,
    OwnerAnswers,
)
from ._peers import OWNER_SEARCH_INTERVAL_MS, REJECTED_FIELD, Peers
from ._ports import KeyedLog, KeyedRecord, LogFault
from ._record_appends import PendingRecord, RecordAppends, find_size_excess
from ._request_result import RequestResult, RequestStatus
from ._spec_codec import encode_spec
from ._state_query import decode_query
from ._store_health import StoreHealth
from ._tenant_admission import encode_applicant
from ._tenant_gate import TenantGate
from ._wait_forecast import (
    WaitForecast,
    decode_waits,
    forecast_retry_after_s,
)

logger = logging.getLogger('lycheerelay.desk')

# Delay between two queries while the ownership changes.
OWNER_QUERY_RETRY_S: Final = 0.1
# After this time without an answer the owner is looked up again.
OWNER_QUERY_TIMEOUT_MS: Final = 500
# Time for the owner to tell whether it holds a job.
HELD_QUERY_TIMEOUT_MS: Final = 100
# Callers are answered this long before their own timeout.
TIMEOUT_MARGIN_MS: Final = 150
# Upper bound of a query, including the wait for a takeover.
MAX_OWNER_QUERY_MS: Final = 1500
# Answers that promise that a job was not accepted and never runs.
NOT_ACCEPTED: Final = frozenset(
    (
        RequestStatus.REFUSED,
        RequestStatus.TOO_LATE,
        RequestStatus.OVER_QUOTA,
        RequestStatus.OVER_RATE,
        RequestStatus.BUSY,
        RequestStatus.CONFIG_TOO_OLD,
    )
)


@final
class RequestHandler:
    """Answer requests from the local cell or through the owner."""

    def __init__(
        self,
        clock: Clock,
        log: KeyedLog,
        peers: Peers,
        checks: CallerChecks,
        store_health: StoreHealth,
    ) -> None:
        """Start as a VM that is not the owner."""
        self.clock = clock
        self.log = log
        self.peers = peers
        self.checks = checks
        self.metrics = checks.metrics
        self.wait_forecast = WaitForecast({}, 0)
        self.tenant_gate = TenantGate(clock)
        peers.on_owner_answer = self.tenant_gate.receive
        self.appends = RecordAppends(clock, log, peers, checks, store_health)
        self.append_gate = self.appends.gate
        self.doubts = self.appends.doubts
        self.answers = OwnerAnswers(clock, checks, self.doubts)

    @property
    def owner(self) -> Owner | None:
        """Return the owner if it is this VM."""
        return self.answers.owner

    async def submit(
        self,
        spec: WorkflowSpec,
        timeout_ms: int,
        identity: Identity = EVERYONE,
    ) -> RequestResult:
        """Append a job; it is accepted once the store has acknowledged it.

        A job that is too large for the store, a new one that is predicted to end
        after its value has expired, or that can never fit in the quota of its
        tenant, is refused at once, and so is one over the rate of its tenant while
        capacity is short.
        """
        begun_ms = self.clock.now_ms()
        record = KeyedRecord(f'{JOB_PREFIX}{spec.job_id}', encode_spec(spec))
        too_large = find_size_excess(record, self.log.limits)
        if too_large is not None:
            return self._report_submission(spec, identity, too_large, begun_ms)
        refusal = self._find_refusal(spec)
        if refusal is not None:
            outcome = await self._accept_known_or(
                refusal, spec.job_id, identity
            )
            return self._report_submission(spec, identity, outcome, begun_ms)
        if len(spec.steps) >= LARGE_JOB_STEPS:
            decided = await self._ask_for_room(spec, identity)
            if decided is not None:
                return self._report_submission(
                    spec, identity, decided, begun_ms
                )
        over_rate = await self._refuse_over_rate(spec, identity)
        if over_rate is not None:
            return self._report_submission(spec, identity, over_rate, begun_ms)
        remaining_ms = timeout_ms - (self.clock.now_ms() - begun_ms)
        outcome = await self._append(record, identity, remaining_ms, 'submit')
        if outcome.status is RequestStatus.REFUSED:
            outcome = await self._accept_held_or(outcome, spec.job_id, identity)
        return self._report_submission(spec, identity, outcome, begun_ms)

    async def refuse_busy(
        self, job_id: str, queue: str, identity: Identity = EVERYONE
    ) -> RequestResult:
        """Refuse a job that this VM cannot handle in time.

        A job that was accepted before is not refused, and the outcome is unknown if
        the owner cannot tell.
        """
        begun_ms = self.clock.now_ms()
        outcome = await self._accept_known_or(
            RequestResult(RequestStatus.BUSY), job_id, identity
        )
        outcome = self._doubt_refusal(outcome, job_id, identity)
        return self._report('submit', job_id, queue, outcome, begun_ms)

    async def cancel(
        self,
        job_id: str,
        queue: str,
        timeout_ms: int,
        identity: Identity = EVERYONE,
    ) -> RequestResult:
        """Append the cancellation of a job, whether the job is known or not.

        A job that is not known may still be stored by an append without an answer,
        so its callers are told that there is none only once its cancellation is
        stored.
        """
        begun_ms = self.clock.now_ms()
        known = await self._query_owner(
            '/state',
            {'job': job_id, 'cancels': True, **encode_identity(identity)},
            timeout_ms // 2,
        )
        refusal = _find_cancel_refusal(known, identity)
        if refusal is not None:
            return self._report('cancel', job_id, queue, refusal, begun_ms)
        is_known = known is not None and known['phase'] is not None
        key = cancel_key(job_id, EVERYONE if is_known else identity)
        record = KeyedRecord(key, encode_cancellation(identity))
        remaining_ms = timeout_ms - (self.clock.now_ms() - begun_ms)
        # An append of others that failed is no reason to leave a job running.
        outcome = await self._append(
            record, identity, remaining_ms, 'cancel', waits=True
        )
        is_missing = known is not None and not is_known
        if is_missing and outcome.status is RequestStatus.OK:
            outcome = RequestResult(RequestStatus.NO_SUCH_JOB)
        return self._report('cancel', job_id, queue, outcome, begun_ms)

    async def state(
        self,
        job_id: str,
        queue: str,
        timeout_ms: int,
        identity: Identity = EVERYONE,
    ) -> RequestResult:
        """Return the phase of a job."""
        begun_ms = self.clock.now_ms()
        answer = await self._query_owner(
            '/state',
            {'job': job_id, 'waits': True, **encode_identity(identity)},
            timeout_ms,
        )
        if answer is None:
            outcome = RequestResult(RequestStatus.UNAVAILABLE)
        elif answer['phase'] is None:
            outcome = self._missing_job_result(answer, job_id, identity)
        else:
            outcome = RequestResult(RequestStatus.OK, answer['phase'])
        return self._report('state', job_id, queue, outcome, begun_ms)

    async def waiting(
        self, queue: str, timeout_ms: int, identity: Identity = EVERYONE
    ) -> RequestResult:
        """Return how many jobs of a queue have not started."""
        answer = await self._query_owner(
            '/waiting',
            {'queue': queue, **encode_identity(identity)},
            timeout_ms,
        )
        if answer is None:
            return RequestResult(RequestStatus.UNAVAILABLE)
        if answer.get(REVOKED_FIELD):
            return RequestResult(RequestStatus.KEY_REFUSED)
        return RequestResult(RequestStatus.OK, answer['waiting'])

    async def append_for_peer(
        self, record: KeyedRecord, identity: Identity = EVERYONE
    ) -> dict[str, Any]:
        """Append a record of another VM; it is not passed on again."""
        outcome = await self.appends.append_for_peer(record, identity)
        if outcome == Err(LogFault.REJECTED):
            # Earlier versions know the first field only.
            return {'fault': LogFault.REFUSED.value, REJECTED_FIELD: True}
        if isinstance(outcome, Err):
            return {'fault': outcome.err_value.value}
        return {'offset': outcome.ok_value}

    async def _append(
        self,
        record: KeyedRecord,
        identity: Identity,
        timeout_ms: int,
        operation: str,
        *,
        waits: bool = False,
    ) -> RequestResult:
        deadline_ms = self.clock.now_ms() + timeout_ms - TIMEOUT_MARGIN_MS
        return await self.appends.append(
            PendingRecord(record, identity, deadline_ms, waits),
            operation,
            is_owner=self.owner is not None,
        )

    async def _query_owner(
        self,
        path: str,
        body: dict[str, Any],
        timeout_ms: int,
    ) -> dict[str, Any] | None:
        timeout_ms = min(timeout_ms - TIMEOUT_MARGIN_MS, MAX_OWNER_QUERY_MS)
        deadline_ms = self.clock.now_ms() + timeout_ms
        while True:
            answer = await self._query_owner_once(path, body, deadline_ms)
            if answer is not None:
                return answer
            remaining_ms = deadline_ms - self.clock.now_ms()
            if remaining_ms <= 0:
                return None
            await self.peers.refresh_owner(OWNER_SEARCH_INTERVAL_MS)
            await asyncio.sleep(OWNER_QUERY_RETRY_S)

    async def _query_owner_once(
        self,
        path: str,
        body: dict[str, Any],
        deadline_ms: int,
    ) -> dict[str, Any] | None:
        if self.owner is not None:
            if path == '/state':
                return await self.answers.state(decode_query(body))
            return self.answers.waiting(body['queue'], decode_identity(body))
        remaining_ms = max(deadline_ms - self.clock.now_ms(), 1)
        outcome = await self.peers.call_owner(
            path,
            body,
            min(OWNER_QUERY_TIMEOUT_MS, remaining_ms),
        )
        if isinstance(outcome, Err):
            return None
        answer = outcome.ok_value
        self.wait_forecast = WaitForecast(
            decode_waits(answer['waits']), self.clock.now_ms()
        )
        if answer.get(DOUBT_FIELD):
            tenant = decode_identity(body).tenant or ''
            row = (str(body['job']), tenant, int(answer[DOUBT_FIELD]))
            self.doubts.receive((row,))
        return answer

    async def _accept_known_or(
        self, refusal: RequestResult, job_id: str, identity: Identity
    ) -> RequestResult:
        """Return success for an already accepted job, else the refusal.

        The outcome is unknown if the owner cannot tell.
        """
        known = await self._query_owner(
            '/state',
            {'job': job_id, **encode_identity(identity)},
            OWNER_QUERY_TIMEOUT_MS,
        )
        if known is None:
            return RequestResult(RequestStatus.UNKNOWN_OUTCOME)
        if known.get('phase') is not None:
            return RequestResult(RequestStatus.OK)
        return refusal

    async def _accept_held_or(
        self, refusal: RequestResult, job_id: str, identity: Identity
    ) -> RequestResult:
        """Return success for a job that the owner holds, else the refusal.

        The store is away, so that the owner cannot tell more.
        """
        held = await self._query_owner_once(
            '/state',
            {'job': job_id, 'held_only': True, **encode_identity(identity)},
            self.clock.now_ms() + HELD_QUERY_TIMEOUT_MS,
        )
        if held is not None and held.get('phase') is not None:
            return RequestResult(RequestStatus.OK)
        return refusal

    async def _ask_for_room(
        self, spec: WorkflowSpec, identity: Identity
    ) -> RequestResult | None:
        """Return the answer to a large job that is known or has no room."""
        body = {'job': spec.job_id, 'steps': len(spec.steps)}
        known = await self._query_owner(
            '/state',
            {**body, **encode_identity(identity)},
            OWNER_QUERY_TIMEOUT_MS,
        )
        if known is None:
            return RequestResult(RequestStatus.UNKNOWN_OUTCOME)
        if known.get('phase') is not None:
            return RequestResult(RequestStatus.OK)
        # An owner of an earlier version does not tell.
        if known.get(ROOM_FIELD, True):
            return None
        return RequestResult(RequestStatus.BUSY)

    def _find_refusal(self, spec: WorkflowSpec) -> RequestResult | None:
        table = self.checks.config.table if spec.tenant else None
        tenant = table.tenant_named(spec.tenant) if table else None
        excess = find_quota_excess(spec, tenant.quota) if tenant else None
        if excess is not None:
            return RequestResult(RequestStatus.OVER_QUOTA, excess.text)
        retry_after_s = forecast_retry_after_s(
            spec, self._current_forecast(), self.clock.now_ms()
        )
        if retry_after_s:
            return RequestResult(
                RequestStatus.TOO_LATE, retry_after_s=retry_after_s
            )
        return None

    def _current_forecast(self) -> WaitForecast:
        if self.owner is not None:
            return WaitForecast(self.owner.waits, self.clock.now_ms())
        return self.wait_forecast

    async def _refuse_over_rate(
        self, spec: WorkflowSpec, identity: Identity
    ) -> RequestResult | None:
        if not spec.tenant:
            return None
        gate = self.tenant_gate
        sent_ms = self.clock.now_ms()
        if self.owner is not None:
            gate.receive(self.owner.tenants.published(), sent_ms)
        elif gate.needs_news:
            self.peers.send_hello_soon()
        if not gate.is_doubtful(spec):
            return None
        body = {**encode_applicant(spec), **encode_identity(identity)}
        known = await self._query_owner('/state', body, OWNER_QUERY_TIMEOUT_MS)
        if known is None:
            return None
        if known.get('phase') is not None:
            return RequestResult(RequestStatus.OK)
        delay_s = gate.refusal_s(spec, known, sent_ms)
        if not delay_s:
            return None
        return RequestResult(RequestStatus.OVER_RATE, retry_after_s=delay_s)

    def _report_submission(
        self,
        spec: WorkflowSpec,
        identity: Identity,
        outcome: RequestResult,
        begun_ms: int,
    ) -> RequestResult:
        outcome = self._doubt_refusal(outcome, spec.job_id, identity)
        verdict = outcome.status.value
        self.metrics.count_job('tenant_jobs', spec.tenant, verdict=verdict)
        is_accepted = outcome.status is RequestStatus.OK
        caller = {} if is_accepted else self.checks.describe(identity)
        return self._report(
            'submit', spec.job_id, spec.queue, outcome, begun_ms, **caller
        )

    def _doubt_refusal(
        self, outcome: RequestResult, job_id: str, identity: Identity
    ) -> RequestResult:
        """Return an unknown outcome for a refusal that may turn out to be untrue."""
        if outcome.status not in NOT_ACCEPTED:
            return outcome
        if not self.doubts.remaining_ms(job_id, identity):
            return outcome
        self.metrics.count('doubtful_refusals', verdict=outcome.status.value)
        return RequestResult(RequestStatus.UNKNOWN_OUTCOME)

    def _missing_job_result(
        self, answer: dict[str, Any], job_id: str, identity: Identity
    ) -> RequestResult:
        if answer.get(REVOKED_FIELD):
            return RequestResult(RequestStatus.KEY_REFUSED)
        if self.doubts.remaining_ms(job_id, identity):
            return RequestResult(RequestStatus.UNKNOWN_OUTCOME)
        return RequestResult(RequestStatus.NO_SUCH_JOB)

    def _report(
        self,
        operation: str,
        job_id: str,
        queue: str,
        outcome: RequestResult,
        begun_ms: int,
        **caller: object,
    ) -> RequestResult:
        status = outcome.status.value
        self.metrics.count('requests', what=operation, verdict=status)
        logger.info(
            'request',
            extra={
                'what': operation,
                'job': job_id,
                'queue': queue,
                'verdict': status,
                'answer': outcome.content,
                'took_ms': self.clock.now_ms() - begun_ms,
                **caller,
            },
        )
        return outcome


def _find_cancel_refusal(
    known: dict[str, Any] | None, identity: Identity
) -> RequestResult | None:
    """Return the refusal to store a cancellation by the answer of the owner."""
    if known is None:
        return None
    if known.get(REVOKED_FIELD):
        return RequestResult(RequestStatus.KEY_REFUSED)
    if known['phase'] is not None:
        return None
    if identity == KEYLESS:
        # The workflow API asks this caller for a key, which acknowledges nothing.
        return RequestResult(RequestStatus.NO_SUCH_JOB)
    # An owner of an earlier version does not tell.
    if known.get(CANCEL_ROOM_FIELD, True):
        return None
    return RequestResult(RequestStatus.TOO_MANY_CANCELS)
