"""Convert named tuples to JSON and back with validation of every field."""

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
MAX_SHOWN_CHARS: Final = 80
NONE_TYPE: Final = None.__class__


class FieldError(NamedTuple):
    """Describe an invalid value and where it was found."""

    path: str
    shown: str
    expected: str

    def refusal(self) -> Refusal:
        """Return the error as a refusal for the caller."""
        detail = f'{self.path}: got {self.shown}, expected {self.expected}'
        return Refusal(Code.BAD_FIELD, detail, not_run=True)

    def within(self, name: str) -> 'FieldError':
        """Return the error with the name of the enclosing field prepended."""
        if not self.path:
            return self._replace(path=name)
        dot = '' if self.path.startswith('[') else '.'
        return self._replace(path=f'{name}{dot}{self.path}')


Reader = Callable[[Json], Result[Any, FieldError]]


def to_json(item: object) -> Json:
    """Convert named tuples, enums and containers to JSON values."""
    if isinstance(item, tuple) and hasattr(item, '_fields'):
        return {
            name: to_json(part)
            for name, part in zip(item._fields, item, strict=True)
        }
    if isinstance(item, Enum):
        return item.value
    if isinstance(item, tuple | list):
        return [to_json(part) for part in item]
    if isinstance(item, dict):
        return {str(key): to_json(part) for key, part in item.items()}
    return item


def dumps(item: object) -> bytes:
    """Encode an item as compact JSON with sorted keys."""
    return json.dumps(
        to_json(item),
        separators=(',', ':'),
        sort_keys=True,
    ).encode()


def from_json(kind: Any, raw: Json, path: str = '') -> Result[Any, FieldError]:
    """Convert JSON values to the given type; unknown fields are errors."""
    outcome = _reader_of(kind)(raw)
    if isinstance(outcome, Err) and path:
        return Err(outcome.err_value.within(path))
    return outcome


@cache
def _reader_of(kind: Any) -> Reader:
    origin = get_origin(kind)
    if kind is Any:
        return Ok
    if hasattr(kind, '_fields'):
        return _named_tuple_reader(kind)
    if origin in {UnionType, Union}:
        return _optional_reader(kind)
    if origin is tuple:
        return _sequence_reader(get_args(kind)[0])
    if origin is dict:
        return _mapping_reader(get_args(kind)[1])
    if issubclass(kind, Enum):
        return _enum_reader(kind)
    return _scalar_reader(kind)


def _named_tuple_reader(kind: Any) -> Reader:
    readers = {
        name: _reader_of(hint) for name, hint in get_type_hints(kind).items()
    }
    defaults = kind._field_defaults

    def read(raw: Json) -> Result[Any, FieldError]:
        if not isinstance(raw, dict):
            return _mismatch(raw, 'an object')
        unknown = _unknown_field(raw, readers)
        if unknown is not None:
            return unknown
        fields = _read_fields(raw, readers, defaults)
        if isinstance(fields, Err):
            return fields
        return Ok(kind(**fields.ok_value))

    return read


def _read_fields(
    raw: dict[str, Json],
    readers: dict[str, Reader],
    defaults: dict[str, object],
) -> Result[dict[str, object], FieldError]:
    fields: dict[str, object] = {}
    for name, reader in readers.items():
        if name in raw:
            part = reader(raw[name])
            if isinstance(part, Err):
                return Err(part.err_value.within(name))
            fields[name] = part.ok_value
        elif name not in defaults:
            return Err(FieldError(name, 'nothing', 'a value'))
    return Ok(fields)


def _unknown_field(
    raw: dict[str, Json],
    readers: dict[str, Reader],
) -> Err[FieldError] | None:
    if raw.keys() <= readers.keys():
        return None
    name = min(raw.keys() - readers.keys())
    known = ', '.join(sorted(readers))
    shown = repr(raw[name])[:MAX_SHOWN_CHARS]
    return Err(FieldError(str(name), shown, f'one of the fields {known}'))


def _optional_reader(kind: Any) -> Reader:
    inner = [part for part in get_args(kind) if part is not NONE_TYPE]
    reader = _reader_of(inner[0])

    def read(raw: Json) -> Result[Any, FieldError]:
        return Ok(None) if raw is None else reader(raw)

    return read


def _sequence_reader(kind: Any) -> Reader:
    reader = _reader_of(kind)

    def read(raw: Json) -> Result[Any, FieldError]:
        if not isinstance(raw, list):
            return _mismatch(raw, 'a list')
        parts = []
        for position, entry in enumerate(raw):
            part = reader(entry)
            if isinstance(part, Err):
                return Err(part.err_value.within(f'[{position}]'))
            parts.append(part.ok_value)
        return Ok(tuple(parts))

    return read


def _mapping_reader(kind: Any) -> Reader:
    reader = _reader_of(kind)

    def read(raw: Json) -> Result[Any, FieldError]:
        if not isinstance(raw, dict):
            return _mismatch(raw, 'an object')
        parts: dict[str, object] = {}
        for name, entry in raw.items():
            part = reader(entry)
            if isinstance(part, Err):
                return Err(part.err_value.within(name))
            parts[name] = part.ok_value
        return Ok(parts)

    return read


def _enum_reader(kind: type[Enum]) -> Reader:
    members = {member.value: Ok(member) for member in kind}
    names = ', '.join(str(value) for value in members)

    def read(raw: Json) -> Result[Any, FieldError]:
        if isinstance(raw, str | int) and not isinstance(raw, bool):
            member = members.get(raw)
            if member is not None:
                return member
        return _mismatch(raw, f'one of: {names}')

    return read


def _scalar_reader(kind: type) -> Reader:
    expected = _TYPE_DESCRIPTIONS.get(kind, kind.__name__)

    def read(raw: Json) -> Result[Any, FieldError]:
        if raw.__class__ is kind:
            return Ok(raw)
        if kind is float and raw.__class__ is int:
            return Ok(float(raw))
        return _mismatch(raw, expected)

    return read


def _mismatch(raw: Json, expected: str) -> Err[FieldError]:
    return Err(FieldError('', repr(raw)[:MAX_SHOWN_CHARS], expected))


_TYPE_DESCRIPTIONS: Final = {
    int: 'a whole number',
    str: 'a string',
    bool: 'true or false',
    float: 'a number',
}
