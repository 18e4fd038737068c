"""Keep the services of the operators' folder up, where this node places."""

import logging
import threading
from collections.abc import Callable
from typing import Final, Protocol, TypeVar, final

from ._clock import MS_PER_SECOND, Clock
from ._commands import ReplyRefused
from ._jobs import JobSpec
from ._replies import Outcome
from ._services import ServicePlan, plan_services
from ._state import ShardState

LOGGER: Final = logging.getLogger(__name__)
REVIEW_MS: Final = 1000
ANSWER_MS: Final = 3000


T = TypeVar('T')


class Placer(Protocol):
    """Place jobs in the pools of one node."""

    clock: Clock
    draining: bool
    shards: dict[str, ShardState]

    @property
    def is_ready(self) -> bool:
        """Tell whether jobs may be submitted."""

    def inspect(self, read: Callable[[], T]) -> T:
        """Read the state between two events."""

    def submit(self, spec: JobSpec, timeout_ms: int) -> Outcome:
        """Accept or refuse a job."""

    def cancel(self, pool: str, job_id: str, timeout_ms: int) -> Outcome:
        """Cancel a job."""


@final
class ServiceKeeper:
    """Submit and cancel service jobs as a caller would, through the log."""

    def __init__(self, node: Placer) -> None:
        """Keep nothing up yet."""
        self.node = node
        self.submits = 0
        self.cancels = 0
        self.refusals = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run,
            name='services',
            daemon=True,
        )

    def start(self) -> None:
        """Review from a thread of its own."""
        self.thread.start()

    def stop(self) -> None:
        """Stop reviewing; what runs goes on."""
        self.stopping.set()
        if self.thread.is_alive():
            self.thread.join()

    def run(self) -> None:
        """Review until stopped."""
        while not self.stopping.wait(REVIEW_MS / MS_PER_SECOND):
            if self.node.is_ready and not self.node.draining:
                self.review()

    def review(self) -> None:
        """Carry out the plan of every pool that this node owns."""
        for pool, plan in self.node.inspect(self._plans):
            for spec in plan.submits:
                self.submits += 1
                self._note(self.node.submit(spec, ANSWER_MS))
            for job_id in plan.cancels:
                self.cancels += 1
                self._note(self.node.cancel(pool, job_id, ANSWER_MS))

    def _plans(self) -> list[tuple[str, ServicePlan]]:
        now_ms = self.node.clock.now_ms()
        return [
            (pool, plan_services(state, now_ms))
            for pool, state in self.node.shards.items()
            if state.is_owner
        ]

    def _note(self, outcome: Outcome) -> None:
        if isinstance(outcome, ReplyRefused):
            self.refusals += 1
            LOGGER.debug('service refused: %s', outcome.refusal.detail)
