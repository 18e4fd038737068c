"""Define the results of callers' requests."""

from enum import Enum, unique
from typing import Any, NamedTuple

from ._append_gate import RETRY_AFTER_S


@unique
class RequestStatus(Enum):
    """Status of a handled request."""

    OK = 'ok'
    REFUSED = 'refused'
    UNKNOWN_OUTCOME = 'unknown_outcome'
    NO_SUCH_JOB = 'no_such_job'
    UNAVAILABLE = 'unavailable'
    TOO_LATE = 'too_late'
    OVER_QUOTA = 'over_quota'
    OVER_RATE = 'over_rate'
    BUSY = 'busy'
    KEY_REFUSED = 'key_refused'
    CONFIG_TOO_OLD = 'config_too_old'
    NEVER_STORED = 'never_stored'
    TOO_MANY_CANCELS = 'too_many_cancels'


class RequestResult(NamedTuple):
    """Result of one request."""

    status: RequestStatus
    content: Any = None
    retry_after_s: int = RETRY_AFTER_S
