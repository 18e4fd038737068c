"""Serve the log and standby storage to other entry VMs of the domain."""

from typing import Final, final

from result import Err

from ._codec import to_json
from ._codes import Code, Refusal
from ._http import CallError
from ._journal import Journal
from ._log_client import LogClient
from ._standby_messages import parse_request
from ._web import Request, Response, Route, refused, route

RELAY_TIMEOUT_MS: Final = 1000


@final
class JournalApi:
    """Serve the routes by which entry VMs replicate and relay records."""

    def __init__(self, journal: Journal, log: LogClient) -> None:
        """Store batches in the journal and relay calls to the log."""
        self.journal = journal
        self.log = log

    def routes(self) -> tuple[Route, ...]:
        """Return the internal routes of this API."""
        return (
            route('POST', '/internal/hold', self.store),
            route('POST', '/internal/log/{stream}', self.append),
            route('GET', '/internal/log/{stream}', self.read),
        )

    def store(self, request: Request) -> Response:
        """Store the batches of another entry VM."""
        parsed = parse_request(request.body)
        if isinstance(parsed, Err):
            return refused(parsed.err_value.refusal())
        reply = self.journal.store_as_standby(parsed.ok_value)
        return Response(200, to_json(reply))

    def append(self, request: Request) -> Response:
        """Append an entry for an entry VM that cannot reach the log."""
        if self.journal.health.is_down:
            return _unreachable(CallError('log', 'unreachable from here too'))
        outcome = self.log.append(
            request.parts['stream'],
            request.body,
            RELAY_TIMEOUT_MS,
        )
        if isinstance(outcome, Err):
            return _unreachable(outcome.err_value)
        return Response(200, {'offset': outcome.ok_value})

    def read(self, request: Request) -> Response:
        """Read entries for an entry VM that cannot reach the log."""
        if self.journal.health.is_down:
            return _unreachable(CallError('log', 'unreachable from here too'))
        page = self.log.read(
            request.parts['stream'],
            request.query_int('from', 0),
            RELAY_TIMEOUT_MS,
        )
        if isinstance(page, Err):
            return _unreachable(page.err_value)
        return Response(200, to_json(page.ok_value))


def _unreachable(error: CallError) -> Response:
    return refused(Refusal(Code.UNREACHABLE, f'log: {error.reason}'))
