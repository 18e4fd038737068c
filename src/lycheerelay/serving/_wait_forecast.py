"""Refuse jobs that could only end too late, by what the owner predicts."""

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

# A prediction of waits that is older than this, in ms, refuses nobody.
OUTLOOK_MS: Final = 2000
# Refused callers are told to come back up to this share later than room is
# predicted, so that they do not come together.
SPREAD: Final = 0.5
PERCENT: Final = 100


class WaitForecast(NamedTuple):
    """Tell how long new work of a pool waits, as the owner said it then."""

    waits: PoolWaits
    told_ms: int


def write_waits(waits: PoolWaits) -> dict[str, list[list[int]]]:
    """Return waits as another VM reads them."""
    return {
        pool: [list(point) for point in points]
        for pool, points in waits.items()
    }


def read_waits(raw: dict[str, list[list[int]]]) -> PoolWaits:
    """Return waits as another VM sent them."""
    return {
        pool: tuple(WaitPoint(*point) for point in points)
        for pool, points in raw.items()
    }


def forecast_retry_after_s(
    spec: WorkflowSpec,
    wait_forecast: WaitForecast,
    now_ms: int,
) -> int:
    """Return when a job that comes too late may come back; 0 if it does not.

    The time is in s from now; an old prediction refuses nobody.
    """
    age_ms = now_ms - wait_forecast.told_ms
    wait_ms = predicted_wait_ms(
        spec, wait_forecast.waits.get(spec.pool, ()), age_ms
    )
    late_ms = lateness_ms(spec, wait_ms)
    if not late_ms or age_ms > OUTLOOK_MS:
        return 0
    percent = number_of(spec.job_id) % PERCENT
    spread = 1 + SPREAD * percent / PERCENT
    retry_after_s = math.ceil(late_ms * spread / MS_PER_SECOND)
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
