"""Keep the numbers of finished occurrences short in the progress record.

Earlier versions read a list of numbers. A job that has repeated its steps often
has ranges instead, whose number is bounded by the occurrences that are open.
"""

from collections.abc import Iterable, Iterator
from itertools import chain
from typing import Final, final

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


@final
class FinishedNumbers:
    """Hold the numbers of finished occurrences, however many they are.

    All numbers below `first_open` are finished, and those in `later`. Occurrences
    are opened in order, so that only a few finish before an earlier one.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.first_open = 0
        self.later: set[int] = set()

    def __contains__(self, number: object) -> bool:
        """Return whether an occurrence is finished."""
        if not isinstance(number, int):
            return False
        return 0 <= number < self.first_open or number in self.later

    def __len__(self) -> int:
        """Return how many are finished."""
        return self.first_open + len(self.later)

    def __iter__(self) -> Iterator[int]:
        """Iterate over the numbers in order."""
        return chain(range(self.first_open), sorted(self.later))

    def add(self, number: int) -> None:
        """Add the number of an occurrence."""
        if number < self.first_open:
            return
        self.later.add(number)
        while self.first_open in self.later:
            self.later.remove(self.first_open)
            self.first_open += 1

    def update(self, numbers: Iterable[int]) -> None:
        """Add several numbers."""
        for number in numbers:
            self.add(number)

    def add_range(self, first: int, last: int) -> None:
        """Add consecutive numbers, at once if they follow the first ones."""
        if first > self.first_open:
            self.update(range(first, last + 1))
            return
        self.first_open = max(self.first_open, last + 1)
        later = self.later
        self.later = set()
        self.update(later)

    def ranges(self) -> list[NumberRange]:
        """Return the ranges of consecutive numbers, in order."""
        first = [(0, self.first_open - 1)] if self.first_open else []
        return [*first, *to_ranges(self.later)]
