"""Serve callers: take jobs, cancel them, tell their state."""

import asyncio
import logging
from enum import Enum, unique
from typing import Any, Final, NamedTuple, final

from result import Err, Ok, Result

from .._clock import Clock
from ..workflow import JobPhase, WorkflowSpec
from ._append_gate import RETRY_AFTER_S, AppendGate
from ._job_appends import JobAppends
from ._job_stream import CANCEL_PREFIX, JOB_PREFIX
from ._metrics_registry import MetricsRegistry
from ._owner import Owner
from ._peers import SEEK_EVERY_MS, Peers
from ._ports import KeyedLog, KeyedRecord, LogFault
from ._spec_codec import encode_spec
from ._wait_forecast import (
    WaitForecast,
    forecast_retry_after_s,
    read_waits,
    write_waits,
)

logger = logging.getLogger('lycheerelay.desk')

# An append is tried so often, while its caller waits.
APPEND_TRIES: Final = 2
# The pause between two questions while the owner changes, in s.
ASK_PAUSE_S: Final = 0.1
# A question to the owner is given so long, in ms, then the owner is sought.
ASK_TIMEOUT_MS: Final = 500
# Callers are told before their own patience ends, by so many ms.
TIMEOUT_MARGIN_MS: Final = 150
# A question waits at most so long, in ms, for an owner that takes over.
LONGEST_ASK_MS: Final = 1500


@unique
class RequestStatus(Enum):
    """Name the outcome of a request."""

    OK = 'ok'
    REFUSED = 'refused'
    UNKNOWN_OUTCOME = 'unknown_outcome'
    NO_SUCH_JOB = 'no_such_job'
    UNAVAILABLE = 'unavailable'
    TOO_LATE = 'too_late'


class RequestResult(NamedTuple):
    """Answer one request."""

    status: RequestStatus
    content: Any = None
    retry_after_s: int = RETRY_AFTER_S


