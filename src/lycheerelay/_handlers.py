"""Define the registries of event and record handlers."""

from collections.abc import Callable, Iterator
from typing import Any, Final

from ._commands import Command
from ._registry import Registry
from ._state import ShardState

Commands = Iterator[Command]
Handler = Callable[[ShardState, Any, int], Commands]

EVENT_HANDLERS: Final[Registry[type, Handler]] = Registry('event handler')
RECORD_HANDLERS: Final[Registry[type, Handler]] = Registry('record handler')
