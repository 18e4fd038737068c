"""Convert INI option texts to the field types of named tuples."""

import difflib
from collections.abc import Callable, Iterable
from enum import Enum
from functools import cache
from types import UnionType
from typing import (
    Any,
    Final,
    NamedTuple,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

from result import Err, Ok, Result

_NONE_TYPE: Final = None.__class__
TRUE_TEXTS: Final = frozenset(('true', 'yes', 'on', '1'))
FALSE_TEXTS: Final = frozenset(('false', 'no', 'off', '0'))
DAY_MS: Final = 86_400_000
MAX_SHOWN_CHARS: Final = 60


class OptionError(NamedTuple):
    """Describe an invalid option of an INI file and what was expected."""

    file: str
    section: str
    option: str
    shown: str
    expected: str

    def to_text(self) -> str:
        """Format the error for an operator."""
        where = self.file
        if self.section:
            where = f'{where}: [{self.section}]'
        if self.option:
            where = f'{where} {self.option}'
        return f'{where}: got {self.shown}, expected {self.expected}'


OptionErrors = tuple[OptionError, ...]


class Range(NamedTuple):
    """Hold the inclusive bounds of a number."""

    low: int
    high: int

    def to_text(self) -> str:
        """Format the range for an operator."""
        return f'a number from {self.low} to {self.high}'


RANGES_BY_NAME: Final = {
    'replicas': Range(0, 10_000),
    'share': Range(1, 1_000_000),
    'max_attempts': Range(1, 1000),
    'task_ttl_ms': Range(1000, DAY_MS),
    'commit_ms': Range(1, 10_000),
    'http_threads': Range(4, 512),
}
RANGES_BY_SUFFIX: Final = (
    ('_ms', Range(0, 366 * DAY_MS)),
    ('_milli', Range(0, 10_000_000)),
    ('_mb', Range(0, 100_000_000)),
    ('_bytes', Range(0, 1_073_741_824)),
    ('_percent', Range(0, 100)),
)
DEFAULT_RANGE: Final = Range(0, 1_000_000_000)


def read_option(kind: Any, name: str, text: str) -> Result[Any, str]:
    """Convert an option text to a type; the error says what was expected."""
    if get_origin(kind) in {UnionType, Union}:
        return _read_optional(kind, name, text)
    if get_origin(kind) is tuple:
        return _read_list(get_args(kind)[0], name, text)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return _read_enum(kind, text)
    if kind is bool:
        return _read_flag(text)
    if kind in {int, float}:
        return _read_number(kind, name, text)
    return Ok(text) if text else Err('a value')


def shorten(text: str) -> str:
    """Return a quoted text, truncated for display."""
    return repr(text[:MAX_SHOWN_CHARS])


def range_of(name: str) -> Range:
    """Return the allowed range of a numeric option."""
    named = RANGES_BY_NAME.get(name)
    if named is not None:
        return named
    for suffix, bounds in RANGES_BY_SUFFIX:
        if name.endswith(suffix):
            return bounds
    return DEFAULT_RANGE


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Describe the expected name: the closest known one, or all of them."""
    names = sorted(known)
    closest = difflib.get_close_matches(name, names, 1)
    if closest:
        return f'a known name; the nearest is {closest[0]!r}'
    return f'one of: {", ".join(names)}'


@cache
def field_types(kind: Callable[..., object]) -> dict[str, Any]:
    """Return the field types of a named tuple."""
    return get_type_hints(kind)


def _read_optional(kind: Any, name: str, text: str) -> Result[Any, str]:
    if not text:
        return Ok(None)
    inner = [part for part in get_args(kind) if part is not _NONE_TYPE]
    return read_option(inner[0], name, text)


def _read_list(kind: Any, name: str, text: str) -> Result[Any, str]:
    parts = []
    for part in filter(None, (part.strip() for part in text.split(','))):
        parsed = read_option(kind, name, part)
        if isinstance(parsed, Err):
            return Err(f'a comma-separated list, each entry {parsed.err_value}')
        parts.append(parsed.ok_value)
    return Ok(tuple(parts))


def _read_enum(kind: type[Enum], text: str) -> Result[Any, str]:
    for member in kind:
        if str(member.value) == text:
            return Ok(member)
    return Err(suggest_name(text, (str(member.value) for member in kind)))


def _read_flag(text: str) -> Result[Any, str]:
    if text.lower() in TRUE_TEXTS:
        return Ok(True)
    if text.lower() in FALSE_TEXTS:
        return Ok(False)
    return Err('true or false')


def _read_number(kind: Any, name: str, text: str) -> Result[Any, str]:
    bounds = range_of(name)
    expected = bounds.to_text()
    if kind is int:
        expected = expected.replace('a number', 'a whole number')
    try:
        number = kind(text)
    except ValueError:
        return Err(expected)
    if not bounds.low <= number <= bounds.high:
        return Err(expected)
    return Ok(number)
