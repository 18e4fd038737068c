"""Stand-in of a worker of the platform, in virtual time."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, final

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.serving import NO_ANSWER, Reply

from ._audit import Audit, ObservedRun
from ._network import Request

OK: Final = 200
CONFLICT: Final = 409
MISDIRECTED: Final = 421
INSTANCE_HEADER: Final = 'X-Expected-Instance'
FULL_PERCENT: Final = 100
MAX_LISTED_ENDS: Final = 500
DEFAULT_WORK_MS: Final = 500
# How long a worker takes to stop a run.
STOP_DURATION_S: Final = 0.1
# A room that has shrunk counts after this time: the span in which a machine has
# to be in touch, and one heartbeat.
SHRINK_GRACE_MS: Final = 4500
# A deadly task crashes its worker this long after its start.
CRASH_DELAY_S: Final = 0.01


@dataclass
class ActiveRun:
    """A run in progress, with the request that started it."""

    observed: ObservedRun
    request: dict[str, Any]
    total_ms: int
    demand: tuple[int, int, int] = (0, 0, 0)
    timer: asyncio.TimerHandle | None = None
    fails: bool = False
    awaits_gang: bool = False
    stopping: bool = False


class Shape:
    """Pool, capacity and rack of a worker."""

    def __init__(
        self,
        pool: str,
        cores_milli: int = 16000,
        memory_mb: int = 65536,
        accelerators: int = 0,
        rack: str = 'r1-1',
    ) -> None:
        """Set the capacity and the rack label."""
        self.pool = pool
        self.cores_milli = cores_milli
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.rack = rack


@final
class WorkerStandIn:
    """Simulate the tasks of a worker in virtual time.

    `hangs` stops the progress of runs, `fails` ends them as failed,
    `slowdown` multiplies their run time and `clock_rate` the speed of the
    worker's clock, which is `clock_offset_ms` ahead. `born_ms` is the Unix time
    of its start, and `stop_duration_s` the time that it takes to stop a run.
    """

    def __init__(
        self,
        worker_id: str,
        shape: Shape,
        audit: Audit,
        now_ms: Callable[[], int],
        max_lease_ms: int,
    ) -> None:
        """Start without runs and with fence number 0."""
        self.worker_id = worker_id
        self.shape = shape
        self.pool = shape.pool
        self.audit = audit
        self.now_ms = now_ms
        self.max_lease_ms = max_lease_ms
        self.born_ms = now_ms()
        self.runs: dict[tuple[str, int], ActiveRun] = {}
        self.used = [0, 0, 0]
        self.ended: list[tuple[int, ObservedRun, str]] = []
        self.void_runs: dict[str, int] = {}
        self.fence = 0
        self.last_end_number = 0
        self.last_listed_end = 0
        self.seen = 0
        self.lease_until_ms = 0
        self.lease_timer: asyncio.TimerHandle | None = None
        self.ended_event = asyncio.Event()
        self.hangs = False
        self.fails = False
        self.slowdown = 1
        self.clock_rate = float(1)
        self.clock_offset_ms = 0
        self.is_up = True
        self.draining = False
        self.stop_duration_s = STOP_DURATION_S
        self.earlier_shape = shape
        self.resized_ms = 0
        self.starts = 0

    def resize(self, shape: Shape) -> None:
        """Change the capacity, which the next heartbeat reports."""
        self.earlier_shape = self.shape
        self.shape = shape
        self.resized_ms = self.now_ms()

    def clock_ms(self) -> int:
        """Return the time of the worker's own clock in ms."""
        reading_ms = int(self.now_ms() % 10_000_000 * self.clock_rate) + 1
        return reading_ms + self.clock_offset_ms

    async def handle(self, request: Request) -> Reply:
        """Handle one call; the last segment of its path selects the method."""
        if not self.is_up:
            await asyncio.sleep(60)
        if (
            request.headers.get(INSTANCE_HEADER, self.worker_id)
            != self.worker_id
        ):
            return Reply(MISDIRECTED)
        body = json.loads(request.body)
        if body.get('fencingToken', 0) < self.fence:
            return self._answer(CONFLICT, {'reason': 'fence'})
        self.fence = body['fencingToken']
        name = request.path.rsplit('/', 1)[1].replace('-', '_')
        method = getattr(self, f'_{name}')
        answer: Reply = await method(body)
        return answer if self.is_up else Reply(NO_ANSWER)

    async def _run_start(self, body: dict[str, Any]) -> Reply:
        self._extend_lease(body['deadlineMs'])
        key = (body['task'], body['run'])
        if key in self.runs:
            return self._answer(OK, {})
        if self.void_runs.get(body['task'], 0) >= body['run']:
            return self._answer(CONFLICT, {'reason': 'old'})
        if body['deadlineMs'] <= self.clock_ms():
            return self._answer(CONFLICT, {'reason': 'late'})
        self.starts += 1
        observed = self.audit.check_start(self, body, self.now_ms())
        step = self._find_step(body['task'])
        run = ActiveRun(
            observed, body, self._work_ms(body['task']), _demand(step)
        )
        self.runs[key] = run
        self._use(run.demand, 1)
        self._check_capacity()
        run.awaits_gang = bool(step.get('gang'))
        if self.audit.is_deadly(body['task']):
            asyncio.get_running_loop().call_later(
                CRASH_DELAY_S, self.on_deadly_run, self
            )
        if not run.awaits_gang:
            self._start_work(run)
        else:
            self.on_gang_run_started(self, run, step)
        return self._answer(OK, {})

    # Set by the cell, which lets a gang work once all its members have started.
    on_gang_run_started: Callable[
        ['WorkerStandIn', ActiveRun, dict[str, Any]], None
    ] = staticmethod(lambda worker, run, step: None)

    # Set by the cell, which crashes the worker and starts another one.
    on_deadly_run: Callable[['WorkerStandIn'], None] = staticmethod(
        lambda worker: None
    )

    async def _run_stop(self, body: dict[str, Any]) -> Reply:
        task = body['task']
        self.void_runs[task] = max(self.void_runs.get(task, 0), body['run'])
        for (name, number), run in list(self.runs.items()):
            if name == task and number <= body['run'] and not run.stopping:
                run.stopping = True
                asyncio.get_running_loop().call_later(
                    self.stop_duration_s,
                    self.end_run,
                    run,
                    'stopped',
                )
        return self._answer(OK, {})

    async def _hold(self, body: dict[str, Any]) -> Reply:
        if body.get('deadlineMs'):
            self._extend_lease(body['deadlineMs'])
        self._drop_acknowledged(body['lastSeen'])
        wait_ms = body.get('waitMs', 0)
        if wait_ms and not self.ended:
            self.ended_event.clear()
            try:
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await self.ended_event.wait()
            except TimeoutError:
                # No run has ended in time: return the run table anyway.
                self.ended_event.clear()
        running = [
            [name, number, '', self._percent(run), 0]
            for (name, number), run in self.runs.items()
        ]
        if self.ended:
            self.last_listed_end = self.ended[:MAX_LISTED_ENDS][-1][0]
        ended = [
            [number, observed.name, observed.number, observed.outcome, saved]
            for number, observed, saved in self.ended[:MAX_LISTED_ENDS]
        ]
        return self._answer(
            OK, {'born': self.born_ms, 'running': running, 'ended': ended}
        )

    async def _pace(self, body: dict[str, Any]) -> Reply:
        return self._answer(OK, {})

    def _answer(self, status: int, fields: dict[str, Any]) -> Reply:
        full = {'clockMs': self.clock_ms(), **fields}
        return Reply(status, json.dumps(full).encode())

    def _percent(self, run: ActiveRun) -> int:
        if run.awaits_gang or self.hangs:
            return 0
        elapsed_ms = self.now_ms() - run.observed.started_ms
        return min(
            int(FULL_PERCENT * elapsed_ms / max(run.total_ms, 1)), FULL_PERCENT
        )

    def _start_work(self, run: ActiveRun) -> None:
        run.awaits_gang = False
        if self.hangs:
            return
        if self._find_step(run.observed.name).get('longRunning'):
            return
        fails = self.fails or self.audit.is_failing(run.observed.name)
        outcome = 'failed' if fails else 'done'
        run.timer = asyncio.get_running_loop().call_later(
            run.total_ms / MS_PER_SECOND,
            self.end_run,
            run,
            outcome,
        )

    def start_work(self, run: ActiveRun) -> None:
        """Start the work of a run whose gang is complete."""
        if (run.observed.name, run.observed.number) in self.runs:
            self._start_work(run)

    def end_run(self, run: ActiveRun, outcome: str) -> None:
        """End a run and list its end for the next poll."""
        key = (run.observed.name, run.observed.number)
        if self.runs.get(key) is not run:
            return
        self.runs.pop(key)
        self._use(run.demand, -1)
        if run.timer is not None:
            run.timer.cancel()
        run.observed.ended_ms = self.now_ms()
        run.observed.outcome = outcome
        task, number = key
        self.void_runs[task] = max(self.void_runs.get(task, 0), number)
        self.last_end_number += 1
        self.ended.append((self.last_end_number, run.observed, ''))
        self.ended_event.set()
        if outcome == 'alone':
            self.audit.alone += 1
        self.on_run_ended(self, run, outcome)

    on_run_ended: Callable[['WorkerStandIn', ActiveRun, str], None] = (
        staticmethod(
            lambda worker, run, outcome: None,
        )
    )

    def _drop_acknowledged(self, last_seen: int) -> None:
        while self.ended and self.ended[0][0] <= last_seen:
            number, observed, _ = self.ended.pop(0)
            if number > self.last_listed_end:
                self.audit.report_violation(
                    'MIXED', f'{observed.name} was acknowledged but not listed'
                )
            self.audit.acknowledge_end(observed)

    def _extend_lease(self, deadline_ms: int) -> None:
        max_until_ms = self.clock_ms() + self.max_lease_ms
        until_ms = min(deadline_ms, max_until_ms)
        if until_ms <= self.lease_until_ms:
            return
        self.lease_until_ms = until_ms
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        remaining_ms = until_ms - self.clock_ms()
        self.lease_timer = asyncio.get_running_loop().call_later(
            remaining_ms / self.clock_rate / MS_PER_SECOND,
            self._expire_lease,
        )

    def _expire_lease(self) -> None:
        for _, observed, _ in self.ended:
            observed.expired = True
        for run in list(self.runs.values()):
            self.end_run(run, 'lapsed')

    def crash(self) -> None:
        """Crash: all runs are lost without a report."""
        self.is_up = False
        for run in self.runs.values():
            run.observed.ended_ms = self.now_ms()
            run.observed.outcome = 'crashed'
            if run.timer is not None:
                run.timer.cancel()
        self.runs = {}
        self.used = [0, 0, 0]
        self.ended_event.set()
        if self.lease_timer is not None:
            self.lease_timer.cancel()

    def _find_step(self, name: str) -> dict[str, Any]:
        job_id, _, step_text, _ = name.rsplit('.', 3)
        job = self.audit.jobs.get(job_id)
        step: dict[str, Any] = {}
        if job is not None:
            step = job.body['steps'][int(step_text)]
        return step

    def _work_ms(self, name: str) -> int:
        job = self.audit.jobs.get(name.partition('.')[0])
        work_ms = job.work_ms if job else DEFAULT_WORK_MS
        return work_ms * self.slowdown

    def _check_capacity(self) -> None:
        shapes = [self.shape]
        if self.now_ms() < self.resized_ms + SHRINK_GRACE_MS:
            shapes.append(self.earlier_shape)
        capacity = (
            max(shape.cores_milli for shape in shapes),
            max(shape.memory_mb for shape in shapes),
            max(shape.accelerators for shape in shapes),
        )
        if any(
            amount > limit
            for amount, limit in zip(self.used, capacity, strict=True)
        ):
            self.audit.report_violation(
                'LIMIT', f'{self.worker_id}: {self.used} used of {capacity}'
            )

    def _use(self, demand: tuple[int, int, int], sign: int) -> None:
        for index, amount in enumerate(demand):
            self.used[index] += sign * amount


def _demand(step: dict[str, Any]) -> tuple[int, int, int]:
    cores_milli = 0 if step.get('fills') else step.get('cpu', 0)
    return cores_milli, step.get('memMb', 0), step.get('gpus', 0)
