"""Client of the platform's placement advisor."""

import logging
from collections.abc import Sequence
from typing import Final, final

from result import Err, Ok, Result

from ..serving import NO_ANSWER, AdviceReply, Caller, LogFault, post_json
from ..workflow import StepKey
from ._decode import DECODE_ERRORS

logger = logging.getLogger('lycheerelay.advisor')

# A call takes up to 1 s, and the advisor serves the calls of one VM one after
# the other. A later answer is of no use any more.
TIMEOUT_MS: Final = 5000
OK: Final = 200
BUSY: Final = 429


@final
class AdvisorClient:
    """Request placement advice; without an advisor every call is refused."""

    def __init__(self, http: Caller, address: str) -> None:
        """Use the advisor at `address`."""
        self.http = http
        self.address = address

    async def ask(
        self,
        step: StepKey,
        workers: Sequence[str],
    ) -> Result[AdviceReply, LogFault]:
        """Return tickets for the workers that may run the step."""
        reply = await post_json(
            self.http,
            f'http://{self.address}/v1/advise',
            TIMEOUT_MS,
            {
                'step': f'{step.job_id}.{step.occurrence}.{step.step}',
                'workers': list(workers),
            },
        )
        if reply.status != OK:
            logger.info('advisor_refused', extra={'status': reply.status})
            is_outcome_unknown = reply.status == NO_ANSWER
            return Err(
                LogFault.UNKNOWN if is_outcome_unknown else LogFault.REFUSED
            )
        fields = reply.fields()
        try:
            rows = tuple((str(row[0]), str(row[1])) for row in fields['good'])
            return Ok(AdviceReply(rows, int(fields['validityMs'])))
        except DECODE_ERRORS as error:
            logger.warning('advice_unreadable', extra={'error': str(error)})
            return Err(LogFault.REFUSED)
