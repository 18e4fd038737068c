"""Stand-in of the platform's append-only log service."""

import threading
from collections import deque
from typing import Final, NamedTuple, final

from lycheerelay._clock import MS_PER_SECOND, Clock, SystemClock
from lycheerelay._codec import Json, dumps
from lycheerelay._web import Request, Response, Route, route

from ._faults import HTTP_UNAVAILABLE, FaultSwitches

PAGE_ENTRIES: Final = 500
PAGE_BYTES: Final = 4_194_304


class EncodedEntry(NamedTuple):
    """A log entry encoded as JSON, with the time of its append."""

    text: str
    at_ms: int


@final
class LogStandIn:
    """Keep log streams in memory and serve them over HTTP."""

    def __init__(self, clock: Clock | None = None) -> None:
        """Start without streams and without limits on age or append rate."""
        self.clock = clock or SystemClock()
        self.streams: dict[str, list[Json]] = {}
        self.stored: dict[str, list[EncodedEntry]] = {}
        self.first_offsets: dict[str, int] = {}
        self.appends = 0
        self.reads = 0
        self.appended_bytes = 0
        self.retention_ms = 0
        self.appends_per_s = 0
        self.recent_appends_ms: deque[int] = deque()
        self.lock = threading.Lock()
        self.fault_switches = FaultSwitches(
            self.clock,
            {
                'expire': lambda body: self.expire(
                    body['stream'],
                    body['count'],
                ),
                'retention_ms': self.set_retention,
                'appends_per_s': self.set_rate,
            },
        )

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the log, with fault switches."""
        return self.fault_switches.wrap(
            (
                route('POST', '/v1/streams/{stream}', self.append),
                route('GET', '/v1/streams/{stream}', self.read),
                route('GET', '/counts', self.counts),
            ),
        )

    def append(self, request: Request) -> Response:
        """Append one entry and return its offset."""
        with self.lock:
            now_ms = self.clock.now_ms()
            if self._exceeds_rate(now_ms):
                return Response(
                    HTTP_UNAVAILABLE, {'detail': 'append rate limit exceeded'}
                )
            stream = request.parts['stream']
            entries = self.streams.setdefault(stream, [])
            entries.append(request.body)
            self.appends += 1
            self._encode_new(stream)
            end = self.first_offsets.get(stream, 0) + len(entries)
        return Response(200, {'offset': end - 1})

    def read(self, request: Request) -> Response:
        """Return a page of entries that starts at an offset."""
        stream = request.parts['stream']
        with self.lock:
            self.reads += 1
            self._encode_new(stream)
            self._expire_old(stream)
            kept = self.stored.get(stream, [])
            first = self.first_offsets.get(stream, 0)
            start = max(request.query_int('from', 0), first)
            page = kept[start - first : start - first + PAGE_ENTRIES]
            end = first + len(kept)
        return Response(200, text=_encode_page(page, start, first, end))

    def counts(self, request: Request) -> Response:
        """Return the numbers of appends, reads and appended bytes."""
        body = {
            'appends': self.appends,
            'reads': self.reads,
            'appended_bytes': self.appended_bytes,
        }
        return Response(200, body)

    def expire(self, stream: str, count: int) -> None:
        """Drop the oldest entries of a stream, as retention does."""
        with self.lock:
            self._drop(stream, count)

    def set_retention(self, retention_ms: int) -> None:
        """Drop entries older than this; 0 keeps them forever."""
        self.retention_ms = retention_ms

    def set_rate(self, appends_per_s: int) -> None:
        """Limit the rate of appends; 0 sets no limit."""
        self.appends_per_s = appends_per_s

    def _encode_new(self, stream: str) -> None:
        """Encode each entry once instead of on every read."""
        entries = self.streams.get(stream, [])
        stored = self.stored.setdefault(stream, [])
        for entry in entries[len(stored) :]:
            text = dumps(entry).decode()
            self.appended_bytes += len(text)
            stored.append(EncodedEntry(text, self.clock.now_ms()))

    def _drop(self, stream: str, count: int) -> None:
        kept = self.stored.get(stream, [])
        dropped = min(count, len(kept))
        del kept[:dropped]
        del self.streams.get(stream, [])[:dropped]
        self.first_offsets[stream] = self.first_offsets.get(stream, 0) + dropped

    def _expire_old(self, stream: str) -> None:
        if not self.retention_ms:
            return
        oldest_ms = self.clock.now_ms() - self.retention_ms
        kept = self.stored.get(stream, [])
        count = 0
        while count < len(kept) and kept[count].at_ms < oldest_ms:
            count += 1
        self._drop(stream, count)

    def _exceeds_rate(self, now_ms: int) -> bool:
        if not self.appends_per_s:
            return False
        while (
            self.recent_appends_ms
            and self.recent_appends_ms[0] <= now_ms - MS_PER_SECOND
        ):
            self.recent_appends_ms.popleft()
        if len(self.recent_appends_ms) >= self.appends_per_s:
            return True
        self.recent_appends_ms.append(now_ms)
        return False


def _encode_page(
    page: list[EncodedEntry],
    start: int,
    first: int,
    end: int,
) -> str:
    parts: list[str] = []
    size = 0
    for position, entry in enumerate(page):
        size += len(entry.text)
        if parts and size > PAGE_BYTES:
            break
        parts.append(f'{{"offset":{start + position},"value":{entry.text}}}')
    entries = ','.join(parts)
    return f'{{"entries":[{entries}],"first":{first},"end":{end}}}'
