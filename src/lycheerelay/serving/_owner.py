"""Take a cell over and run it while the ownership lasts."""

import asyncio
import logging
from typing import Any, Final, final

import orjson
from result import Err, Ok

from .._clock import MS_PER_SECOND
from .._resources import Resources
from ..workflow import (
    CellState,
    PoolWaits,
    WorkerListing,
    dispatch,
    expire_jobs,
    list_worker,
    open_occurrences,
    predict_waits,
    run_periodic_checks,
    stop_orphaned_runs,
    unlist_worker,
)
from ._advice_dispatcher import AdviceDispatcher
from ._context import DECIDE_DELAY_S, Limits, OwnerContext
from ._job_stream import JobStream
from ._listings import ListingReader
from ._orders import Orders
from ._ports import LogFault, RecordPage, Stream
from ._recorder import ROSTER_KEY, Recorder
from ._worker_poller import WorkerPoller

logger = logging.getLogger('lycheerelay.owner')

# New jobs are waited for so long in one read, in ms. A channel that went
# silent delays them by as much.
TAIL_WAIT_MS: Final = 1500
# Registrations are read this often, in s: a worker that drains must get
# nothing new within its bound of 2 s.
LISTING_EVERY_S: Final = 0.35
# Time alone is judged this often, in s.
TICK_S: Final = 0.1
# Strays are stopped again every so many ticks.
STRAY_TICKS: Final = 5
# Waits are predicted anew every so many ticks.
OUTLOOK_TICKS: Final = 5
# Finished jobs are looked through for expired ones every so many ticks.
EXPIRE_TICKS: Final = 100
# The pause after a read that was not served, in s.
RETRY_S: Final = 0.1
# After a decision that took long, events gather so many times as long: the
# owner has callers and workers to answer, too.
PAUSE_FACTOR: Final = 4
# A worker's clock may be this much slow, and what an earlier owner sent may
# take so many ms on its way.
SLOW_CLOCK: Final = 1.03
WAY_MARGIN_MS: Final = 500


