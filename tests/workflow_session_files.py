"""Replay golden sessions of the workflow core.

A file begins with a description and a blank line, followed by one event per
line: `TIME EVENT ARGUMENTS`. The resulting commands and log events follow each
event, indented. The state of every job follows the last event.

Events are `worker ID JSON`, `job JSON` (a job document under the queue `q`),
`policy JSON` (of that queue, before the jobs), `cancel JOB`, `dispatch`,
`check`, `open`, `gone WORKER`, `answer WORKER RUN ANSWER`,
`stopped WORKER RUN ANSWER`, `poll WORKER JSON` and `advice STEP JSON`. A run is
written `JOB.OCCURRENCE.STEP.MEMBER#NUMBER`.
"""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lycheerelay._codec import from_json
from lycheerelay._job_document import read_document, to_spec
from lycheerelay._resources import Resources
from lycheerelay.workflow import (
    Advice,
    Answer,
    CellState,
    Command,
    LogEvent,
    QueuePolicy,
    RunEnd,
    RunKey,
    RunOutcome,
    RunTable,
    RunTableRow,
    StepKey,
    TaskKey,
    WorkerKey,
    WorkerListing,
    apply_advice,
    apply_run_table,
    cancel,
    dispatch,
    handle_start_answer,
    handle_stop_answer,
    list_worker,
    open_occurrences,
    remove_replaced_worker,
    run_periodic_checks,
    submit,
)
from lycheerelay.workflow.workers import pace_worker

FOLDER = Path(__file__).parent / 'workflow_sessions'
INDENT = '  '
END = 'end'
ENROLLED_MS = 1_000_000


class Stage:
    """Hold a cell and the policy of its only queue."""

    def __init__(self) -> None:
        """Create the cell of an owner that has loaded all state."""
        self.cell = CellState(fence=1, previous_orders_expire_ms=0)
        self.cell.loaded = True
        self.policy = QueuePolicy('q', 'pool', 3, 2.0, 1000)
        self.jobs = 0

    def play(self, line: str) -> list[str]:
        """Apply one event and return the resulting commands as lines."""
        time_text, name, *rest = line.split(' ', 2)
        EVENTS[name](self, int(time_text), rest[0] if rest else '')
        commands = self.cell.outbox
        self.cell.outbox = []
        return [show(command) for command in commands]


def parse_worker(text: str) -> WorkerKey:
    """Return the instance of `id`, or of `id@started_ms`."""
    worker_id, _, started_ms = text.partition('@')
    return WorkerKey(worker_id, int(started_ms or 0))


def add_worker(stage: Stage, now_ms: int, text: str) -> None:
    """List a worker that has already answered its first poll."""
    name, _, raw = text.partition(' ')
    key = parse_worker(name)
    fields = json.loads(raw or '{}')
    capacity = Resources(
        fields.get('cores_milli', 4000),
        fields.get('memory_mb', 4000),
        fields.get('accelerators', 0),
    )
    rack = fields.get('rack', 'r1')
    entry = WorkerListing(
        key,
        f'{key.worker_id}:80',
        'pool',
        'a',
        rack,
        frozenset((rack, *fields.get('labels', ()))),
        capacity,
        fields.get('draining', False),
    )
    list_worker(stage.cell, entry, now_ms)
    worker = stage.cell.workers.get(key)
    if worker is None:
        return
    worker.enrolled = True
    worker.synced = True
    worker.lease_until_ms = max(worker.lease_until_ms, now_ms + 6000)


def set_policy(stage: Stage, now_ms: int, text: str) -> None:
    """Set the policy of the queue."""
    base = {'name': 'q', 'pool': 'pool', 'max_attempts': 3, 'stretch': 2.0}
    read = from_json(QueuePolicy, {**base, **json.loads(text)})
    stage.policy = read.unwrap()


def add_job(stage: Stage, now_ms: int, text: str) -> None:
    """Submit a job."""
    body = {'queue': 'q', **json.loads(text)}
    document = read_document(body).unwrap()
    stage.jobs += 1
    spec = to_spec(document, stage.policy, now_ms)
    submit(stage.cell, spec, stage.jobs)


def poll(stage: Stage, now_ms: int, text: str) -> None:
    """Apply the run table of a worker."""
    name, _, raw = text.partition(' ')
    key = parse_worker(name)
    fields = json.loads(raw)
    rows = [
        RunTableRow(parse_run(run), checkpoint, percent, load)
        for run, checkpoint, percent, load in fields.get('rows', ())
    ]
    ends = [
        RunEnd(number, parse_run(run), RunOutcome(how), checkpoint)
        for number, run, how, checkpoint in fields.get('ends', ())
    ]
    asked_ms = fields.get('asked_ms', now_ms)
    table = RunTable(
        key,
        asked_ms,
        now_ms,
        tuple(rows),
        tuple(ends),
        fields.get('all_ends', True),
    )
    apply_run_table(stage.cell, table, now_ms)
    worker = stage.cell.workers[key]
    worker.lease_until_ms = now_ms + 6000
    pace_worker(stage.cell, worker)


