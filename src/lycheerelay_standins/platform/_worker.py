"""Stand in for one worker of the platform."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, final

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.serving import Reply

from ._audit import Audit, RunTruth
from ._net import Request

OK: Final = 200
CONFLICT: Final = 409
OTHER_INSTANCE: Final = 421
EXPECTED: Final = 'X-Expected-Instance'
FULL: Final = 100
PAGE: Final = 500
UNKNOWN_WORK_MS: Final = 500


@dataclass
class Live:
    """Hold one run in progress."""

    truth: RunTruth
    order: dict[str, Any]
    total_ms: int
    timer: asyncio.TimerHandle | None = None
    fails: bool = False
    waiting: bool = False
    stopping: bool = False


class Shape:
    """Describe a worker's kind."""

    def __init__(
        self,
        pool: str,
        cores_milli: int = 16000,
        memory_mb: int = 65536,
        accelerators: int = 0,
        rack: str = 'r1-1',
    ) -> None:
        """Bundle the capacity and labels."""
        self.pool = pool
        self.cores_milli = cores_milli
        self.memory_mb = memory_mb
        self.accelerators = accelerators
        self.rack = rack


@final
class WorkerStandIn:
    """Run tasks in virtual time, as the platform's workers do.

    `hangs` lets runs stand still, `fails` ends them as failed, `speed` makes
    them take so many times as long, `clock_rate` lets its clock run fast or
    slow.
    """

    def __init__(
        self,
        worker_id: str,
        shape: Shape,
        audit: Audit,
        now_ms: Callable[[], int],
        longest_hold_ms: int,
    ) -> None:
        """Start with nothing running and no fence number seen."""
        self.worker_id = worker_id
        self.shape = shape
        self.pool = shape.pool
        self.audit = audit
        self.now_ms = now_ms
        self.longest_hold_ms = longest_hold_ms
        self.runs: dict[tuple[str, int], Live] = {}
        self.ended: list[tuple[int, RunTruth, str]] = []
        self.voided: dict[str, int] = {}
        self.fence = 0
        self.number = 0
        self.seen = 0
        self.hold_until_ms = 0
        self.lease_timer: asyncio.TimerHandle | None = None
        self.ended_event = asyncio.Event()
        self.hangs = False
        self.fails = False
        self.speed = 1
        self.clock_rate = float(1)
        self.is_up = True
        self.starts = 0

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int(self.now_ms() % 10_000_000 * self.clock_rate) + 1

    async def handle(self, request: Request) -> Reply:
        """Answer one call."""
        if not self.is_up:
            await asyncio.sleep(60)
        if request.headers.get(EXPECTED, self.worker_id) != self.worker_id:
            return Reply(OTHER_INSTANCE)
        body = json.loads(request.body)
        if body.get('fencingToken', 0) < self.fence:
            return self._answer(CONFLICT, {'reason': 'fence'})
        self.fence = body['fencingToken']
        name = request.path.rsplit('/', 1)[1].replace('-', '_')
        method = getattr(self, f'_{name}')
        answer: Reply = await method(body)
        return answer

    async def _run_start(self, body: dict[str, Any]) -> Reply:
        self._prolong(body['deadlineMs'])
        key = (body['task'], body['run'])
        if key in self.runs:
            return self._answer(OK, {})
        if self.voided.get(body['task'], 0) >= body['run']:
            return self._answer(CONFLICT, {'reason': 'old'})
        if body['deadlineMs'] <= self.clock_ms():
            return self._answer(CONFLICT, {'reason': 'late'})
        self.starts += 1
        truth = self.audit.started(self, body, self.now_ms())
        step = self._step_of(body['task'])
        live = Live(truth, body, self._work_ms(body['task']))
        self.runs[key] = live
        self._check_room()
        live.waiting = bool(step.get('gang'))
        if not live.waiting:
            self._begin(live)
        else:
            self.gang_started(self, live, step)
        return self._answer(OK, {})

    # Set by the cell: members of a gang work once all are there.
    gang_started: Callable[['WorkerStandIn', Live, dict[str, Any]], None] = (
        staticmethod(lambda worker, live, step: None)
    )

    async def _run_stop(self, body: dict[str, Any]) -> Reply:
        task = body['task']
        self.voided[task] = max(self.voided.get(task, 0), body['run'])
        for (name, number), live in list(self.runs.items()):
            if name == task and number <= body['run'] and not live.stopping:
                live.stopping = True
                asyncio.get_running_loop().call_later(
                    0.1,
                    self.end,
                    live,
                    'stopped',
                )
        return self._answer(OK, {})

    async def _hold(self, body: dict[str, Any]) -> Reply:
        if body.get('deadlineMs'):
            self._prolong(body['deadlineMs'])
        self._forget(body['lastSeen'])
        wait_ms = body.get('waitMs', 0)
        if wait_ms and not self.ended:
            self.ended_event.clear()
            try:
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await self.ended_event.wait()
            except TimeoutError:
                # No run has ended; the table is given all the same.
                self.ended_event.clear()
        running = [
            [name, number, '', self._percent(live), 0]
            for (name, number), live in self.runs.items()
        ]
        ended = [
            [number, truth.name, truth.number, truth.how, saved]
            for number, truth, saved in self.ended[:PAGE]
        ]
        return self._answer(OK, {'running': running, 'ended': ended})

    async def _pace(self, body: dict[str, Any]) -> Reply:
        return self._answer(OK, {})

    def _answer(self, status: int, fields: dict[str, Any]) -> Reply:
        full = {'clockMs': self.clock_ms(), **fields}
        return Reply(status, json.dumps(full).encode())

    def _percent(self, live: Live) -> int:
        if live.waiting or self.hangs:
            return 0
        passed_ms = self.now_ms() - live.truth.begun_ms
        return min(int(FULL * passed_ms / max(live.total_ms, 1)), FULL)

    def _begin(self, live: Live) -> None:
        live.waiting = False
        if self.hangs:
            return
        if self._step_of(live.truth.name).get('longRunning'):
            return
        how = 'failed' if self.fails else 'done'
        live.timer = asyncio.get_running_loop().call_later(
            live.total_ms / MS_PER_SECOND,
            self.end,
            live,
            how,
        )

    def begin(self, live: Live) -> None:
        """Let a member of a complete gang work."""
        if (live.truth.name, live.truth.number) in self.runs:
            self._begin(live)

    def end(self, live: Live, how: str) -> None:
        """End a run and list it."""
        key = (live.truth.name, live.truth.number)
        if self.runs.get(key) is not live:
            return
        self.runs.pop(key)
        if live.timer is not None:
            live.timer.cancel()
        live.truth.over_ms = self.now_ms()
        live.truth.how = how
        task, number = key
        self.voided[task] = max(self.voided.get(task, 0), number)
        self.number += 1
        self.ended.append((self.number, live.truth, ''))
        self.ended_event.set()
        if how == 'alone':
            self.audit.alone += 1
        self.gang_ended(self, live, how)

    gang_ended: Callable[['WorkerStandIn', Live, str], None] = staticmethod(
        lambda worker, live, how: None,
    )

    def _forget(self, last_seen: int) -> None:
        while self.ended and self.ended[0][0] <= last_seen:
            self.audit.noted(self.ended.pop(0)[1])

    def _prolong(self, deadline_ms: int) -> None:
        most_ms = self.clock_ms() + self.longest_hold_ms
        until_ms = min(deadline_ms, most_ms)
        if until_ms <= self.hold_until_ms:
            return
        self.hold_until_ms = until_ms
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left_ms = until_ms - self.clock_ms()
        self.lease_timer = asyncio.get_running_loop().call_later(
            left_ms / self.clock_rate / MS_PER_SECOND,
            self._lapse,
        )

    def _lapse(self) -> None:
        for _, truth, _ in self.ended:
            truth.lapsed = True
        for live in list(self.runs.values()):
            self.end(live, 'lapsed')

    def die(self) -> None:
        """Crash: everything here is over, and nobody is told."""
        self.is_up = False
        for live in self.runs.values():
            live.truth.over_ms = self.now_ms()
            live.truth.how = 'crashed'
            if live.timer is not None:
                live.timer.cancel()
        self.runs = {}
        if self.lease_timer is not None:
            self.lease_timer.cancel()

    def _step_of(self, name: str) -> dict[str, Any]:
        job_id, _, step_text, _ = name.rsplit('.', 3)
        job = self.audit.jobs.get(job_id)
        step: dict[str, Any] = {}
        if job is not None:
            step = job.body['steps'][int(step_text)]
        return step

    def _work_ms(self, name: str) -> int:
        job = self.audit.jobs.get(name.partition('.')[0])
        work_ms = job.work_ms if job else UNKNOWN_WORK_MS
        return work_ms * self.speed

    def _check_room(self) -> None:
        used = [0, 0, 0]
        for live in self.runs.values():
            step = self._step_of(live.truth.name)
            used[0] += 0 if step.get('fills') else step.get('cpu', 0)
            used[1] += step.get('memMb', 0)
            used[2] += step.get('gpus', 0)
        room = (
            self.shape.cores_milli,
            self.shape.memory_mb,
            self.shape.accelerators,
        )
        if any(need > most for need, most in zip(used, room, strict=True)):
            self.audit.complain('LIMIT', f'{self.worker_id}: {used} of {room}')
