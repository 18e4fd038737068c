"""Keep the numbers of finished occurrences short in the progress record.

Earlier versions read a list of numbers. A job that has repeated its steps often
has ranges instead, whose number is bounded by the occurrences that are open.
"""

from collections.abc import Iterable, Iterator
from typing import Final

# Longer lists are recorded as ranges, which earlier versions do not read.
MAX_LISTED: Final = 5000

# First and last number.
NumberRange = tuple[int, int]


def to_ranges(numbers: Iterable[int]) -> list[NumberRange]:
    """Return the ranges of consecutive numbers, in order."""
    ranges: list[NumberRange] = []
    for number in sorted(numbers):
        first, last = ranges[-1] if ranges else (number, number - 1)
        if number == last + 1 and ranges:
            ranges[-1] = (first, number)
        else:
            ranges.append((number, number))
    return ranges


def from_ranges(ranges: Iterable[NumberRange]) -> Iterator[int]:
    """Yield the numbers in the ranges."""
    for first, last in ranges:
        yield from range(first, last + 1)