def advise(stage: Stage, now_ms: int, text: str) -> None:
    """Apply a reply of the advisor."""
    step, _, raw = text.partition(' ')
    job_id, occurrence, number = step.rsplit('.', 2)
    fields = json.loads(raw)
    asked = tuple(parse_worker(name) for name in fields['asked'])
    tickets = tuple(
        (parse_worker(name), f'ticket-{name}') for name in fields['good']
    )
    key = StepKey(job_id, int(occurrence), int(number))
    advice = Advice(key, asked, tickets, 2000, now_ms)
    apply_advice(stage.cell, advice)


def send_starts(stage: Stage, now_ms: int, text: str) -> None:
    """Note that start orders have been sent; their deadline is in 6 s."""
    for name in text.split(' '):
        for worker in stage.cell.workers.values():
            run = worker.runs.get(parse_run(name))
            if run is not None:
                run.order_sent = True
                run.start_expires_ms = now_ms + 6000


def answer_start(stage: Stage, now_ms: int, text: str) -> None:
    """Process an answer to a start order."""
    name, run, answer = text.split(' ')
    key = parse_run(run)
    worker = parse_worker(name)
    handle_start_answer(stage.cell, worker, key, Answer(answer), now_ms)


def answer_stop(stage: Stage, now_ms: int, text: str) -> None:
    """Process an answer to a stop order."""
    name, run, answer = text.split(' ')
    key = parse_run(run)
    worker = parse_worker(name)
    handle_stop_answer(stage.cell, worker, key, Answer(answer), now_ms)


EVENTS: dict[str, Callable[[Stage, int, str], Any]] = {
    'worker': add_worker,
    'policy': set_policy,
    'job': add_job,
    'cancel': lambda stage, now_ms, text: cancel(stage.cell, text, now_ms),
    'dispatch': lambda stage, now_ms, text: dispatch(stage.cell, now_ms),
    'check': lambda stage, now_ms, text: run_periodic_checks(
        stage.cell, now_ms
    ),
    'open': lambda stage, now_ms, text: open_occurrences(stage.cell, now_ms),
    'gone': lambda stage, now_ms, text: remove_replaced_worker(
        stage.cell, parse_worker(text), now_ms
    ),
    'sent': send_starts,
    'answer': answer_start,
    'stopped': answer_stop,
    'poll': poll,
    'advice': advise,
}


def parse_run(text: str) -> RunKey:
    """Parse a run key in the format of the session files."""
    task, _, number = text.partition('#')
    job_id, occurrence, step, member = task.rsplit('.', 3)
    key = TaskKey(job_id, int(occurrence), int(step), int(member))
    return RunKey(key, int(number))


def show(command: Command) -> str:
    """Format a command as one line."""
    if isinstance(command, LogEvent):
        fields = ' '.join(
            f'{name}={_text(content)}' for name, content in command.fields
        )
        return f'log {command.event} {fields}'
    fields = ' '.join(
        f'{name}={_text(content)}'
        for name, content in zip(command._fields, command, strict=True)
        if content != ''
    )
    return f'{type(command).__name__} {fields}'


def _text(content: object) -> str:
    if isinstance(content, RunKey):
        return f'{_text(content.task)}#{content.number}'
    if isinstance(content, WorkerKey):
        started_ms = f'@{content.started_ms}' if content.started_ms else ''
        return json.dumps(content.worker_id + started_ms)
    if isinstance(content, TaskKey | StepKey):
        return '.'.join(str(part) for part in content)
    if isinstance(content, tuple):
        return ','.join(_text(part) for part in content)
    if isinstance(content, RunOutcome):
        return content.value
    return json.dumps(content) if isinstance(content, str) else str(content)


def play(text: str) -> str:
    """Return the file with the current output of the core."""
    description, _, body = text.partition('\n\n')
    stage = Stage()
    lines = [description, '']
    for line in body.splitlines():
        if line == END:
            break
        if not line or line.startswith(INDENT):
            continue
        lines.append(line)
        if not line.startswith('#'):
            lines += [INDENT + output for output in stage.play(line)]
    lines += ['', END]
    for job in stage.cell.jobs.values():
        done = sum(
            step.done_count
            for steps in job.occurrences.values()
            for step in steps
        )
        lines.append(f'{INDENT}{job.spec.job_id} {job.phase}, {done} done')
    return '\n'.join(lines) + '\n'
