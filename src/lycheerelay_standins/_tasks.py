"""Simulate tasks: progress, checkpoints, throttling and usage."""

import json
from dataclasses import dataclass
from typing import Final

from lycheerelay._codec import Json
from lycheerelay._codes import Code
from lycheerelay._jobs import LIVE_TASK_STATES, TaskState
from lycheerelay._resources import Resources
from lycheerelay._web import Response

FULL_SPEED_PERCENT: Final = 100
DEFAULT_RUN_MS: Final = 100
HTTP_CONFLICT: Final = 409


@dataclass(slots=True)
class TaskEntry:
    """One simulated task; `seq` orders its last change on the worker."""

    task_id: str
    demand: Resources
    state: TaskState
    seq: int
    term: int = 0
    code: int = 0
    answer: str = ''
    work_ms: int = 0
    completed_ms: int = 0
    progress_at_ms: int = 0
    speed_percent: int = FULL_SPEED_PERCENT
    usage_due_ms: int = 0
    usage_reported: bool = False
    used_cores_milli: int = 0
    used_memory_mb: int = 0

    @property
    def task(self) -> str:
        """Return the id of the task without the attempt number."""
        return self.task_id.rpartition(':')[0]

    @property
    def is_live(self) -> bool:
        """Return whether the task has not ended."""
        return self.state in LIVE_TASK_STATES

    @property
    def end_ms(self) -> int:
        """Return when the task completes at its current speed."""
        remaining_ms = self.work_ms - self.completed_ms
        return (
            self.progress_at_ms
            + remaining_ms * FULL_SPEED_PERCENT // self.speed_percent
        )

    def update_progress(self, now_ms: int) -> None:
        """Add the work completed since the last update."""
        elapsed_ms = now_ms - self.progress_at_ms
        self.completed_ms += (
            elapsed_ms * self.speed_percent // FULL_SPEED_PERCENT
        )
        self.progress_at_ms = now_ms

    def throttle(self, percent: int, now_ms: int) -> None:
        """Change the speed, which scales the reported core usage."""
        self.update_progress(now_ms)
        self.speed_percent = max(1, min(percent, FULL_SPEED_PERCENT))

    def report(self) -> Json:
        """Return the task as the worker reports it."""
        has_usage = self.usage_reported
        cores = self.used_cores_milli * self.speed_percent
        return {
            'task_id': self.task_id,
            'state': self.state.value,
            'code': self.code,
            'answer': self.answer,
            'used_cores_milli': cores // FULL_SPEED_PERCENT if has_usage else 0,
            'used_memory_mb': self.used_memory_mb if has_usage else 0,
        }


def task_from_request(body: Json, seq: int, now_ms: int) -> TaskEntry:
    """Create a running task from a start request.

    The payload may hold `run_ms`, `exit_code`, `answer`, and the actual usage
    of the task: `used_cores_milli`, `used_memory_mb`.
    """
    work = _read_payload(body['payload'])
    demand = Resources(
        body['cores_milli'],
        body['memory_mb'],
        body['accelerators'],
        1,
        body['connections'],
    )
    return TaskEntry(
        body['task_id'],
        demand,
        TaskState.RUNNING,
        seq,
        body['term'],
        code=int(work.get('exit_code', 0)),
        answer=str(work.get('answer', '')),
        work_ms=int(work.get('run_ms', DEFAULT_RUN_MS)),
        progress_at_ms=now_ms,
        used_cores_milli=int(work.get('used_cores_milli', demand.cores_milli)),
        used_memory_mb=int(work.get('used_memory_mb', demand.memory_mb)),
    )


def task_response(
    state: TaskState,
    code: int,
    boot: str,
    status: int = 200,
) -> Response:
    """Return a response with a task's state and the worker's boot id."""
    body = {'state': state.value, 'code': int(code), 'boot': boot}
    return Response(status, body)


def refused_response(code: Code, boot: str) -> Response:
    """Refuse a start; the task never ran."""
    return task_response(TaskState.NOT_STARTED, code, boot, HTTP_CONFLICT)


def unknown_response(code: Code, boot: str) -> Response:
    """Refuse a request without reporting the state of the task."""
    return task_response(TaskState.UNKNOWN, code, boot, HTTP_CONFLICT)


def _read_payload(text: str) -> dict[str, Json]:
    try:
        work = json.loads(text)
    except ValueError:
        return {}
    return work if isinstance(work, dict) else {}
