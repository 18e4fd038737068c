"""Run the workflow core with a simulated cluster in virtual time."""

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
    WorkerKey,
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

# One-way network latency to a worker.
LATENCY_MS: Final = 3
# Time until a stop order takes effect.
STOP_DELAY_MS: Final = 50
# Interval of the periodic checks, as in an entry VM.
TICK_MS: Final = 100
# Interval between polls of a worker, as in an entry VM.
POLL_INTERVAL_MS: Final = 1000
# The advisor serves one call of an entry VM at a time, so there is one queue of
# calls for each VM. The first queues take only short calls, which would
# otherwise wait behind long ones.
ADVICE_QUEUES: Final = 6
SHORT_CALL_QUEUES: Final = 2
SHORT_CALL_MS: Final = 60
PERCENT: Final = 100

Action = Callable[..., None]


class RunPlan(NamedTuple):
    """Duration and outcome of one run; times in ms from its start.

    With `hangs_from_ms` set, the run makes no progress from then on and does
    not end by itself.
    """

    total_ms: int
    outcome: RunOutcome = RunOutcome.DONE
    hangs_from_ms: int = NEVER


class RunModel(Protocol):
    """Decide how runs proceed and which workers the advisor allows."""

    def plan(self, run: RunKey, worker_id: str, saved_ms: int) -> RunPlan:
        """Return the plan of a run that resumes after `saved_ms` of work."""

    def may_run(self, step: StepKey, worker_id: str) -> bool:
        """Return whether the advisor allows a worker for a step."""


