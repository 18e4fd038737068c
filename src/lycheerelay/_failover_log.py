"""Relay log calls through another entry VM when the log is unreachable."""

from collections.abc import Callable, Iterator
from typing import Final, TypeVar, final

from result import Err, Result

from ._clock import Clock
from ._codec import Json
from ._http import CallError, HttpCaller
from ._log_client import LogClient, LogPage
from ._members import Members

MAX_RELAYS: Final = 2
DIRECT_RETRY_DELAY_MS: Final = 2000

LogResult = TypeVar('LogResult', int, LogPage)


@final
class FailoverLog:
    """Call the log directly, then through other entry VMs of the domain.

    For DIRECT_RETRY_DELAY_MS after a failed direct call, the other entry VMs
    are called first.
    """

    def __init__(
        self,
        direct: LogClient,
        caller: HttpCaller,
        name: str,
        members: Members,
        clock: Clock,
    ) -> None:
        """Start with the direct client first."""
        self.direct = direct
        self.caller = caller
        self.name = name
        self.members = members
        self.clock = clock
        self.direct_failed_ms = -DIRECT_RETRY_DELAY_MS

    def append(
        self,
        stream: str,
        value: Json,
        timeout_ms: int = 1000,
    ) -> Result[int, CallError]:
        """Append one entry through the first client that succeeds.

        The entry can be appended twice when a reply is lost; readers drop
        batches that they have already applied.
        """
        return self._first_success(
            lambda log: log.append(stream, value, timeout_ms),
        )

    def read(
        self,
        stream: str,
        from_offset: int,
        timeout_ms: int = 2000,
    ) -> Result[LogPage, CallError]:
        """Read entries through the first client that succeeds."""
        return self._first_success(
            lambda log: log.read(stream, from_offset, timeout_ms),
        )

    def _first_success(
        self,
        call: Callable[[LogClient], Result[LogResult, CallError]],
    ) -> Result[LogResult, CallError]:
        outcome: Result[LogResult, CallError] = Err(
            CallError('log', 'no client for the log is available'),
        )
        for log in self._clients():
            outcome = call(log)
            if not isinstance(outcome, Err):
                return outcome
            if log is self.direct:
                self.direct_failed_ms = self.clock.now_ms()
        return outcome

    def _clients(self) -> Iterator[LogClient]:
        now_ms = self.clock.now_ms()
        failed_lately = now_ms < self.direct_failed_ms + DIRECT_RETRY_DELAY_MS
        if not failed_lately:
            yield self.direct
        yield from self._relays()
        if failed_lately:
            yield self.direct

    def _relays(self) -> Iterator[LogClient]:
        names = self.members.alive_in_domain()
        others = [name for name in names if name != self.name]
        for name in others[:MAX_RELAYS]:
            address = self.members.address_of(name)
            if address is not None:
                yield LogClient(self.caller, address, '/internal/log')
