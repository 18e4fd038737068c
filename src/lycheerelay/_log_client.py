"""Call the platform's append-only log service over HTTP."""

from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from ._codec import Json
from ._http import CallError, HttpCaller

LOG_READ: Final = 'log_read'
LOG_APPEND: Final = 'log_append'


class LogEntry(NamedTuple):
    """Hold one entry of a stream with its offset."""

    offset: int
    value: Json


class LogPage(NamedTuple):
    """Hold the entries of one read and the bounds of the stream.

    `first` is the oldest retained offset and `end` the next one to be
    written.
    """

    entries: tuple[LogEntry, ...]
    first: int
    end: int


@final
class LogClient:
    """Append to and read from the streams of one log service."""

    def __init__(
        self,
        caller: HttpCaller,
        address: str,
        prefix: str = '/v1/streams',
    ) -> None:
        """Use the service at an address, below a path prefix."""
        self.caller = caller.with_purpose(LOG_READ)
        self.writer = caller.with_purpose(LOG_APPEND)
        self.base = f'http://{address}{prefix}'

    def append(
        self,
        stream: str,
        value: Json,
        timeout_ms: int = 1000,
    ) -> Result[int, CallError]:
        """Append one entry and return its offset.

        After an error the entry may or may not have been written.
        """
        url = f'{self.base}/{stream}'
        reply = self.writer.call('POST', url, value, timeout_ms)
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status != 200:
            return Err(CallError(url, f'status {reply.ok_value.status}'))
        return Ok(int(reply.ok_value.body['offset']))

    def read(
        self,
        stream: str,
        from_offset: int,
        timeout_ms: int = 2000,
    ) -> Result[LogPage, CallError]:
        """Read the entries from an offset on, oldest first."""
        url = f'{self.base}/{stream}?from={from_offset}'
        reply = self.caller.call('GET', url, timeout_ms=timeout_ms)
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status != 200:
            return Err(CallError(url, f'status {reply.ok_value.status}'))
        body = reply.ok_value.body
        entries = tuple(
            LogEntry(entry['offset'], entry['value'])
            for entry in body['entries']
        )
        return Ok(LogPage(entries, body['first'], body['end']))
