"""Provide a registry that decorators fill."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar, final

K = TypeVar('K', bound=Hashable)
V = TypeVar('V')


@final
class Registry(Generic[K, V]):
    """Map keys to registered objects, such as handlers or policies."""

    def __init__(self, what: str) -> None:
        """Set the kind of registered object, used in error messages."""
        self.what = what
        self.entries: dict[K, V] = {}

    def register(self, key: K) -> Callable[[V], V]:
        """Return a decorator that registers its target under the key.

        The decorator raises ValueError if the key is already registered.
        """

        def store(target: V) -> V:
            if key in self.entries:
                raise ValueError(f'{self.what} {key!r} is registered twice')
            self.entries[key] = target
            return target

        return store

    def __getitem__(self, key: K) -> V:
        """Return the registered object; raise KeyError for an unknown key."""
        return self.entries[key]

    def __contains__(self, key: object) -> bool:
        """Return whether the key is registered."""
        return key in self.entries

    def __iter__(self) -> Iterator[K]:
        """Iterate over the keys in order of registration."""
        return iter(self.entries)
