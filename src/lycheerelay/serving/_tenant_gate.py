"""Admit or refuse submissions at one VM by the owner's rows about tenants."""

import logging
from typing import Any, Final, final

from .._clock import Clock
from ..workflow import WorkflowSpec
from ._tenant_admission import (
    MAX_ROW_AGE_MS,
    NO_ROWS,
    TenantRows,
    decode_rows,
    has_token,
    retry_after_s,
)

Answer = dict[str, Any]

logger = logging.getLogger('lycheerelay.tenants')

CAUSE_OVER_RATE: Final = 'over_rate'
DECODE_ERRORS: Final = (ValueError, TypeError, KeyError)
NO_TENANTS: Final[dict[str, Any]] = {'age_ms': 0, 'rows': []}
# A VM with submissions asks for rows that are older than this. It is half of their
# validity, so that one lost call leaves no gap.
MAX_NEWS_AGE_MS: Final = MAX_ROW_AGE_MS // 2


@final
class TenantGate:
    """Hold the newest rows, and decide on jobs by the answers about them."""

    def __init__(self, clock: Clock) -> None:
        """Start without rows, which refuses nothing."""
        self.clock = clock
        self.rows = NO_ROWS

    def receive(self, answer: Answer, sent_ms: int) -> None:
        """Take the rows in a response of the owner to a call sent at a time.

        A response with `waits` but without rows comes from an owner that has no
        tenants or is of an earlier version.
        """
        if sent_ms < self.rows.sent_ms:
            return
        if 'tenants' in answer or 'waits' in answer:
            self.rows = _rows_in(answer, sent_ms)

    @property
    def needs_news(self) -> bool:
        """Return whether this VM should ask the owner for rows soon."""
        return self.rows.age_ms(self.clock.now_ms()) > MAX_NEWS_AGE_MS

    def is_doubtful(self, spec: WorkflowSpec) -> bool:
        """Return whether the owner must be asked before a job is accepted."""
        now_ms = self.clock.now_ms()
        row = self.rows.find(spec.tenant, spec.pool, now_ms)
        return bool(spec.tenant) and row is not None

    def refusal_s(
        self, spec: WorkflowSpec, answer: Answer, sent_ms: int
    ) -> int:
        """Return the retry delay of a job over the rate, in s; 0 admits it.

        `answer` is that of the owner to a call about this job.
        """
        now_ms = self.clock.now_ms()
        rows = _rows_in(answer, sent_ms)
        row = rows.find(spec.tenant, spec.pool, now_ms)
        if row is None or has_token(row):
            return 0
        age_ms = rows.age_ms(now_ms)
        delay_s = retry_after_s(row, spec.job_id, age_ms)
        logger.info(
            'submission_refused',
            extra={
                'job': spec.job_id,
                'queue': spec.queue,
                'cause': CAUSE_OVER_RATE,
                'age_ms': age_ms,
                'retry_after_s': delay_s,
                **row._asdict(),
            },
        )
        return delay_s


def _rows_in(answer: Answer, sent_ms: int) -> TenantRows:
    try:
        return decode_rows(answer.get('tenants', NO_TENANTS), sent_ms)
    except DECODE_ERRORS as error:
        logger.warning('tenant_rows_unreadable', extra={'error': repr(error)})
        return TenantRows({}, sent_ms)
