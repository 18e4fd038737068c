"""Bound the numeric fields of what callers hand in."""

from collections.abc import Iterable
from typing import NamedTuple

from ._codec import FieldError


class FieldRange(NamedTuple):
    """Bound one numeric field, both ends included."""

    name: str
    low: int
    high: int


def find_out_of_range(
    record: object,
    ranges: Iterable[FieldRange],
) -> FieldError | None:
    """Return the first field of a record that is out of its range."""
    for bounds in ranges:
        amount = getattr(record, bounds.name)
        if not bounds.low <= amount <= bounds.high:
            expected = f'a whole number from {bounds.low} to {bounds.high}'
            return FieldError(bounds.name, str(amount), expected)
    return None
