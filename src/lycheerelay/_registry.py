"""Collect behaviour that varies, filled by decorators."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar, final

K = TypeVar('K', bound=Hashable)
V = TypeVar('V')


@final
class Registry(Generic[K, V]):
    """Map a key to the behaviour that registered under it."""

    def __init__(self, what: str) -> None:
        """Name what is registered, for error texts."""
        self.what = what
        self.entries: dict[K, V] = {}

    def register(self, key: K) -> Callable[[V], V]:
        """Return a decorator that stores its target under the key."""

        def store(target: V) -> V:
            if key in self.entries:
                raise ValueError(f'{self.what} {key!r} is registered twice')
            self.entries[key] = target
            return target

        return store

    def __getitem__(self, key: K) -> V:
        """Return the behaviour; raise KeyError for an unknown key."""
        return self.entries[key]

    def __contains__(self, key: object) -> bool:
        """Tell whether the key is registered."""
        return key in self.entries

    def __iter__(self) -> Iterator[K]:
        """Iterate over the keys in order of registration."""
        return iter(self.entries)
