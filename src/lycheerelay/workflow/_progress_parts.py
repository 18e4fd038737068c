"""Split the progress record of a job that is too large for one record.

The first part, the base, has the fields that are no lists, the masks of done
tasks of every step and as many rows as fit, those of tasks last; `parts` lists the
numbers of the others. Each of those has further rows of the same fields. An earlier
version reads the base alone and so knows at least which tasks are done.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final, NamedTuple

import orjson

PARTS_FIELD: Final = 'parts'
# Rows of a list that stay together if they fit.
BLOCK_ROWS: Final = 512
# Bytes of a field besides its name and rows, and of a number in `parts`.
FIELD_BYTES: Final = 6
NUMBER_BYTES: Final = 8

Fields = dict[str, Any]


class Block(NamedTuple):
    """Consecutive rows of a field that is a list."""

    field: str
    rows: list[Any]

    @property
    def size(self) -> int:
        """Return the number of bytes in a record, a little too high."""
        return len(orjson.dumps(self.rows)) + len(self.field) + FIELD_BYTES


class SplitProgress(NamedTuple):
    """Progress of a job in several records, and the numbers of the parts."""

    base: bytes
    parts: dict[int, bytes]


def split_progress(
    raw: bytes, limit: int, numbers: Iterator[int]
) -> SplitProgress:
    """Return the progress in records of at most `limit` bytes.

    The parts get the next of the given numbers. Only a single row may exceed
    the limit.
    """
    if len(raw) <= limit:
        return SplitProgress(raw, {})
    fields: Fields = orjson.loads(raw)
    base = {
        name: content
        for name, content in fields.items()
        if not isinstance(content, list)
    }
    # Parts are at least half full, but for those before a large row.
    reserved = NUMBER_BYTES * (2 * len(raw) // limit + 2)
    records = [base]
    room = limit - reserved - len(orjson.dumps(base))
    for block in _blocks(fields):
        for part in _fitting_blocks(block, limit - reserved):
            if part.size > room:
                records.append({})
                room = limit
            room -= part.size
            records[-1].setdefault(part.field, []).extend(part.rows)
    parts = {
        next(numbers): orjson.dumps(record) for record in records[1:] if record
    }
    base[PARTS_FIELD] = list(parts)
    return SplitProgress(orjson.dumps(base), parts)


def merge_progress(
    raw: bytes, find_part: Callable[[int], bytes | None]
) -> bytes:
    """Return the progress in one record; missing parts are left out."""
    fields: Fields = orjson.loads(raw)
    for number in fields.pop(PARTS_FIELD, ()):
        part: Fields = orjson.loads(find_part(number) or b'{}')
        for name, rows in part.items():
            fields[name] = [*fields.get(name, ()), *rows]
    return orjson.dumps(fields)


def part_numbers(raw: bytes) -> tuple[int, ...]:
    """Return the numbers of the parts that a base names."""
    if f'"{PARTS_FIELD}"'.encode() not in raw:
        return ()
    fields: Fields = orjson.loads(raw)
    return tuple(map(int, fields.get(PARTS_FIELD, ())))


def _blocks(fields: Fields) -> Iterator[Block]:
    """Yield the rows of every list, the masks of done tasks first."""
    steps = fields.get('steps', [])
    yield from _row_blocks('steps', [[*row[:3], []] for row in steps])
    for name, content in fields.items():
        if isinstance(content, list) and name != 'steps':
            yield from _row_blocks(name, content)
    for occurrence, step, _, tasks in steps:
        for block in _row_blocks('', tasks):
            yield Block('steps', [[occurrence, step, '0', block.rows]])


def _row_blocks(field: str, rows: list[Any]) -> Iterable[Block]:
    for start in range(0, len(rows), BLOCK_ROWS):
        yield Block(field, rows[start : start + BLOCK_ROWS])


def _fitting_blocks(block: Block, limit: int) -> Iterator[Block]:
    """Yield the rows of a block in blocks of at most `limit` bytes."""
    rows = block.rows
    if block.size <= limit:
        yield block
    elif len(rows) > 1:
        middle = len(rows) // 2
        yield from _fitting_blocks(Block(block.field, rows[:middle]), limit)
        yield from _fitting_blocks(Block(block.field, rows[middle:]), limit)
    elif block.field == 'steps' and len(rows[0][3]) > 1:
        *step, tasks = rows[0]
        middle = len(tasks) // 2
        for half in (tasks[:middle], tasks[middle:]):
            split = Block(block.field, [[*step, half]])
            yield from _fitting_blocks(split, limit)
    else:
        yield block
