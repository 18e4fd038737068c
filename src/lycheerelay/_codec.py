"""Turn named tuples into JSON values and back, checking every field."""

import json
from collections.abc import Callable
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

from ._codes import Code, Refusal

Json = Any
_NoneType: Final = None.__class__
MAX_SHOWN: Final = 80


class FieldError(NamedTuple):
    """Locate a wrong value."""

    path: str
    shown: str
    expected: str

    def refusal(self) -> Refusal:
        """Word the error for a caller."""
        detail = f'{self.path}: got {self.shown}, expected {self.expected}'
        return Refusal(Code.BAD_FIELD, detail, not_run=True)


def to_json(item: object) -> Json:
    """Return JSON values for named tuples, enums and plain values."""
    if isinstance(item, tuple) and hasattr(item, '_fields'):
        return {name: to_json(getattr(item, name)) for name in item._fields}
    if isinstance(item, tuple | list):
        return [to_json(part) for part in item]
    if isinstance(item, dict):
        return {str(key): to_json(part) for key, part in item.items()}
    if isinstance(item, Enum):
        return item.value
    return item


def dumps(item: object) -> bytes:
    """Encode an item as compact JSON with sorted keys."""
    return json.dumps(
        to_json(item),
        separators=(',', ':'),
        sort_keys=True,
    ).encode()


def from_json(kind: Any, raw: Json, path: str = '') -> Result[Any, FieldError]:
    """Read JSON values as the given type; unknown fields are errors."""
    if hasattr(kind, '_fields'):
        return _read_tuple(kind, raw, path)
    if kind is Any:
        return Ok(raw)
    origin = get_origin(kind)
    if origin in {UnionType, Union}:
        return _read_optional(kind, raw, path)
    if origin is dict:
        return _read_mapping(get_args(kind)[1], raw, path)
    if origin is tuple:
        return _read_sequence(get_args(kind)[0], raw, path)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return _read_enum(kind, raw, path)
    return _read_plain(kind, raw, path)


def _read_tuple(kind: Any, raw: Json, path: str) -> Result[Any, FieldError]:
    if not isinstance(raw, dict):
        return _wrong(path or kind.__name__, raw, 'an object')
    hints = _hints(kind)
    unknown = sorted(set(raw) - set(hints))
    if unknown:
        known = ', '.join(sorted(hints))
        name = unknown[0]
        return _wrong(_join(path, name), raw[name], f'one of: {known}')
    return _read_fields(kind, raw, path)


def _read_fields(
    kind: Any,
    raw: dict[str, Json],
    path: str,
) -> Result[Any, FieldError]:
    hints = _hints(kind)
    fields: dict[str, object] = {}
    for name, hint in hints.items():
        if name not in raw:
            if name in kind._field_defaults:
                continue
            return _wrong(_join(path, name), None, 'a value, but none came')
        part = from_json(hint, raw[name], _join(path, name))
        if isinstance(part, Err):
            return part
        fields[name] = part.ok_value
    return Ok(kind(**fields))


def _read_optional(kind: Any, raw: Json, path: str) -> Result[Any, FieldError]:
    if raw is None:
        return Ok(None)
    inner = [part for part in get_args(kind) if part is not _NoneType]
    return from_json(inner[0], raw, path)


def _read_sequence(kind: Any, raw: Json, path: str) -> Result[Any, FieldError]:
    if not isinstance(raw, list):
        return _wrong(path, raw, 'a list')
    parts = []
    for position, entry in enumerate(raw):
        part = from_json(kind, entry, f'{path}[{position}]')
        if isinstance(part, Err):
            return part
        parts.append(part.ok_value)
    return Ok(tuple(parts))


def _read_mapping(
    kind: Any,
    raw: Json,
    path: str,
) -> Result[Any, FieldError]:
    if not isinstance(raw, dict):
        return _wrong(path, raw, 'an object')
    parts: dict[str, object] = {}
    for name, entry in raw.items():
        part = from_json(kind, entry, _join(path, name))
        if isinstance(part, Err):
            return part
        parts[name] = part.ok_value
    return Ok(parts)


def _read_enum(
    kind: type[Enum],
    raw: Json,
    path: str,
) -> Result[Any, FieldError]:
    for member in kind:
        if member.value == raw and not isinstance(raw, bool):
            return Ok(member)
    names = ', '.join(str(member.value) for member in kind)
    return _wrong(path, raw, f'one of: {names}')


def _read_plain(kind: Any, raw: Json, path: str) -> Result[Any, FieldError]:
    exact = isinstance(raw, kind) and isinstance(raw, bool) == (kind is bool)
    if exact:
        return Ok(raw)
    return _wrong(path, raw, _PLAIN_NAMES.get(kind, kind.__name__))


def _wrong(path: str, raw: Json, expected: str) -> Err[FieldError]:
    return Err(FieldError(path, repr(raw)[:MAX_SHOWN], expected))


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


@cache
def _hints(kind: Callable[..., object]) -> dict[str, Any]:
    return get_type_hints(kind)


_PLAIN_NAMES: Final = {
    int: 'a whole number',
    str: 'a string',
    bool: 'true or false',
    float: 'a number',
}
