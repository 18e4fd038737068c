"""Refuse jobs that the owner's wait forecast predicts to end too late."""

import logging
import math
from typing import Final, NamedTuple

from .._clock import MS_PER_SECOND
from .._hashing import number_of
from ..workflow import (
    PoolWaits,
    WaitPoint,
    WorkflowSpec,
    lateness_ms,
    predicted_wait_ms,
)

logger = logging.getLogger('lycheerelay.outlook')

# A forecast older than this refuses no job.
MAX_FORECAST_AGE_MS: Final = 2000
# Retries of refused callers are delayed by up to this share of the predicted
# wait, so that the callers do not return at the same time.
RETRY_SPREAD: Final = 0.5
PERCENT: Final = 100


class WaitForecast(NamedTuple):
    """Predicted waits of new work by pool, and when they were received."""

    waits: PoolWaits
    received_ms: int


def encode_waits(waits: PoolWaits) -> dict[str, list[list[int]]]:
    """Encode waits for another VM."""
    return {
        pool: [list(point) for point in points]
        for pool, points in waits.items()
    }


def decode_waits(raw: dict[str, list[list[int]]]) -> PoolWaits:
    """Decode waits that another VM encoded."""
    return {
        pool: tuple(WaitPoint(*point) for point in points)
        for pool, points in raw.items()
    }


def forecast_retry_after_s(
    spec: WorkflowSpec,
    wait_forecast: WaitForecast,
    now_ms: int,
) -> int:
    """Return the retry delay of a job that would end too late, in s.

    Returns 0 if the job may be submitted now or the forecast is too old.
    """
    age_ms = now_ms - wait_forecast.received_ms
    wait_ms = predicted_wait_ms(
        spec, wait_forecast.waits.get(spec.pool, ()), age_ms
    )
    late_ms = lateness_ms(spec, wait_ms)
    if not late_ms or age_ms > MAX_FORECAST_AGE_MS:
        return 0
    percent = number_of(spec.job_id) % PERCENT
    factor = 1 + RETRY_SPREAD * percent / PERCENT
    retry_after_s = math.ceil(late_ms * factor / MS_PER_SECOND)
    logger.info(
        'too_late',
        extra={
            'job': spec.job_id,
            'pool': spec.pool,
            'wait_ms': wait_ms,
            'age_ms': age_ms,
            'late_ms': late_ms,
            'retry_after_s': retry_after_s,
        },
    )
    return retry_after_s