@final
class RequestHandler:
    """Answer requests, from the own cell or through the owner."""

    def __init__(
        self,
        clock: Clock,
        log: KeyedLog,
        peers: Peers,
        metrics: MetricsRegistry,
    ) -> None:
        """Start without being the owner."""
        self.clock = clock
        self.peers = peers
        self.metrics = metrics
        self.owner: Owner | None = None
        self.wait_forecast = WaitForecast({}, 0)
        self.gate = AppendGate(clock)
        self.appends = JobAppends(clock, log, self.gate, metrics)

    async def submit(
        self, spec: WorkflowSpec, timeout_ms: int
    ) -> RequestResult:
        """Store a job; it is accepted once the store has acknowledged it.

        A job that could only end too late is refused at once.
        """
        late_s = forecast_retry_after_s(
            spec, self._wait_forecast(), self.clock.now_ms()
        )
        if late_s:
            refusal = RequestResult(
                RequestStatus.TOO_LATE, retry_after_s=late_s
            )
            outcome = await self._repeat_or(refusal, spec.job_id)
            return self._said('submit', spec.job_id, spec.queue, outcome)
        record = KeyedRecord(f'{JOB_PREFIX}{spec.job_id}', encode_spec(spec))
        outcome = await self._append(record, timeout_ms, 'submit')
        return self._said('submit', spec.job_id, spec.queue, outcome)

    async def cancel(
        self,
        job_id: str,
        queue: str,
        timeout_ms: int,
    ) -> RequestResult:
        """Store that a job is cancelled."""
        known = await self._ask('/state', {'job': job_id}, timeout_ms // 2)
        if known is not None and known.get('phase') is None:
            outcome = RequestResult(RequestStatus.NO_SUCH_JOB)
            return self._said('cancel', job_id, queue, outcome)
        record = KeyedRecord(f'{CANCEL_PREFIX}{job_id}', b'{}')
        outcome = await self._append(record, timeout_ms, 'cancel')
        return self._said('cancel', job_id, queue, outcome)

    async def state(
        self,
        job_id: str,
        queue: str,
        timeout_ms: int,
    ) -> RequestResult:
        """Return the phase of a job."""
        answer = await self._ask('/state', {'job': job_id}, timeout_ms)
        if answer is None:
            outcome = RequestResult(RequestStatus.UNAVAILABLE)
        elif answer['phase'] is None:
            outcome = RequestResult(RequestStatus.NO_SUCH_JOB)
        else:
            outcome = RequestResult(RequestStatus.OK, answer['phase'])
        return self._said('state', job_id, queue, outcome)

    async def waiting(self, queue: str, timeout_ms: int) -> RequestResult:
        """Return how many jobs of a queue have not begun."""
        answer = await self._ask('/waiting', {'queue': queue}, timeout_ms)
        if answer is None:
            return RequestResult(RequestStatus.UNAVAILABLE)
        return RequestResult(RequestStatus.OK, answer['waiting'])

    async def answer_state(self, job_id: str) -> dict[str, Any] | None:
        """Answer for the own cell; None while it cannot be known."""
        owner = self.owner
        if owner is None or not owner.is_serving:
            return None
        job = owner.cell.jobs.get(job_id)
        if job is None:
            if not await owner.read_up() or not owner.is_serving:
                return None
            job = owner.cell.jobs.get(job_id)
        phase: JobPhase | None = None if job is None else job.visible_phase
        return {'phase': phase, 'waits': write_waits(owner.waits)}

    def answer_waiting(self, queue: str) -> dict[str, Any] | None:
        """Count the waiting jobs of a queue in the own cell."""
        owner = self.owner
        if owner is None or not owner.is_serving:
            return None
        waiting = sum(
            1
            for job in owner.cell.jobs.values()
            if job.spec.queue == queue and not job.started and not job.is_final
        )
        return {'waiting': waiting, 'waits': write_waits(owner.waits)}

    async def _append(
        self,
        record: KeyedRecord,
        timeout_ms: int,
        what: str,
    ) -> RequestResult:
        ends_ms = self.clock.now_ms() + timeout_ms - TIMEOUT_MARGIN_MS
        is_unsure = False
        fault = LogFault.REFUSED
        for _ in range(APPEND_TRIES):
            if not self.gate.may_pass():
                break
            outcome = await self._try_append(record, ends_ms)
            if isinstance(outcome, Ok):
                return RequestResult(RequestStatus.OK, outcome.ok_value)
            fault = outcome.err_value
            is_unsure = is_unsure or fault is LogFault.UNKNOWN
            if self.clock.now_ms() >= ends_ms:
                break
        logger.info(
            'append_failed',
            extra={
                'what': what,
                'key': record.key,
                'fault': fault.value,
                'unsure': is_unsure,
                'store_failing_since_ms': self.gate.failing_since_ms,
            },
        )
        if is_unsure:
            return RequestResult(RequestStatus.UNKNOWN_OUTCOME)
        return RequestResult(
            RequestStatus.REFUSED,
            retry_after_s=self.gate.retry_after_s(),
        )

    async def _try_append(
        self,
        record: KeyedRecord,
        ends_ms: int,
    ) -> Result[int, LogFault]:
        left_ms = max(ends_ms - self.clock.now_ms(), 1)
        return await self.appends.append(record, left_ms)

    async def _ask(
        self,
        path: str,
        body: dict[str, Any],
        timeout_ms: int,
    ) -> dict[str, Any] | None:
        timeout_ms = min(timeout_ms - TIMEOUT_MARGIN_MS, LONGEST_ASK_MS)
        ends_ms = self.clock.now_ms() + timeout_ms
        while True:
            answer = await self._ask_once(path, body, ends_ms)
            if answer is not None:
                return answer
            left_ms = ends_ms - self.clock.now_ms()
            if left_ms <= 0:
                return None
            await self.peers.refresh(SEEK_EVERY_MS)
            await asyncio.sleep(ASK_PAUSE_S)

    async def _ask_once(
        self,
        path: str,
        body: dict[str, Any],
        ends_ms: int,
    ) -> dict[str, Any] | None:
        if self.owner is not None:
            if path == '/state':
                return await self.answer_state(body['job'])
            return self.answer_waiting(body['queue'])
        left_ms = max(ends_ms - self.clock.now_ms(), 1)
        outcome = await self.peers.call_owner(
            path,
            body,
            min(ASK_TIMEOUT_MS, left_ms),
        )
        if isinstance(outcome, Err):
            return None
        answer = outcome.ok_value
        self.wait_forecast = WaitForecast(
            read_waits(answer['waits']), self.clock.now_ms()
        )
        return answer

    async def _repeat_or(
        self, refusal: RequestResult, job_id: str
    ) -> RequestResult:
        """Return success for a job that was accepted before."""
        known = await self._ask('/state', {'job': job_id}, ASK_TIMEOUT_MS)
        if known is not None and known.get('phase') is not None:
            return RequestResult(RequestStatus.OK)
        return refusal

    def _wait_forecast(self) -> WaitForecast:
        if self.owner is not None:
            return WaitForecast(self.owner.waits, self.clock.now_ms())
        return self.wait_forecast

    def _said(
        self,
        what: str,
        job_id: str,
        queue: str,
        outcome: RequestResult,
    ) -> RequestResult:
        status = outcome.status.value
        self.metrics.count('requests', what=what, verdict=status)
        logger.info(
            'request',
            extra={
                'what': what,
                'job': job_id,
                'queue': queue,
                'verdict': status,
                'answer': outcome.content,
            },
        )
        return outcome
