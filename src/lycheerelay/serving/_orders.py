"""Execute the commands of the workflow core."""

import asyncio
import collections
import logging
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from typing import Any, Final, final

from result import Ok

from .._registry import Registry
from ..workflow import (
    Advice,
    Answer,
    AskAdvice,
    LogEvent,
    PaceRun,
    PollNow,
    RunState,
    StartRun,
    StopRun,
    WorkerKey,
    advice_failed,
    apply_advice,
    handle_start_answer,
    handle_stop_answer,
)
from ._advice_dispatcher import AdviceDispatcher
from ._cell_log import write_log_event
from ._context import OwnerContext
from ._order_turns import STARTS_PER_WORKER, STOPS_PER_WORKER, OrderTurns
from ._ports import PaceOrder, StartOrder, StopOrder
from ._worker_poller import WorkerPoller

logger = logging.getLogger('lycheerelay.orders')

EXECUTORS: Final[Registry[type, Any]] = Registry('command')


@final
class Orders:
    """Send the core's decisions to workers, each order in its own task."""

    def __init__(
        self, context: OwnerContext, dispatcher: AdviceDispatcher
    ) -> None:
        """Start without orders in flight."""
        self.context = context
        self.dispatcher = dispatcher
        self.pollers: dict[WorkerKey, WorkerPoller] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.unrecorded_starts: dict[str, list[StartRun]] = {}
        self.recording_starts: list[StartRun] = []
        self.start_turns: OrderTurns[StartRun] = OrderTurns(
            partial(_spawn_start, self), STARTS_PER_WORKER
        )
        self.stop_turns: OrderTurns[StopRun] = OrderTurns(
            partial(_spawn_stop, self), STOPS_PER_WORKER
        )
        # Stops that wait or are in flight. They are decided again meanwhile.
        self.pending_stops: set[StopRun] = set()

    def execute_commands(self) -> None:
        """Execute and clear the commands in the core's outbox."""
        commands = self.context.cell.outbox
        self.context.cell.outbox = []
        for command in commands:
            EXECUTORS[type(command)](self, command)

    def begin_recording(self, job_ids: Iterable[str]) -> None:
        """Note the held starts of jobs whose progress was just encoded.

        Starts that are decided later are not in that record.
        """
        for job_id in job_ids:
            starts = self.unrecorded_starts.pop(job_id, ())
            self.recording_starts.extend(starts)

    def send_recorded_starts(self) -> None:
        """Send the starts whose record has become durable."""
        commands = self.recording_starts
        self.recording_starts = []
        counts = collections.Counter(
            command.run.task.job_id for command in commands
        )
        for job_id, count in counts.items():
            logger.info('starts_recorded', extra={'job': job_id, 'runs': count})
        self.start_turns.add(commands)

    def spawn(
        self,
        work: Coroutine[Any, Any, None],
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        """Run one order in a task; `on_crash` is called if it raises."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(partial(self._on_task_done, on_crash))

    def wake_pollers(self, worker_id: str) -> None:
        """Poll a worker that has registered, however long it was silent."""
        for key in self.context.cell.instances.get(worker_id, ()):
            if key in self.pollers:
                self.pollers[key].registered.set()

    def cancel(self) -> None:
        """Cancel every order in flight."""
        self.start_turns.stop()
        self.stop_turns.stop()
        for task in self.tasks:
            task.cancel()

    def _on_task_done(
        self, on_crash: Callable[[], None] | None, task: asyncio.Task[None]
    ) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logger.error('order_crashed', exc_info=task.exception())
        if on_crash is not None:
            on_crash()
            self.context.notify_changed()


@EXECUTORS.register(LogEvent)
def execute_log_event(orders: Orders, command: LogEvent) -> None:
    """Write a log line and count the event."""
    metrics = orders.context.metrics
    metrics.count('events', event=command.event)
    if command.event == 'job_started':
        fields: dict[str, Any] = dict(command.fields)
        metrics.observe_job('tenant_wait', fields['tenant'], fields['wait_ms'])
    write_log_event(command)


@EXECUTORS.register(StartRun)
def execute_start(orders: Orders, command: StartRun) -> None:
    """Hold a start until the assignment is recorded durably."""
    job_id = command.run.task.job_id
    orders.unrecorded_starts.setdefault(job_id, []).append(command)
    orders.context.changed.set()


@EXECUTORS.register(StopRun)
def execute_stop(orders: Orders, command: StopRun) -> None:
    """Send a stop order in its turn."""
    if command not in orders.pending_stops:
        orders.pending_stops.add(command)
        orders.stop_turns.add((command,))


@EXECUTORS.register(PaceRun)
def execute_pace(orders: Orders, command: PaceRun) -> None:
    """Send a pace order."""
    orders.spawn(_pace(orders, command))


@EXECUTORS.register(PollNow)
def execute_poll(orders: Orders, command: PollNow) -> None:
    """Poll a worker at once."""
    poller = orders.pollers.get(command.worker)
    if poller is not None:
        orders.spawn(poller.poll_once())


@EXECUTORS.register(AskAdvice)
def execute_advice_request(orders: Orders, command: AskAdvice) -> None:
    """Ask the placement advisor about a step."""
    orders.spawn(
        _ask_advice(orders, command), partial(_advice_crashed, orders, command)
    )


def _spawn_start(orders: Orders, command: StartRun) -> None:
    orders.spawn(
        _start(orders, command), partial(_start_crashed, orders, command)
    )


async def _start(orders: Orders, command: StartRun) -> None:
    try:
        await _send_start(orders, command)
    finally:
        orders.start_turns.finish(command.worker)


async def _send_start(orders: Orders, command: StartRun) -> None:
    context = orders.context
    poller = orders.pollers.get(command.worker)
    answer = Answer.UNSENT
    if not _is_start_pending(context, command):
        return
    sent_ms = context.now_ms
    is_due = context.may_send_orders and _is_start_allowed(context, command)
    if poller is not None and poller.clock.is_known and is_due:
        deadline_ms = poller.lease_deadline()
        _note_order_sent(context, command, poller.clock.local_time(deadline_ms))
        answer = await context.workers.start(
            StartOrder(
                command.worker,
                poller.address,
                context.fence,
                command.run,
                command.payload,
                command.checkpoint,
                command.ticket,
                deadline_ms,
            ),
        )
        context.metrics.observe('start', context.now_ms - sent_ms)
    context.metrics.count('starts', answer=answer.value)
    handle_start_answer(
        context.cell,
        command.worker,
        command.run,
        answer,
        context.now_ms,
    )
    if answer is not Answer.DONE:
        context.notify_changed()


def _start_crashed(orders: Orders, command: StartRun) -> None:
    # The order may have been sent, so it is treated as unanswered.
    handle_start_answer(
        orders.context.cell,
        command.worker,
        command.run,
        Answer.NONE,
        orders.context.now_ms,
    )


def _advice_crashed(orders: Orders, command: AskAdvice) -> None:
    context = orders.context
    advice_failed(context.cell, command.step, command.workers, context.now_ms)


def _is_start_pending(context: OwnerContext, command: StartRun) -> bool:
    run = context.cell.find_run(command.worker.worker_id, command.run)
    if run is None or run.step.job.is_final:
        return False
    return run.state is RunState.SENT


def _is_start_allowed(context: OwnerContext, command: StartRun) -> bool:
    """Return whether the ticket holds and the worker is as at the decision."""
    run = context.cell.find_run(command.worker.worker_id, command.run)
    if run is None or run.worker.is_over_capacity or run.worker.draining:
        return False
    ticket = run.step.tickets.get(command.worker)
    is_valid = ticket is not None and ticket.until_ms > context.now_ms
    return is_valid or not command.ticket


def _note_order_sent(
    context: OwnerContext, command: StartRun, expires_ms: int
) -> None:
    run = context.cell.find_run(command.worker.worker_id, command.run)
    if run is not None:
        run.order_sent = True
        run.sent_ms = context.now_ms
        run.percent_ms = context.now_ms
        run.start_expires_ms = expires_ms


def _find_poller(orders: Orders, key: WorkerKey) -> WorkerPoller | None:
    """Return the worker's poller; None while no order may be sent."""
    if (
        not orders.context.may_send_orders
        or key not in orders.context.cell.workers
    ):
        return None
    return orders.pollers.get(key)


def _spawn_stop(orders: Orders, command: StopRun) -> None:
    orders.spawn(_stop(orders, command))


async def _stop(orders: Orders, command: StopRun) -> None:
    try:
        await _send_stop(orders, command)
    finally:
        orders.pending_stops.discard(command)
        orders.stop_turns.finish(command.worker)


async def _send_stop(orders: Orders, command: StopRun) -> None:
    context = orders.context
    poller = _find_poller(orders, command.worker)
    if poller is None:
        return
    sent_ms = context.now_ms
    answer = await context.workers.stop(
        StopOrder(
            command.worker,
            poller.address,
            context.fence,
            command.run,
        ),
    )
    context.metrics.observe('stop', context.now_ms - sent_ms)
    context.metrics.count('stops', answer=answer.value)
    handle_stop_answer(
        context.cell,
        command.worker,
        command.run,
        answer,
        context.now_ms,
    )


async def _pace(orders: Orders, command: PaceRun) -> None:
    context = orders.context
    poller = _find_poller(orders, command.worker)
    if poller is None:
        return
    answer = await context.workers.pace(
        PaceOrder(
            command.worker,
            poller.address,
            context.fence,
            command.run,
            command.percent,
        ),
    )
    context.metrics.count('paces', answer=answer.value)
    run = context.cell.find_run(command.worker.worker_id, command.run)
    if answer is not Answer.DONE and run is not None:
        # -1 marks the pace as unknown; the next poll sets it again.
        run.pace = -1


async def _ask_advice(orders: Orders, command: AskAdvice) -> None:
    context = orders.context
    asked_ms = context.now_ms
    outcome = await orders.dispatcher.ask(command)
    now_ms = context.now_ms
    if isinstance(outcome, Ok):
        advised = outcome.ok_value
        keys = dict(zip(command.worker_ids, command.workers, strict=True))
        advice = Advice(
            command.step,
            command.workers,
            tuple(
                (keys[worker_id], text)
                for worker_id, text in advised.tickets
                if worker_id in keys
            ),
            advised.valid_ms,
            now_ms,
        )
        apply_advice(context.cell, advice)
        logger.info(
            'advice_received',
            extra={
                'job': command.step.job_id,
                'occurrence': command.step.occurrence,
                'step': command.step.step,
                'asked': len(command.workers),
                'allowed': len(advised.tickets),
                'urgent': command.is_urgent,
                'took_ms': now_ms - asked_ms,
            },
        )
    else:
        logger.info(
            'advice_failed',
            extra={
                'job': command.step.job_id,
                'step': command.step.step,
                'fault': outcome.err_value.value,
            },
        )
        advice_failed(context.cell, command.step, command.workers, now_ms)
    context.notify_changed()
