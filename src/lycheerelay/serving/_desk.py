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
from ._meters import Meters
from ._outlook import Outlook, come_back_after_s, read_waits, write_waits
from ._owner import Owner
from ._peers import SEEK_EVERY_MS, Peers
from ._ports import KeyedLog, KeyedRecord, LogFault
from ._spec_codec import encode_spec

logger = logging.getLogger('lycheerelay.desk')

# An append is tried so often, while its caller waits.
APPEND_TRIES: Final = 2
# The pause between two questions while the owner changes, in s.
ASK_PAUSE_S: Final = 0.1
# A question to the owner is given so long, in ms, then the owner is sought.
ASK_TIMEOUT_MS: Final = 500
# Callers are told before their own patience ends, by so many ms.
PATIENCE_MARGIN_MS: Final = 150
# A question waits at most so long, in ms, for an owner that takes over.
LONGEST_ASK_MS: Final = 1500


@unique
class Verdict(Enum):
    """Name the outcome of a request."""

    OK = 'ok'
    REFUSED = 'refused'
    UNKNOWN_OUTCOME = 'unknown_outcome'
    NO_SUCH_JOB = 'no_such_job'
    UNAVAILABLE = 'unavailable'
    TOO_LATE = 'too_late'


class Outcome(NamedTuple):
    """Answer one request."""

    verdict: Verdict
    content: Any = None
    retry_after_s: int = RETRY_AFTER_S


@final
class Desk:
    """Answer requests, from the own cell or through the owner."""

    def __init__(
        self,
        clock: Clock,
        log: KeyedLog,
        peers: Peers,
        meters: Meters,
    ) -> None:
        """Start without being the owner."""
        self.clock = clock
        self.peers = peers
        self.meters = meters
        self.owner: Owner | None = None
        self.outlook = Outlook({}, 0)
        self.gate = AppendGate(clock)
        self.appends = JobAppends(clock, log, self.gate, meters)

    async def submit(self, spec: WorkflowSpec, patience_ms: int) -> Outcome:
        """Store a job; it is accepted once the store has acknowledged it.

        A job that could only end too late is refused at once.
        """
        late_s = come_back_after_s(spec, self._outlook(), self.clock.now_ms())
        if late_s:
            refusal = Outcome(Verdict.TOO_LATE, retry_after_s=late_s)
            outcome = await self._repeat_or(refusal, spec.job_id)
            return self._said('submit', spec.job_id, spec.queue, outcome)
        record = KeyedRecord(f'{JOB_PREFIX}{spec.job_id}', encode_spec(spec))
        outcome = await self._append(record, patience_ms, 'submit')
        return self._said('submit', spec.job_id, spec.queue, outcome)

    async def cancel(
        self,
        job_id: str,
        queue: str,
        patience_ms: int,
    ) -> Outcome:
        """Store that a job is cancelled."""
        known = await self._ask('/state', {'job': job_id}, patience_ms // 2)
        if known is not None and known.get('phase') is None:
            outcome = Outcome(Verdict.NO_SUCH_JOB)
            return self._said('cancel', job_id, queue, outcome)
        record = KeyedRecord(f'{CANCEL_PREFIX}{job_id}', b'{}')
        outcome = await self._append(record, patience_ms, 'cancel')
        return self._said('cancel', job_id, queue, outcome)

    async def state(
        self,
        job_id: str,
        queue: str,
        patience_ms: int,
    ) -> Outcome:
        """Return the phase of a job."""
        answer = await self._ask('/state', {'job': job_id}, patience_ms)
        if answer is None:
            outcome = Outcome(Verdict.UNAVAILABLE)
        elif answer['phase'] is None:
            outcome = Outcome(Verdict.NO_SUCH_JOB)
        else:
            outcome = Outcome(Verdict.OK, answer['phase'])
        return self._said('state', job_id, queue, outcome)

    async def waiting(self, queue: str, patience_ms: int) -> Outcome:
        """Return how many jobs of a queue have not begun."""
        answer = await self._ask('/waiting', {'queue': queue}, patience_ms)
        if answer is None:
            return Outcome(Verdict.UNAVAILABLE)
        return Outcome(Verdict.OK, answer['waiting'])

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
        phase: JobPhase | None = None if job is None else job.shown
        return {'phase': phase, 'waits': write_waits(owner.waits)}

    def answer_waiting(self, queue: str) -> dict[str, Any] | None:
        """Count the waiting jobs of a queue in the own cell."""
        owner = self.owner
        if owner is None or not owner.is_serving:
            return None
        waiting = sum(
            1
            for job in owner.cell.jobs.values()
            if job.spec.queue == queue and not job.begun and not job.is_final
        )
        return {'waiting': waiting, 'waits': write_waits(owner.waits)}

    async def _append(
        self,
        record: KeyedRecord,
        patience_ms: int,
        what: str,
    ) -> Outcome:
        ends_ms = self.clock.now_ms() + patience_ms - PATIENCE_MARGIN_MS
        is_unsure = False
        fault = LogFault.REFUSED
        for _ in range(APPEND_TRIES):
            if not self.gate.may_pass():
                break
            outcome = await self._try_append(record, ends_ms)
            if isinstance(outcome, Ok):
                return Outcome(Verdict.OK, outcome.ok_value)
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
            return Outcome(Verdict.UNKNOWN_OUTCOME)
        return Outcome(
            Verdict.REFUSED,
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
        patience_ms: int,
    ) -> dict[str, Any] | None:
        patience_ms = min(patience_ms - PATIENCE_MARGIN_MS, LONGEST_ASK_MS)
        ends_ms = self.clock.now_ms() + patience_ms
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
        self.outlook = Outlook(read_waits(answer['waits']), self.clock.now_ms())
        return answer

    async def _repeat_or(self, refusal: Outcome, job_id: str) -> Outcome:
        """Return success for a job that was accepted before."""
        known = await self._ask('/state', {'job': job_id}, ASK_TIMEOUT_MS)
        if known is not None and known.get('phase') is not None:
            return Outcome(Verdict.OK)
        return refusal

    def _outlook(self) -> Outlook:
        if self.owner is not None:
            return Outlook(self.owner.waits, self.clock.now_ms())
        return self.outlook

    def _said(
        self,
        what: str,
        job_id: str,
        queue: str,
        outcome: Outcome,
    ) -> Outcome:
        verdict = outcome.verdict.value
        self.meters.count('requests', what=what, verdict=verdict)
        logger.info(
            'request',
            extra={
                'what': what,
                'job': job_id,
                'queue': queue,
                'verdict': verdict,
                'answer': outcome.content,
            },
        )
        return outcome
