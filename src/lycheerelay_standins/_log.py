"""Stand in for the platform's append-only log service."""

import threading
from typing import final

from lycheerelay._codec import Json
from lycheerelay._web import Request, Response, Route, route

PAGE_ENTRIES = 500


@final
class LogStandIn:
    """Keep streams of entries in memory."""

    def __init__(self) -> None:
        """Start with no streams."""
        self.streams: dict[str, list[Json]] = {}
        self.firsts: dict[str, int] = {}
        self.appends = 0
        self.lock = threading.Lock()

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the log's protocol."""
        return (
            route('POST', '/v1/streams/{stream}', self.append),
            route('GET', '/v1/streams/{stream}', self.read),
        )

    def append(self, request: Request) -> Response:
        """Append one entry."""
        with self.lock:
            entries = self.streams.setdefault(request.parts['stream'], [])
            entries.append(request.body)
            self.appends += 1
            first = self.firsts.get(request.parts['stream'], 0)
            return Response(200, {'offset': first + len(entries) - 1})

    def read(self, request: Request) -> Response:
        """Read a page of entries from an offset on."""
        stream = request.parts['stream']
        with self.lock:
            kept = self.streams.get(stream, [])
            first = self.firsts.get(stream, 0)
            start = max(request.query_int('from', 0), first)
            part = kept[start - first : start - first + PAGE_ENTRIES]
            entries = [
                {'offset': start + position, 'value': value}
                for position, value in enumerate(part)
            ]
            end = first + len(kept)
        return Response(200, {'entries': entries, 'first': first, 'end': end})

    def expire(self, stream: str, count: int) -> None:
        """Drop the oldest entries, as retention does."""
        with self.lock:
            del self.streams[stream][:count]
            self.firsts[stream] = self.firsts.get(stream, 0) + count
