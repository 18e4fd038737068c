"""Register the handlers of events and records."""

from collections.abc import Callable, Iterator
from typing import Any, Final

from ._commands import Command
from ._registry import Registry
from ._state import ShardState

Commands = Iterator[Command]
Handler = Callable[[ShardState, Any, int], Commands]

HANDLERS: Final[Registry[type, Handler]] = Registry('event handler')
FOLDS: Final[Registry[type, Handler]] = Registry('record fold')
