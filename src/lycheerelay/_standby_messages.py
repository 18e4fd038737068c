"""Define the messages that replicate batches to a standby entry VM."""

from enum import StrEnum, unique
from typing import NamedTuple, Protocol

from result import Result

from ._codec import FieldError, Json, from_json
from ._http import CallError


@unique
class StandbyStatus(StrEnum):
    """Name the standby's answer to a request.

    `held`: it stored the batches. `log_ok`: it can reach the log. `stale`:
    the writer misses a newer term. `gap`: batches before these are missing.
    `full`: the records exceed the limit.
    """

    STORED = 'held'
    LOG_OK = 'log_ok'
    STALE = 'stale'
    GAP = 'gap'
    FULL = 'full'


class StandbyRequest(NamedTuple):
    """Ask a second entry VM to store batches.

    `have` gives the last batch number that the sender has applied of each
    writer, `terms` the highest term that it knows of each pool.
    """

    sender: str
    entry: dict[str, Json]
    have: dict[str, int]
    terms: dict[str, int]


class StandbyReply(NamedTuple):
    """Answer a standby request, with the batches that the sender misses."""

    verdict: StandbyStatus
    have: dict[str, int]
    entry: dict[str, Json]


class StandbyPeers(Protocol):
    """Call the other entry VMs of the domain, which can store batches."""

    def names(self) -> tuple[str, ...]:
        """Return the live entry VMs, without this node."""

    def all_names(self) -> tuple[str, ...]:
        """Return every known entry VM of the domain, without this node."""

    def hold(
        self,
        name: str,
        request: StandbyRequest,
    ) -> Result[StandbyReply, CallError | FieldError]:
        """Ask one entry VM to store batches.

        After an error they may or may not have been stored.
        """


def parse_request(raw: Json) -> Result[StandbyRequest, FieldError]:
    """Parse a standby request."""
    return from_json(StandbyRequest, raw)


def parse_reply(raw: Json) -> Result[StandbyReply, FieldError]:
    """Parse the reply to a standby request."""
    return from_json(StandbyReply, raw)
