"""Encode and decode the binary records of the store."""

import struct
from collections.abc import Iterable, Iterator
from typing import Final

from ..serving import KeyedRecord

LENGTH: Final = struct.Struct('>I')
BOUNDS: Final = struct.Struct('>QQ')


def pack(records: Iterable[KeyedRecord]) -> bytes:
    """Encode records as the body of an append to a keyed topic."""
    return b''.join(_pack_one(record) for record in records)


def _pack_one(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + (record.payload or b'')
    return LENGTH.pack(len(content)) + content


def unpack(raw: bytes, first_offset: int) -> Iterator[KeyedRecord]:
    """Decode the body of a read; malformed records get an empty key."""
    position = 0
    offset = first_offset
    while position + LENGTH.size <= len(raw):
        size = int(LENGTH.unpack_from(raw, position)[0])
        position += LENGTH.size
        yield _unpack_one(raw[position : position + size], offset)
        position += size
        offset += 1


def _unpack_one(content: bytes, offset: int) -> KeyedRecord:
    if not content or len(content) <= content[0]:
        return KeyedRecord('', None, offset)
    size = content[0]
    key = content[1 : size + 1].decode(errors='replace')
    return KeyedRecord(key, content[size + 1 :] or None, offset)
