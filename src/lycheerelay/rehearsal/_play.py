"""Drive the core with workers and an advisor that exist in virtual time."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple, Protocol, final

from ..workflow import (
    NEVER,
    Advice,
    Answer,
    AskAdvice,
    CellState,
    RunEnd,
    RunKey,
    RunOutcome,
    RunTable,
    RunTableRow,
    StartRun,
    StepKey,
    StopRun,
    WorkerListing,
    WorkflowSpec,
    apply_advice,
    apply_run_table,
    cancel,
    dispatch,
    handle_start_answer,
    handle_stop_answer,
    list_worker,
    open_occurrences,
    run_periodic_checks,
    submit,
)

# One way to a worker, in ms.
WAY_MS: Final = 3
# A stop takes effect after so many ms.
STOP_MS: Final = 50
# Time alone is judged this often, in ms, as in the running system.
TICK_MS: Final = 100
# Every worker is looked at this often, in ms, as in the running system.
POLL_INTERVAL_MS: Final = 1000
# Calls for advice that the advisor makes at the same time; all but the first
# two lanes take short calls only.
LANES: Final = 6
LONG_LANES: Final = 2
SHORT_CALL_MS: Final = 60
PERCENT: Final = 100

Action = Callable[..., None]


class RunPlan(NamedTuple):
    """Tell how one run will go, in ms from its begin."""

    total_ms: int
    how: RunOutcome = RunOutcome.DONE
    stands_from_ms: int = NEVER


class Truth(Protocol):
    """Know what the scheduler has yet to find out."""

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        """Return how a run goes on a worker, with so much work saved."""

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        """Tell whether the advisor allows a worker for a step."""


@dataclass(slots=True)
class PlayedRun:
    """Hold one run on a worker."""

    key: RunKey
    begun_ms: int
    plan: RunPlan
    saved_ms: int

    def percent(self, now_ms: int) -> int:
        """Return the share of its work that is done."""
        done_ms = now_ms - self.begun_ms
        if self.plan.stands_from_ms != NEVER:
            done_ms = min(done_ms, self.plan.stands_from_ms)
        return min(PERCENT * done_ms // self.plan.total_ms, PERCENT)


@dataclass(slots=True)
class PlayedWorker:
    """Hold what runs on one worker and the ends that it lists."""

    runs: dict[RunKey, PlayedRun] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0


class Event(NamedTuple):
    """Plan an action; `number` keeps events of one time in their order."""

    time_ms: int
    number: int
    action: Action
    arguments: tuple[Any, ...]


class RunRecord(NamedTuple):
    """Tell one run that is over; times in ms."""

    run: RunKey
    worker_id: str
    begun_ms: int
    ended_ms: int
    how: RunOutcome


@final
class Play:
    """Play a cell; times are ms of virtual time."""

    def __init__(
        self,
        cell: CellState,
        truth: Truth,
        tick_ms: int = TICK_MS,
    ) -> None:
        """Start at zero, without workers and jobs."""
        self.cell = cell
        self.truth = truth
        self.tick_ms = tick_ms
        self.now_ms = 0
        self.planned = 0
        self.events: list[Event] = []
        self.workers: dict[str, PlayedWorker] = {}
        self.lanes = [float(0) for _ in range(LANES)]
        self.history: list[RunRecord] = []
        self.first_start: dict[str, int] = {}
        self.on_tick: Callable[[], None] = _nothing
        cell.loaded = True
        cell.gangs_checked = True

    def at(self, time_ms: float, action: Action, *arguments: Any) -> None:
        """Plan an action."""
        self.planned += 1
        event = Event(int(time_ms), self.planned, action, arguments)
        heapq.heappush(self.events, event)

    def add_worker(self, entry: WorkerListing) -> None:
        """Let a worker take part from now on."""
        list_worker(self.cell, entry, self.now_ms)
        worker = self.cell.workers[entry.worker_id]
        worker.enrolled = True
        worker.synced = True
        self.workers[entry.worker_id] = PlayedWorker()

    def submit(self, spec: WorkflowSpec) -> None:
        """Hand in a job."""
        self.planned += 1
        submit(self.cell, spec, self.planned)
        self._decide()

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        cancel(self.cell, job_id, self.now_ms)
        self._decide()

    def run(self, until_ms: int, is_over: Callable[[], bool]) -> None:
        """Play until a time, or until a tick finds that it is over."""
        self.at(self.now_ms, self._tick, until_ms, is_over)
        while self.events:
            event = heapq.heappop(self.events)
            self.now_ms = event.time_ms
            event.action(*event.arguments)

    def _tick(self, until_ms: int, is_over: Callable[[], bool]) -> None:
        if self.now_ms % POLL_INTERVAL_MS < self.tick_ms:
            for worker_id in self.workers:
                self._poll(worker_id)
        open_occurrences(self.cell, self.now_ms)
        run_periodic_checks(self.cell, self.now_ms)
        self._decide()
        self.on_tick()
        if self.now_ms < until_ms and not is_over():
            later_ms = self.now_ms + self.tick_ms
            self.at(later_ms, self._tick, until_ms, is_over)

    def _decide(self) -> None:
        dispatch(self.cell, self.now_ms)
        commands = self.cell.outbox
        self.cell.outbox = []
        for command in commands:
            if isinstance(command, StartRun):
                self._begin(command)
            elif isinstance(command, StopRun):
                self.at(self.now_ms + STOP_MS, self._stop, command)
            elif isinstance(command, AskAdvice):
                self._ask(command)

    def _begin(self, command: StartRun) -> None:
        job_id = command.run.task.job_id
        self.first_start.setdefault(job_id, self.now_ms)
        saved_ms = int(command.checkpoint or 0)
        plan = self.truth.plan(command.run, command.worker_id, saved_ms)
        run = PlayedRun(command.run, self.now_ms, plan, saved_ms)
        self.workers[command.worker_id].runs[command.run] = run
        handle_start_answer(
            self.cell,
            command.worker_id,
            command.run,
            Answer.DONE,
            self.now_ms,
        )
        if plan.stands_from_ms == NEVER:
            self.at(
                self.now_ms + plan.total_ms,
                self._end,
                command.worker_id,
                command.run,
                plan.how,
            )

    def _stop(self, command: StopRun) -> None:
        handle_stop_answer(
            self.cell,
            command.worker_id,
            command.run,
            Answer.DONE,
            self.now_ms,
        )
        self._end(command.worker_id, command.run, RunOutcome.STOPPED)

    def _end(self, worker_id: str, key: RunKey, how: RunOutcome) -> None:
        worker = self.workers[worker_id]
        run = worker.runs.pop(key, None)
        if run is None:
            return
        self.history.append(
            RunRecord(key, worker_id, run.begun_ms, self.now_ms, how),
        )
        saved = ''
        if how is RunOutcome.STOPPED:
            saved = str(run.saved_ms + self.now_ms - run.begun_ms)
        worker.end_count += 1
        worker.ends.append(RunEnd(worker.end_count, key, how, saved))
        self.at(self.now_ms + WAY_MS, self._hear, worker_id)

    def _hear(self, worker_id: str) -> None:
        self._poll(worker_id)
        self._decide()

    def _poll(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        rows = tuple(
            RunTableRow(run.key, '', run.percent(self.now_ms), 0)
            for run in worker.runs.values()
        )
        ends = tuple(worker.ends)
        worker.ends = []
        asked_ms = self.now_ms
        table = RunTable(worker_id, asked_ms, asked_ms + 1, rows, ends)
        apply_run_table(self.cell, table, asked_ms)

    def _ask(self, command: AskAdvice) -> None:
        is_short = command.expected_ms <= SHORT_CALL_MS
        lanes = range(LANES) if is_short else range(LONG_LANES, LANES)
        lane = min(lanes, key=lambda number: self.lanes[number])
        done_ms = max(self.lanes[lane], self.now_ms) + command.expected_ms
        self.lanes[lane] = done_ms
        self.at(done_ms, self._advised, command)

    def _advised(self, command: AskAdvice) -> None:
        job = self.cell.jobs[command.step.job_id]
        policy = job.spec.advice
        if policy is None:
            return
        tickets = tuple(
            (worker_id, 'ticket')
            for worker_id in command.workers
            if self.truth.may_run(command.step, worker_id)
        )
        advice = Advice(
            command.step,
            command.workers,
            tickets,
            policy.valid_ms,
            self.now_ms,
        )
        apply_advice(self.cell, advice)
        self._decide()


def _nothing() -> None:
    """Do nothing at a tick."""
