"""Read the JSON log lines of entry VMs."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any, Final, NamedTuple

import orjson
from result import Err, Ok, Result

from .._clock import MS_PER_SECOND

# Fields that every log line has.
REQUIRED: Final = ('time', 'message')


class LogLine(NamedTuple):
    """One decision of one process; the time is in ms since 1970."""

    at_ms: int
    vm: str
    message: str
    fields: dict[str, Any]


@dataclass(slots=True)
class LineCounts:
    """Count what was read, and what is known to be missing.

    `dropped` counts the lines that the processes dropped themselves, `cut` the
    lines that begin like a log line and are not one, `other` all other text.
    """

    read: int = 0
    dropped: int = 0
    cut: int = 0
    other: int = 0


def read_lines(
    lines: Iterable[str], counts: LineCounts
) -> Iterator[Result[LogLine, str]]:
    """Yield each log line, or why a line is not a usable one.

    The JSON object may follow other columns, the last of which names the VM.
    Text without an object is counted and left out.
    """
    for number, text in enumerate(lines, 1):
        prefix, brace, rest = text.partition('{')
        if not brace:
            counts.other += bool(text.strip())
            continue
        columns = prefix.split()
        parsed = _parse(brace + rest, columns[-1] if columns else '')
        if isinstance(parsed, Err):
            counts.cut += 1
            yield Err(f'line {number}: {parsed.err_value}')
            continue
        counts.read += 1
        dropped = parsed.ok_value.fields.get('dropped_before', 0)
        counts.dropped += dropped if isinstance(dropped, int) else 0
        yield parsed


def _parse(text: str, vm: str) -> Result[LogLine, str]:
    try:
        fields = orjson.loads(text)
    except ValueError:
        return Err('the JSON object is cut or malformed')
    missing = [name for name in REQUIRED if name not in fields]
    if missing:
        return Err(f'the field {missing[0]!r} is missing')
    try:
        at = datetime.fromisoformat(str(fields['time']))
    except ValueError:
        return Err(f'the time {fields["time"]!r} is malformed')
    at_ms = int(at.timestamp() * MS_PER_SECOND)
    return Ok(LogLine(at_ms, vm, str(fields['message']), fields))
