"""Reach the log through another entry VM when this one cannot."""

from collections.abc import Callable, Iterator
from typing import Final, TypeVar, final

from result import Err, Result

from ._clock import Clock
from ._codec import Json
from ._http import CallError, HttpCaller
from ._log_client import LogClient, LogPage
from ._members import Members

MAX_RELAYS: Final = 2
AVOID_DIRECT_MS: Final = 2000

LogResult = TypeVar('LogResult', int, LogPage)


@final
class FailoverLog:
    """Try the log itself, then the log as other entry VMs see it."""

    def __init__(
        self,
        direct: LogClient,
        caller: HttpCaller,
        name: str,
        members: Members,
        clock: Clock,
    ) -> None:
        """Prefer the direct way."""
        self.direct = direct
        self.caller = caller
        self.name = name
        self.members = members
        self.clock = clock
        self.direct_failed_ms = -AVOID_DIRECT_MS

    def append(
        self,
        stream: str,
        value: Json,
        timeout_ms: int = 1000,
    ) -> Result[int, CallError]:
        """Append one entry by the first way that answers.

        An entry can be appended twice; readers drop what they saw.
        """
        return self._first_answer(
            lambda log: log.append(stream, value, timeout_ms),
        )

    def read(
        self,
        stream: str,
        from_offset: int,
        timeout_ms: int = 2000,
    ) -> Result[LogPage, CallError]:
        """Read entries by the first way that answers."""
        return self._first_answer(
            lambda log: log.read(stream, from_offset, timeout_ms),
        )

    def _first_answer(
        self,
        use: Callable[[LogClient], Result[LogResult, CallError]],
    ) -> Result[LogResult, CallError]:
        outcome: Result[LogResult, CallError] = Err(
            CallError('log', 'no way to the log is known'),
        )
        for log in self._ways():
            outcome = use(log)
            if not isinstance(outcome, Err):
                return outcome
            if log is self.direct:
                self.direct_failed_ms = self.clock.now_ms()
        return outcome

    def _ways(self) -> Iterator[LogClient]:
        now_ms = self.clock.now_ms()
        recent = now_ms < self.direct_failed_ms + AVOID_DIRECT_MS
        if not recent:
            yield self.direct
        yield from self._relays()
        if recent:
            yield self.direct

    def _relays(self) -> Iterator[LogClient]:
        names = self.members.alive_in_domain()
        others = [name for name in names if name != self.name]
        for name in others[:MAX_RELAYS]:
            address = self.members.address_of(name)
            if address is not None:
                yield LogClient(self.caller, address, '/internal/log')
