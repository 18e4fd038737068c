"""Report doubtful jobs to the owner, whom all VMs ask before they refuse a job."""

import asyncio
import contextlib
import logging
from typing import Final, final

from result import Ok

from ._doubtful_jobs import DoubtfulJobs
from ._peers import CALL_TIMEOUT_MS, Peers

logger = logging.getLogger('lycheerelay.desk')

# Interval of the checks for another owner, and between two tries to report.
REPORT_INTERVAL_S: Final = 0.5
# Jobs in one report, of about 50 bytes each.
MAX_ROWS: Final = 1000


@final
class DoubtReports:
    """Report new doubtful jobs at once, and all of them to another owner."""

    def __init__(self, doubts: DoubtfulJobs, peers: Peers) -> None:
        """Start with nothing reported."""
        self.doubts = doubts
        self.peers = peers
        self.owner = ''
        self.wanted = asyncio.Event()

    async def run(self) -> None:
        """Report until the process ends."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REPORT_INTERVAL_S):
                    await self.wanted.wait()
            self.wanted.clear()
            if not await self._report():
                await asyncio.sleep(REPORT_INTERVAL_S)

    async def _report(self) -> bool:
        """Report what the owner does not have; return False if that failed."""
        owner = self.peers.owner
        if owner != self.owner:
            self.owner = owner
            self.doubts.retell()
        rows = self.doubts.untold_rows(MAX_ROWS)
        if not rows or owner == self.peers.own_name:
            return True
        outcome = await self.peers.call_owner(
            '/doubts', {'jobs': rows}, CALL_TIMEOUT_MS
        )
        is_told = isinstance(outcome, Ok)
        if is_told and owner == self.peers.owner:
            self.doubts.mark_told(rows)
        logger.info(
            'doubts_reported',
            extra={'owner': owner, 'jobs': len(rows), 'told': is_told},
        )
        return is_told
