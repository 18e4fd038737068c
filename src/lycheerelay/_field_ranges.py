"""Validate the range of numeric fields in requests."""

from collections.abc import Iterable
from typing import NamedTuple

from ._codec import FieldError


class FieldRange(NamedTuple):
    """Hold the inclusive bounds of a numeric field."""

    name: str
    low: int
    high: int


def find_out_of_range(
    record: object,
    ranges: Iterable[FieldRange],
) -> FieldError | None:
    """Return an error for the first field that is out of range."""
    for bounds in ranges:
        amount = getattr(record, bounds.name)
        if not bounds.low <= amount <= bounds.high:
            expected = f'a whole number from {bounds.low} to {bounds.high}'
            return FieldError(bounds.name, str(amount), expected)
    return None
