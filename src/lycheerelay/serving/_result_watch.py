"""Let state queries wait for the record of a job's end."""

import asyncio
import logging
from collections.abc import Iterable
from typing import final

from .._clock import MS_PER_SECOND
from ..workflow import FINAL_PHASES, CellState, JobInfo
from ..workflow.policies import RESULT_WAITS

logger = logging.getLogger('lycheerelay.recorder')


@final
class ResultWatch:
    """Wake the queries that wait for a job once its final phase is durable."""

    def __init__(self, cell: CellState) -> None:
        """Start without waiting queries."""
        self.cell = cell
        self.ended: dict[str, asyncio.Event] = {}

    async def wait(self, job: JobInfo) -> None:
        """Wait for the durable end of a job, for as long as the policy says."""
        wait_ms = RESULT_WAITS[self.cell.policies.result_waits](job)
        if not wait_ms or self.cell.deposed:
            return
        job_id = job.spec.job_id
        ended = self.ended.setdefault(job_id, asyncio.Event())
        try:
            async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                await ended.wait()
        except TimeoutError:
            # The job goes on; later queries may share the event.
            return

    def notify(self, job_ids: Iterable[str]) -> None:
        """Wake the queries for the jobs that have a durable final phase."""
        for job_id in job_ids:
            job = self.cell.jobs.get(job_id)
            if job is not None and job.visible_phase in FINAL_PHASES:
                logger.info(
                    'job_recorded',
                    extra={'job': job_id, 'phase': job.phase.value},
                )
                ended = self.ended.pop(job_id, None)
                if ended is not None:
                    ended.set()
