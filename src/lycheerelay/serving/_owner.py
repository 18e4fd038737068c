"""Take over a cell and run it for one ownership term."""

import asyncio
import logging
from collections.abc import Collection
from functools import partial
from typing import Any, Final, final

from result import Err, Ok

from .._clock import MS_PER_SECOND
from ..workflow import (
    CellState,
    PoolWaits,
    WorkerKey,
    WorkerListing,
    dispatch,
    list_worker,
    open_occurrences,
    predict_waits,
    run_periodic_checks,
    stop_orphaned_runs,
    unlist_worker,
)
from ..workflow.opening import forget_finished_occurrences
from ..workflow.stalls import (
    count_hopeless_steps,
    count_waiting_suspects,
    report_stalled_steps,
)
from ..workflow.workers import forget_gone_workers
from ._advice_dispatcher import AdviceDispatcher
from ._context import CYCLE_DELAY_S, Limits, OwnerContext
from ._job_expiry import JobExpiry
from ._job_stream import JobStream
from ._listings import ListingReader
from ._orders import Orders
from ._past_jobs import PastJobs
from ._ports import LogFault, RecordPage, Stream
from ._recorder import Recorder
from ._result_watch import ResultWatch
from ._shared_call import SharedCall
from ._takeover import Takeover
from ._tenant_monitor import TenantMonitor
from ._worker_poller import WorkerPoller

logger = logging.getLogger('lycheerelay.owner')

# How long one read of the job stream waits for new records. A connection that
# stalls delays new jobs by up to this time.
JOB_READ_WAIT_MS: Final = 1500
# Pages of the job stream that are read at the end of a long takeover.
MAX_TAIL_PAGES: Final = 100
# A draining worker must receive no new runs after 2 s, so registrations are
# read well within that bound.
LISTING_READ_INTERVAL_S: Final = 0.35
# Interval of the checks that depend on time alone.
TICK_INTERVAL_S: Final = 0.1
# Ticks between two stop orders for the same orphaned runs.
ORPHAN_CHECK_TICKS: Final = 5
# Ticks between two wait forecasts.
FORECAST_TICKS: Final = 5
# Ticks between two checks for steps that wait with capacity free.
STALL_CHECK_TICKS: Final = 10
# Ticks between two checks for workers that are gone for good.
GONE_CHECK_TICKS: Final = 100
# Delay before a failed read is repeated.
RETRY_DELAY_S: Final = 0.1
# After each scheduling cycle, events are batched for this multiple of its
# duration, so that the event loop has time to answer callers and workers.
CYCLE_PAUSE_FACTOR: Final = 4
# Bounds for the orders of an earlier owner: how slowly a worker's clock may
# run, and how long an order may be in flight.
CLOCK_DRIFT_FACTOR: Final = 1.03
IN_FLIGHT_MARGIN_MS: Final = 500


