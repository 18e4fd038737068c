"""Judge from unanswered calls whether a worker is out of contact.

Load: many workers carry their orders out while part of their answers is lost,
or are slow to report for a while. A worker that is out of contact gets no new
runs, and copies of its runs may be started.
"""

from collections.abc import Callable
from typing import Final

from .._registry import Registry
from ._state import CellState, WorkerInfo

ContactRule = Callable[[WorkerInfo, int], bool]

# Functions that return whether a worker with an unanswered call is out of
# contact. Each takes the worker and the current time in ms.
CONTACT_RULES: Final[Registry[str, ContactRule]] = Registry('contact rule')

# A poll that is cut off takes longer than this; a lost answer often does not.
SILENCE_MS: Final = 1500


@CONTACT_RULES.register('second_miss')
def is_second_miss(worker: WorkerInfo, now_ms: int) -> bool:
    """Ignore a single lost answer of a worker that was heard lately."""
    is_silent = now_ms - worker.last_contact_ms >= SILENCE_MS
    return is_silent or worker.missed_calls > 1


@CONTACT_RULES.register('first_miss')
def is_any_miss(worker: WorkerInfo, now_ms: int) -> bool:
    """Regard every unanswered call as a loss of contact."""
    return True


def count_missed_call(cell: CellState, worker: WorkerInfo, now_ms: int) -> bool:
    """Count an unanswered call; return whether it ends the contact."""
    worker.missed_calls += 1
    if worker.unresponsive:
        return False
    rule = CONTACT_RULES[cell.policies.contact]
    worker.unresponsive = rule(worker, now_ms)
    return worker.unresponsive


def regain_contact(worker: WorkerInfo, now_ms: int) -> None:
    """Record an answer of a worker."""
    worker.last_contact_ms = now_ms
    worker.missed_calls = 0
    worker.unresponsive = False
    worker.silent_since_ms = 0
    worker.has_answered = True


def may_copy_runs(worker: WorkerInfo, now_ms: int) -> bool:
    """Return whether a worker has been silent for long enough for copies."""
    silent_ms = now_ms - worker.last_contact_ms
    return worker.unresponsive and silent_ms >= SILENCE_MS