@dataclass(slots=True)
class SimulatedRun:
    """Track one run on a worker."""

    key: RunKey
    begun_ms: int
    plan: RunPlan
    saved_ms: int

    def percent(self, now_ms: int) -> int:
        """Return the completed share of the work, in percent."""
        done_ms = now_ms - self.begun_ms
        if self.plan.hangs_from_ms != NEVER:
            done_ms = min(done_ms, self.plan.hangs_from_ms)
        return min(PERCENT * done_ms // self.plan.total_ms, PERCENT)


@dataclass(slots=True)
class SimulatedWorker:
    """Track the runs of one worker and the ends not yet polled."""

    runs: dict[RunKey, SimulatedRun] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0


class Event(NamedTuple):
    """Action due at a virtual time; `number` orders events of equal time."""

    time_ms: int
    number: int
    action: Action
    arguments: tuple[Any, ...]


class RunRecord(NamedTuple):
    """Record of one run that has ended; times in ms."""

    run: RunKey
    worker_id: str
    begun_ms: int
    ended_ms: int
    outcome: RunOutcome


@final
class Simulation:
    """Simulate a cell; times are virtual, in ms."""

    def __init__(
        self,
        cell: CellState,
        model: RunModel,
        tick_ms: int = TICK_MS,
        advice_queues: int = ADVICE_QUEUES,
    ) -> None:
        """Start at time 0 without workers or jobs."""
        self.cell = cell
        self.model = model
        self.tick_ms = tick_ms
        self.now_ms = 0
        self.sequence = 0
        self.events: list[Event] = []
        self.workers: dict[str, SimulatedWorker] = {}
        self.advice_free_ms = [float(0) for _ in range(advice_queues)]
        self.history: list[RunRecord] = []
        self.first_start_ms: dict[str, int] = {}
        self.on_tick: Callable[[], None] = _do_nothing
        self.decide: Callable[[CellState, int], int] = dispatch
        cell.loaded = True
        cell.gangs_checked = True

    def at(self, time_ms: float, action: Action, *arguments: Any) -> None:
        """Schedule an action."""
        self.sequence += 1
        event = Event(int(time_ms), self.sequence, action, arguments)
        heapq.heappush(self.events, event)

    def add_worker(self, listing: WorkerListing) -> None:
        """Add a worker that is ready for runs."""
        list_worker(self.cell, listing, self.now_ms)
        worker = self.cell.workers[listing.worker]
        worker.enrolled = True
        worker.synced = True
        self.workers[listing.worker.worker_id] = SimulatedWorker()

    def submit(self, spec: WorkflowSpec) -> None:
        """Submit a job."""
        self.sequence += 1
        submit(self.cell, spec, self.sequence)
        self._dispatch()

    def cancel(self, job_id: str) -> None:
        """Cancel a job."""
        cancel(self.cell, job_id, self.now_ms)
        self._dispatch()

    def run(self, until_ms: int, is_over: Callable[[], bool]) -> None:
        """Run until `until_ms`, or until `is_over` returns true at a tick."""
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
        self._dispatch()
        self.on_tick()
        if self.now_ms < until_ms and not is_over():
            later_ms = self.now_ms + self.tick_ms
            self.at(later_ms, self._tick, until_ms, is_over)

    def _dispatch(self) -> None:
        self.decide(self.cell, self.now_ms)
        if self.cell.dispatch_unfinished:
            self.at(self.now_ms, self._dispatch)
        commands = self.cell.outbox
        self.cell.outbox = []
        for command in commands:
            if isinstance(command, StartRun):
                self._start_run(command)
            elif isinstance(command, StopRun):
                self.at(self.now_ms + STOP_DELAY_MS, self._stop_run, command)
            elif isinstance(command, AskAdvice):
                self._ask_advice(command)

    def _start_run(self, command: StartRun) -> None:
        job_id = command.run.task.job_id
        self.first_start_ms.setdefault(job_id, self.now_ms)
        saved_ms = int(command.checkpoint or 0)
        plan = self.model.plan(command.run, command.worker.worker_id, saved_ms)
        run = SimulatedRun(command.run, self.now_ms, plan, saved_ms)
        self.workers[command.worker.worker_id].runs[command.run] = run
        handle_start_answer(
            self.cell,
            command.worker,
            command.run,
            Answer.DONE,
            self.now_ms,
        )
        if plan.hangs_from_ms == NEVER:
            self.at(
                self.now_ms + plan.total_ms,
                self._end_run,
                command.worker.worker_id,
                command.run,
                plan.outcome,
            )

    def _stop_run(self, command: StopRun) -> None:
        handle_stop_answer(
            self.cell,
            command.worker,
            command.run,
            Answer.DONE,
            self.now_ms,
        )
        self._end_run(command.worker.worker_id, command.run, RunOutcome.STOPPED)

    def _end_run(
        self, worker_id: str, key: RunKey, outcome: RunOutcome
    ) -> None:
        worker = self.workers[worker_id]
        run = worker.runs.pop(key, None)
        if run is None:
            return
        self.history.append(
            RunRecord(key, worker_id, run.begun_ms, self.now_ms, outcome),
        )
        saved = ''
        if outcome is RunOutcome.STOPPED:
            saved = str(run.saved_ms + self.now_ms - run.begun_ms)
        worker.end_count += 1
        worker.ends.append(RunEnd(worker.end_count, key, outcome, saved))
        self.at(self.now_ms + LATENCY_MS, self._receive_end, worker_id)

    def _receive_end(self, worker_id: str) -> None:
        self._poll(worker_id)
        self._dispatch()

    def _poll(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        rows = tuple(
            RunTableRow(run.key, '', run.percent(self.now_ms), 0)
            for run in worker.runs.values()
        )
        ends = tuple(worker.ends)
        worker.ends = []
        poll_sent_ms = self.now_ms
        table = RunTable(
            WorkerKey(worker_id), poll_sent_ms, poll_sent_ms + 1, rows, ends
        )
        apply_run_table(self.cell, table, poll_sent_ms)

    def _ask_advice(self, command: AskAdvice) -> None:
        is_short = command.expected_ms <= SHORT_CALL_MS
        queues = (
            range(len(self.advice_free_ms))
            if is_short
            else range(SHORT_CALL_QUEUES, len(self.advice_free_ms))
        )
        queue = min(queues, key=lambda number: self.advice_free_ms[number])
        done_ms = (
            max(self.advice_free_ms[queue], self.now_ms) + command.expected_ms
        )
        self.advice_free_ms[queue] = done_ms
        self.at(done_ms, self._receive_advice, command)

    def _receive_advice(self, command: AskAdvice) -> None:
        job = self.cell.jobs[command.step.job_id]
        policy = job.spec.advice
        if policy is None:
            return
        tickets = tuple(
            (key, 'ticket')
            for key in command.workers
            if self.model.may_run(command.step, key.worker_id)
        )
        advice = Advice(
            command.step,
            command.workers,
            tickets,
            policy.valid_ms,
            self.now_ms,
        )
        apply_advice(self.cell, advice)
        self._dispatch()


def _do_nothing() -> None:
    """Serve as the default tick callback."""