@final
class Owner:
    """Run one term of ownership."""

    def __init__(
        self,
        context: OwnerContext,
        dispatcher: AdviceDispatcher,
        listings: ListingReader,
    ) -> None:
        """Wire the parts of one term."""
        self.context = context
        self.orders = Orders(context, dispatcher)
        self.recorder = Recorder(context, self.orders.release)
        self.listings = listings
        self.stream = JobStream(context)
        self.started_ms = context.now_ms
        self.tasks: list[asyncio.Task[None]] = []
        self.is_over = False
        self.pause_s = DECIDE_DELAY_S
        self.waits: PoolWaits = {}

    @property
    def cell(self) -> CellState:
        """Return what this owner decides on."""
        return self.context.cell

    @property
    def why_over(self) -> str:
        """Tell why this term has ended by itself."""
        if self.cell.deposed and self.cell.loaded:
            return 'a later owner was met'
        return 'the takeover came to nothing'

    @property
    def is_serving(self) -> bool:
        """Tell whether questions about jobs can be answered."""
        return self.cell.loaded and self.context.may_send_orders

    async def run(self) -> None:
        """Serve until the ownership ends."""
        logger.info('takeover_begun', extra={'fence': self.context.fence})
        try:
            if await self._load():
                await self._serve()
        finally:
            self._stop()

    def depose(self) -> None:
        """Send nothing more from now on."""
        self.cell.deposed = True
        self.context.notify_changed()

    async def read_up(self) -> bool:
        """Read the job stream to its present end; False without an answer."""
        context = self.context
        outcome = await context.log.read(Stream.JOBS, context.tail_offset, 0)
        if isinstance(outcome, Err):
            return False
        self._take(outcome.ok_value)
        return True

    def decide(self) -> None:
        """Let the core decide and carry out what it asks."""
        if self.context.may_send_orders:
            dispatch(self.cell, self.context.now_ms)
        self.orders.execute_commands()

    async def _load(self) -> bool:
        if not await self.recorder.fence():
            return False
        jobs, progress, listed = await asyncio.gather(
            self._newest(Stream.JOBS),
            self._newest(Stream.PROGRESS),
            self._newest(Stream.WORKERS),
        )
        if jobs is None or progress is None or listed is None:
            return False
        self.context.tail_offset = jobs.next_offset
        self.listings.next_offset = listed.next_offset
        self._list_all(listed, progress)
        self.stream.fold(jobs, progress)
        self.cell.loaded = True
        self.context.loaded.set()
        self.context.notify_changed()
        logger.info(
            'takeover_loaded',
            extra={
                'fence': self.context.fence,
                'jobs': len(self.cell.jobs),
                'workers': len(self.cell.workers),
                'took_ms': self.context.now_ms - self.started_ms,
                'job_offset': self.context.tail_offset,
            },
        )
        return True

    async def _newest(self, stream: Stream) -> RecordPage | None:
        while not self.cell.deposed:
            outcome = await self.context.log.newest(stream)
            if isinstance(outcome, Ok):
                return outcome.ok_value
            logger.warning(
                'store_unread',
                extra={
                    'stream': stream.value,
                    'fault': outcome.err_value.value,
                },
            )
            await asyncio.sleep(RETRY_S)
        return None

    def _list_all(self, listed: RecordPage, progress: RecordPage) -> None:
        cell = self.cell
        now_ms = self.context.now_ms
        for entry in self.listings.decode(listed.records):
            if isinstance(entry, WorkerListing):
                list_worker(cell, entry, now_ms)
        for worker_id, address in _roster(progress).items():
            if worker_id not in cell.workers:
                list_worker(cell, _absentee(worker_id, address), now_ms)
                unlist_worker(cell, worker_id)
        cell.unsynced_workers.update(dict.fromkeys(cell.workers))
        for worker_id in cell.workers:
            self._start_poller(worker_id)

    def _take(self, part: RecordPage) -> None:
        self.stream.take(part)
        if part.records and self.cell.loaded:
            self.decide()

    async def _serve(self) -> None:
        jobs: tuple[Any, ...] = (
            self._tail(),
            self._follow_workers(),
            self.recorder.run(),
            self._tick(),
            self._decide_on_change(),
        )
        self.tasks.extend(
            asyncio.get_running_loop().create_task(job) for job in jobs
        )
        done, _ = await asyncio.wait(
            self.tasks[-len(jobs) :],
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            if task.exception() is not None:
                logger.error('term_crashed', exc_info=task.exception())

    def _stop(self) -> None:
        self.is_over = True
        self.depose()
        for task in self.tasks:
            task.cancel()
        self.orders.cancel()
        logger.info(
            'term_over',
            extra={
                'fence': self.context.fence,
                'after_ms': self.context.now_ms - self.started_ms,
                'jobs': len(self.cell.jobs),
            },
        )

    async def _tail(self) -> None:
        context = self.context
        while not self.cell.deposed:
            outcome = await context.log.read(
                Stream.JOBS,
                context.tail_offset,
                TAIL_WAIT_MS,
            )
            if isinstance(outcome, Ok):
                self._take(outcome.ok_value)
                continue
            if outcome.err_value is LogFault.GONE:
                await self._tail_anew()
            await asyncio.sleep(RETRY_S)

    async def _tail_anew(self) -> None:
        newest = await self._newest(Stream.JOBS)
        if newest is not None:
            logger.warning(
                'job_history_gone',
                extra={'from': self.context.tail_offset},
            )
            ordered = sorted(newest.records, key=lambda record: record.offset)
            self._take(newest._replace(records=tuple(ordered)))

    async def _follow_workers(self) -> None:
        while not self.cell.deposed:
            await asyncio.sleep(LISTING_EVERY_S)
            for entry in await self.listings.poll(self.context.log):
                if isinstance(entry, WorkerListing):
                    list_worker(self.cell, entry, self.context.now_ms)
                    self._start_poller(entry.worker_id)
                else:
                    unlist_worker(self.cell, entry)
            self.context.notify_changed()

    def _start_poller(self, worker_id: str) -> None:
        worker = self.cell.workers.get(worker_id)
        if worker is None or worker_id in self.orders.pollers:
            return
        poller = WorkerPoller(self.context, worker_id, worker.address)
        self.orders.pollers[worker_id] = poller
        self.tasks.append(
            asyncio.get_running_loop().create_task(poller.run()),
        )

    async def _tick(self) -> None:
        ticks = 0
        while not self.cell.deposed:
            await asyncio.sleep(TICK_S)
            ticks += 1
            now_ms = self.context.now_ms
            if not self.context.may_send_orders:
                continue
            run_periodic_checks(self.cell, now_ms)
            open_occurrences(self.cell, now_ms)
            if ticks % STRAY_TICKS == 0:
                stop_orphaned_runs(self.cell)
            if ticks % EXPIRE_TICKS == 0:
                expired = expire_jobs(
                    self.cell,
                    self.context.limits.status_ms,
                    now_ms,
                )
                self.recorder.drop(expired)
            _gauge(self.context)
            if ticks % OUTLOOK_TICKS == 0:
                self.waits = predict_waits(self.cell, now_ms)
            self.decide()
            if self.cell.unrecorded_jobs:
                self.context.notify_changed()

    async def _decide_on_change(self) -> None:
        while not self.cell.deposed:
            await self.context.decide.wait()
            await asyncio.sleep(self.pause_s)
            self.context.decide.clear()
            begun_ms = self.context.now_ms
            self.decide()
            took_ms = self.context.now_ms - begun_ms
            self.context.metrics.observe('decide', took_ms)
            pause_s = PAUSE_FACTOR * took_ms / MS_PER_SECOND
            self.pause_s = max(DECIDE_DELAY_S, pause_s)


def _gauge(context: OwnerContext) -> None:
    cell = context.cell
    context.metrics.gauge('jobs', len(cell.jobs))
    context.metrics.gauge('open_steps', len(cell.open_steps))
    context.metrics.gauge('workers', len(cell.workers))
    context.metrics.gauge('workers_unanswered', len(cell.unsynced_workers))


def previous_orders_expire_ms(now_ms: int, limits: Limits) -> int:
    """Return from when no order of an earlier owner can be in effect."""
    lease_ms = int(limits.lease_ms * SLOW_CLOCK)
    return now_ms + limits.group_ttl_ms + lease_ms + WAY_MARGIN_MS


def _roster(progress: RecordPage) -> dict[str, str]:
    for record in progress.records:
        if record.key == ROSTER_KEY and record.payload is not None:
            try:
                roster: dict[str, str] = orjson.loads(record.payload)
            except ValueError as error:
                logger.warning('roster_unreadable', extra={'error': str(error)})
                return {}
            return roster
    return {}


def _absentee(worker_id: str, address: str) -> WorkerListing:
    return WorkerListing(
        worker_id=worker_id,
        address=address,
        pool='',
        domain='',
        rack='',
        labels=frozenset(),
        capacity=Resources(),
        draining=False,
    )