@final
class Owner:
    """Run one ownership term."""

    def __init__(
        self,
        context: OwnerContext,
        dispatcher: AdviceDispatcher,
        listings: ListingReader,
    ) -> None:
        """Create the parts of one term."""
        self.context = context
        self.orders = Orders(context, dispatcher)
        self.recorder = Recorder(
            context, self.orders.begin_recording, self._on_recorded
        )
        self.results = ResultWatch(context.cell)
        self.listings = listings
        self.past = PastJobs(context.cell)
        self.expiry = JobExpiry(
            context, self.recorder, self.past, self.catch_up
        )
        self.stream = JobStream(context, self.expiry)
        self.catching_up = SharedCall(self.catch_up)
        self.takeover = Takeover(context, listings, self.stream, self.recorder)
        self.started_ms = context.now_ms
        self.tasks: list[asyncio.Task[None]] = []
        self.has_ended = False
        self.pause_s = CYCLE_DELAY_S
        self.waits: PoolWaits = {}
        self.tenants = TenantMonitor(context)

    @property
    def cell(self) -> CellState:
        """Return the state of the cell that this owner schedules."""
        return self.context.cell

    @property
    def end_reason(self) -> str:
        """Return why this term ended without being stopped from outside."""
        if self.cell.deposed and self.cell.loaded:
            return 'superseded by a later owner'
        return 'the takeover failed'

    @property
    def is_serving(self) -> bool:
        """Return whether queries about jobs can be answered."""
        return self.cell.loaded and self.context.may_send_orders

    def can_answer(self, job_id: str) -> bool:
        """Return whether queries about a job can be answered.

        During a takeover those about restored jobs can.
        """
        if self.cell.loaded:
            return self.is_serving
        is_known = self.cell.find_job(job_id) is not None
        return is_known and self.context.may_send_orders

    async def run(self) -> None:
        """Load the cell, then serve it until the ownership ends."""
        logger.info('takeover_begun', extra={'fence': self.context.fence})
        try:
            if await self._load():
                await self._serve()
        finally:
            self._stop()

    def depose(self) -> None:
        """Stop sending orders for good."""
        self.cell.deposed = True
        self.context.notify_changed()

    async def catch_up(self) -> bool:
        """Read the job stream to its end; return False if that fails."""
        context = self.context
        reaches_end = False
        while not reaches_end:
            outcome = await context.log.read(
                Stream.JOBS, context.tail_offset, 0
            )
            if isinstance(outcome, Err):
                return False
            await self._apply_page(outcome.ok_value)
            reaches_end = outcome.ok_value.reaches_end
        return True

    def run_cycle(self) -> None:
        """Run one scheduling cycle and execute the resulting commands.

        An unfinished cycle is continued after its pause, not at once.
        """
        if not self.cell.dispatch_unfinished:
            _decide(self.context)
        self.orders.execute_commands()

    def _on_recorded(self, job_ids: Collection[str]) -> None:
        self.orders.send_recorded_starts()
        self.results.notify(job_ids)

    async def _load(self) -> bool:
        if not await self.recorder.fence():
            return False
        is_restored = await self.takeover.run(
            self._start_pollers, partial(_configure_tenants, self.context)
        )
        if not is_restored:
            return False
        if self.takeover.is_outdated:
            await self._read_tail()
        self.cell.loaded = True
        self.context.loaded.set()
        self.context.notify_changed()
        logger.info(
            'takeover_loaded',
            extra={
                'fence': self.context.fence,
                'jobs': len(self.cell.jobs),
                'past_jobs': len(self.past.jobs),
                'workers': len(self.cell.workers),
                'records': self.takeover.records_read,
                'took_ms': self.context.now_ms - self.started_ms,
                'job_offset': self.context.tail_offset,
            },
        )
        return True

    async def _read_tail(self) -> None:
        """Read what was appended during a long takeover, such as cancellations.

        The reader of the stream goes on from where this ends.
        """
        for _ in range(MAX_TAIL_PAGES):
            begun_at = self.context.tail_offset
            if not await self.catch_up():
                return
            if self.context.tail_offset == begun_at:
                return

    async def _apply_page(self, page: RecordPage) -> None:
        await self.stream.apply_page(page)
        if page.records and self.cell.loaded:
            self.run_cycle()

    async def _serve(self) -> None:
        coroutines: tuple[Any, ...] = (
            self._follow_jobs(),
            self._follow_workers(),
            self.recorder.run(),
            self.expiry.run(),
            self._run_ticks(),
            self._run_cycles(),
        )
        self.tasks.extend(
            asyncio.get_running_loop().create_task(coroutine)
            for coroutine in coroutines
        )
        done, _ = await asyncio.wait(
            self.tasks[-len(coroutines) :],
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            if task.exception() is not None:
                logger.error('term_crashed', exc_info=task.exception())

    def _stop(self) -> None:
        self.has_ended = True
        self.tenants.end()
        self.depose()
        for task in self.tasks:
            task.cancel()
        self.catching_up.cancel()
        self.orders.cancel()
        logger.info(
            'term_over',
            extra={
                'fence': self.context.fence,
                'after_ms': self.context.now_ms - self.started_ms,
                'jobs': len(self.cell.jobs),
            },
        )

    async def _follow_jobs(self) -> None:
        context = self.context
        while not self.cell.deposed:
            outcome = await context.log.read(
                Stream.JOBS,
                context.tail_offset,
                JOB_READ_WAIT_MS,
            )
            if isinstance(outcome, Ok):
                await self._apply_page(outcome.ok_value)
                continue
            if outcome.err_value is LogFault.GONE:
                await self._reload_jobs()
            await asyncio.sleep(RETRY_DELAY_S)

    async def _reload_jobs(self) -> None:
        newest = await self.takeover.read_newest(Stream.JOBS)
        if newest is not None:
            logger.warning(
                'job_history_gone',
                extra={'from': self.context.tail_offset},
            )
            ordered = sorted(newest.records, key=lambda record: record.offset)
            await self._apply_page(newest._replace(records=tuple(ordered)))

    async def _follow_workers(self) -> None:
        while not self.cell.deposed:
            await asyncio.sleep(LISTING_READ_INTERVAL_S)
            for listing in await self.listings.read_changes(self.context.log):
                if isinstance(listing, WorkerListing):
                    list_worker(self.cell, listing, self.context.now_ms)
                    self.orders.wake_pollers(listing.worker.worker_id)
                else:
                    unlist_worker(self.cell, listing)
            self._start_pollers()
            self.context.notify_changed()

    def _start_pollers(self) -> None:
        for key in list(self.cell.workers):
            self._start_poller(key)

    def _start_poller(self, key: WorkerKey) -> None:
        worker = self.cell.workers.get(key)
        if worker is None or key in self.orders.pollers:
            return
        poller = WorkerPoller(
            self.context, key, worker.address, self._start_pollers
        )
        self.orders.pollers[key] = poller
        task = asyncio.get_running_loop().create_task(poller.run())
        task.add_done_callback(partial(self._on_poller_done, key))
        self.tasks.append(task)

    def _on_poller_done(self, key: WorkerKey, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self.has_ended:
            return
        self.tasks.remove(task)
        self.orders.pollers.pop(key, None)
        if task.exception() is None:
            return
        logger.error(
            'poller_crashed',
            extra={'worker': key.worker_id, 'started_ms': key.started_ms},
            exc_info=task.exception(),
        )
        # Without polls the leases of the worker would expire.
        asyncio.get_running_loop().call_later(
            RETRY_DELAY_S, self._start_poller, key
        )

    async def _run_ticks(self) -> None:
        ticks = 0
        while not self.cell.deposed:
            await asyncio.sleep(TICK_INTERVAL_S)
            ticks += 1
            now_ms = self.context.now_ms
            if not self.context.may_send_orders:
                continue
            run_periodic_checks(self.cell, now_ms)
            open_occurrences(self.cell, now_ms)
            if ticks % ORPHAN_CHECK_TICKS == 0:
                stop_orphaned_runs(self.cell)
            if ticks % GONE_CHECK_TICKS == 0:
                gone = forget_gone_workers(self.cell, now_ms)
                self.context.metrics.gauge('workers_gone', gone)
            _update_gauges(self.context)
            self._observe_waits(ticks, now_ms)
            self.run_cycle()
            if self.cell.unrecorded_jobs:
                self.context.notify_changed()

    def _observe_waits(self, ticks: int, now_ms: int) -> None:
        self.tenants.tick(ticks, now_ms)
        if ticks % FORECAST_TICKS == 0:
            self.waits = predict_waits(self.cell, now_ms)
        if ticks % STALL_CHECK_TICKS == 0:
            forget_finished_occurrences(self.cell)
            stalled = report_stalled_steps(self.cell, now_ms)
            self.context.metrics.gauge('stalled_steps', stalled)
            hopeless = count_hopeless_steps(self.cell)
            self.context.metrics.gauge('hopeless_steps', hopeless)
            suspects = count_waiting_suspects(self.cell)
            self.context.metrics.gauge('waiting_suspects', suspects)

    async def _run_cycles(self) -> None:
        while not self.cell.deposed:
            await self.context.cycle_needed.wait()
            await asyncio.sleep(self.pause_s)
            self.context.cycle_needed.clear()
            begun_ms = self.context.now_ms
            self.cell.dispatch_unfinished = False
            self.run_cycle()
            took_ms = self.context.now_ms - begun_ms
            pause_s = CYCLE_PAUSE_FACTOR * took_ms / MS_PER_SECOND
            self.pause_s = max(CYCLE_DELAY_S, pause_s)


def _decide(context: OwnerContext) -> None:
    begun_ms = context.now_ms
    _configure_tenants(context)
    if context.may_send_orders:
        dispatch(context.cell, begun_ms)
    if context.cell.dispatch_unfinished:
        context.cycle_needed.set()
    context.metrics.observe('decide', context.now_ms - begun_ms)


def _configure_tenants(context: OwnerContext) -> None:
    """Apply the tenants of the configuration in force if it has changed."""
    table = context.find_table()
    if table is not None:
        context.cell.tenants.configure(
            table.version, table.tenants, is_enforced=table.requires_keys
        )


def _update_gauges(context: OwnerContext) -> None:
    cell = context.cell
    context.metrics.gauge('jobs', len(cell.jobs))
    context.metrics.gauge('open_steps', len(cell.open_steps))
    context.metrics.gauge('workers', len(cell.workers))
    context.metrics.gauge('workers_unanswered', len(cell.unsynced_workers))


def previous_orders_expire_ms(now_ms: int, limits: Limits) -> int:
    """Return the time from which no order of an earlier owner is in effect."""
    lease_ms = int(limits.lease_ms * CLOCK_DRIFT_FACTOR)
    return now_ms + limits.group_ttl_ms + lease_ms + IN_FLIGHT_MARGIN_MS
