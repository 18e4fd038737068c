"""Check the callers of this VM against its configuration, and log refusals."""

import logging
from typing import Final, final

from result import Err

from ._config_watch import ConfigWatch
from ._credentials import (
    Identification,
    Identity,
    Refusal,
    RefusalCause,
    identify,
    is_revoked,
    shorten,
)
from ._metrics_registry import MetricsRegistry
from ._queues import Queue, QueueTable
from ._request_result import RequestStatus

logger = logging.getLogger('lycheerelay.callers')

STATUS_OF_CAUSE: Final = {
    RefusalCause.MISSING_KEY: RequestStatus.KEY_REFUSED,
    RefusalCause.UNKNOWN_KEY: RequestStatus.KEY_REFUSED,
    RefusalCause.CONFIG_TOO_OLD: RequestStatus.CONFIG_TOO_OLD,
}


@final
class CallerChecks:
    """Identify callers, and check them again before a call takes effect."""

    def __init__(self, config: ConfigWatch, metrics: MetricsRegistry) -> None:
        """Check against the newest configuration of this VM."""
        self.config = config
        self.metrics = metrics

    def identify(
        self,
        table: QueueTable,
        queue: Queue | None,
        key: str,
        job_id: str = '',
    ) -> Identification:
        """Return the identity of a call to a queue, or why it is refused.

        `job_id` is for the log line only.
        """
        outcome = identify(table, queue, key, is_current=self.config.is_current)
        if isinstance(outcome, Err):
            name = '' if queue is None else queue.policy.name
            self._report(outcome.err_value, name, job_id)
        return outcome

    def recheck(self, identity: Identity, what: str) -> RequestStatus | None:
        """Return why an identified call must not take effect any more."""
        if self.is_revoked(identity, what):
            return RequestStatus.KEY_REFUSED
        if not identity.digest or self.config.is_current:
            return None
        self._report_known(RefusalCause.CONFIG_TOO_OLD, identity, what)
        return RequestStatus.CONFIG_TOO_OLD

    def is_revoked(self, identity: Identity, what: str) -> bool:
        """Return whether a newer version revoked the key of a call."""
        if not is_revoked(identity, self.config.table):
            return False
        self._report_known(RefusalCause.UNKNOWN_KEY, identity, what)
        return True

    def describe(self, identity: Identity) -> dict[str, object]:
        """Return what may be logged of an identified caller, if it has a key."""
        if not identity.digest:
            return {}
        return self._describe(shorten(identity.digest), identity.tenant or '')

    def _report_known(
        self, cause: RefusalCause, identity: Identity, what: str
    ) -> None:
        digest = shorten(identity.digest)
        self._report(Refusal(cause, digest, identity.tenant or ''), what)

    def _report(self, refusal: Refusal, what: str, job_id: str = '') -> None:
        cause = refusal.cause.value
        self.metrics.count('callers_refused', cause=cause)
        logger.info(
            'caller_refused',
            extra={
                'cause': cause,
                'what': what,
                **({'job': job_id} if job_id else {}),
                **self._describe(refusal.short_digest, refusal.tenant),
            },
        )

    def _describe(self, short_digest: str, tenant: str) -> dict[str, object]:
        table = self.config.table
        return {
            'key_digest': short_digest,
            'tenant': tenant,
            'version': table.version if table else 0,
            'version_age_ms': self.config.age_ms,
        }
