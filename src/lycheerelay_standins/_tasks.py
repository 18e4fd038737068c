"""Pretend to run tasks: progress, checkpoints, throttling and usage."""

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
    """Track one task; `seq` orders its last change among the worker's."""

    task_id: str
    demand: Resources
    state: TaskState
    seq: int
    term: int = 0
    code: int = 0
    answer: str = ''
    work_ms: int = 0
    done_ms: int = 0
    progress_at_ms: int = 0
    speed_percent: int = FULL_SPEED_PERCENT
    usage_due_ms: int = 0
    usage_shown: bool = False
    used_cores_milli: int = 0
    used_memory_mb: int = 0

    @property
    def task(self) -> str:
        """Return the id that all attempts of the task share."""
        return self.task_id.rpartition(':')[0]

    @property
    def is_live(self) -> bool:
        """Tell whether the task has not ended."""
        return self.state in LIVE_TASK_STATES

    @property
    def ends_ms(self) -> int:
        """Return when the work is done at the present speed."""
        left_ms = self.work_ms - self.done_ms
        return (
            self.progress_at_ms
            + left_ms * FULL_SPEED_PERCENT // self.speed_percent
        )

    def progress(self, now_ms: int) -> None:
        """Count the work done until now."""
        passed_ms = now_ms - self.progress_at_ms
        self.done_ms += passed_ms * self.speed_percent // FULL_SPEED_PERCENT
        self.progress_at_ms = now_ms

    def throttle(self, percent: int, now_ms: int) -> None:
        """Go on at another speed, which cores in use follow."""
        self.progress(now_ms)
        self.speed_percent = max(1, min(percent, FULL_SPEED_PERCENT))

    def report(self) -> Json:
        """Return what the worker says of the task."""
        shown = self.usage_shown
        cores = self.used_cores_milli * self.speed_percent
        return {
            'task_id': self.task_id,
            'state': self.state.value,
            'code': self.code,
            'answer': self.answer,
            'used_cores_milli': cores // FULL_SPEED_PERCENT if shown else 0,
            'used_memory_mb': self.used_memory_mb if shown else 0,
        }


def read_task(body: Json, seq: int, now_ms: int) -> TaskEntry:
    """Make a running task from a start request.

    The payload may hold `run_ms`, `exit_code`, `answer`, and what the task
    really uses: `used_cores_milli`, `used_memory_mb`.
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


def answer(
    state: TaskState,
    code: int,
    boot: str,
    status: int = 200,
) -> Response:
    """Answer with the state of a task and the worker's boot."""
    body = {'state': state.value, 'code': int(code), 'boot': boot}
    return Response(status, body)


def refusal(code: Code, boot: str) -> Response:
    """Refuse a start, which never ran."""
    return answer(TaskState.NOT_STARTED, code, boot, HTTP_CONFLICT)


def unknown(code: Code, boot: str) -> Response:
    """Refuse to say or change anything about a task."""
    return answer(TaskState.UNKNOWN, code, boot, HTTP_CONFLICT)


def _read_payload(text: str) -> dict[str, Json]:
    try:
        work = json.loads(text)
    except ValueError:
        return {}
    return work if isinstance(work, dict) else {}
