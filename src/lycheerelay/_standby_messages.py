"""Keep batches on a second entry VM while the log is down."""

from enum import StrEnum, unique
from typing import NamedTuple, Protocol

from result import Result

from ._codec import FieldError, Json, from_json
from ._http import CallError


@unique
class StandbyStatus(StrEnum):
    """Name a holder's answer."""

    HELD = 'held'
    LOG_OK = 'log_ok'
    STALE = 'stale'
    GAP = 'gap'
    FULL = 'full'


class StandbyRequest(NamedTuple):
    """Ask a second entry VM to keep batches.

    `have` gives the last batch number that the sender saw of each writer,
    `terms` the highest term that it knows of each pool.
    """

    sender: str
    entry: dict[str, Json]
    have: dict[str, int]
    terms: dict[str, int]


class StandbyReply(NamedTuple):
    """Answer a hold request, with the batches that the sender lacks."""

    verdict: StandbyStatus
    have: dict[str, int]
    entry: dict[str, Json]


class StandbyPeers(Protocol):
    """Reach the entry VMs that can keep batches."""

    def names(self) -> tuple[str, ...]:
        """Return the live holders, this node left out."""

    def all_names(self) -> tuple[str, ...]:
        """Return every known entry VM of the domain, this node left out."""

    def hold(
        self,
        name: str,
        request: StandbyRequest,
    ) -> Result[StandbyReply, CallError | FieldError]:
        """Ask one of them; an error leaves its effect unknown."""


def parse_request(raw: Json) -> Result[StandbyRequest, FieldError]:
    """Read a hold request."""
    return from_json(StandbyRequest, raw)


def parse_reply(raw: Json) -> Result[StandbyReply, FieldError]:
    """Read a hold reply."""
    return from_json(StandbyReply, raw)
