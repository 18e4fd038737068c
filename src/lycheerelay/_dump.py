"""Show the state of a process, stable in order and without contents."""

from dataclasses import fields, is_dataclass
from enum import Enum
from functools import partial
from typing import Final, final

from . import __version__
from ._codec import Json, to_json
from ._node import Node
from ._usage import thread_cpu_ms
from ._web import Request, Response, Route, route

# Payloads and answers belong to callers; only their size is shown.
HIDDEN: Final = frozenset(('payload', 'answer', 'content'))
MAX_SHOWN_CHARS: Final = 200
ITEMS_PER_READ: Final = 50
# Indexes over the rest of the state; each refers back to all of it.
DERIVED: Final = frozenset(('ledger', 'index', 'policy'))
PLAIN: Final = (str, int, float, bool)


@final
class DumpApi:
    """Serve the dump of one node."""

    def __init__(self, node: Node) -> None:
        """Serve one node."""
        self.node = node

    def routes(self) -> tuple[Route, ...]:
        """Return the route of this part."""
        return (
            route('GET', '/dump', self.dump),
            route('GET', '/dump/usage', self.usage),
        )

    def dump(self, request: Request) -> Response:
        """Show the whole state of the process."""
        return Response(200, dump_node(self.node))

    def usage(self, request: Request) -> Response:
        """Show what the process uses, without its jobs."""
        return Response(200, dump_usage(self.node))


def dump_usage(node: Node) -> Json:
    """Return processor time by thread and traffic by purpose."""
    return {
        'traffic': to_json(node.caller.traffic.shown()),
        'membership': dump_plain(node.members),
        'thread_cpu_ms': thread_cpu_ms(),
        'journal': dump_plain(node.parts.journal),
    }


def dump_node(node: Node) -> Json:
    """Return the state of a node; each read of its core stays short."""
    pools = node.inspect(lambda: sorted(node.shards))
    return {
        'code': 0,
        'program': __version__,
        'settings': dump_item(node.settings),
        'ready': node.is_ready,
        'lacks': node.lacks,
        'draining': node.draining,
        'members': sorted(node.members.alive_in_domain()),
        'config': dump_item(node.config.config),
        'policy': dump_item(node.policy),
        **dump_usage(node),
        'log': dump_plain(node.parts.journal.health),
        'pools': {pool: dump_pool(node, pool) for pool in pools},
    }


def dump_pool(node: Node, pool: str) -> Json:
    """Return one pool in several short reads of the core."""
    state = node.shards[pool]
    names = sorted(field.name for field in fields(state))
    return {
        name: _dump_field(node, getattr(state, name))
        for name in names
        if name not in DERIVED
    }


def _dump_field(node: Node, item: object) -> Json:
    if not isinstance(item, dict):
        return node.inspect(partial(dump_item, item))
    keys = node.inspect(partial(tuple, item))
    shown: dict[str, Json] = {}
    for start in range(0, len(keys), ITEMS_PER_READ):
        part = keys[start : start + ITEMS_PER_READ]
        shown.update(node.inspect(partial(_dump_some, item, part)))
    return dict(sorted(shown.items()))


def _dump_some(
    items: dict[object, object],
    keys: tuple[object, ...],
) -> dict[str, Json]:
    return {_key(key): dump_item(items[key]) for key in keys if key in items}


def dump_item(item: object, name: str = '') -> Json:
    """Return JSON values for state, contents replaced by their size."""
    if isinstance(item, Enum):
        return item.value
    if isinstance(item, str):
        return _dump_text(item, name)
    if item is None or isinstance(item, PLAIN):
        return item
    if isinstance(item, dict):
        return dict(
            sorted((_key(key), dump_item(part)) for key, part in item.items()),
        )
    return _dump_parts(item)


def dump_plain(item: object) -> Json:
    """Return the plain attributes of a part that is no data class."""
    return {
        name: dump_item(part, name)
        for name, part in sorted(vars(item).items())
        if isinstance(part, PLAIN)
    }


def _dump_parts(item: object) -> Json:
    if is_dataclass(item):
        names = {field.name for field in fields(item)} - DERIVED
        return {
            name: dump_item(getattr(item, name), name) for name in sorted(names)
        }
    if isinstance(item, tuple) and hasattr(item, '_fields'):
        return {
            name: dump_item(getattr(item, name), name) for name in item._fields
        }
    if isinstance(item, set | frozenset):
        return sorted(dump_item(part) for part in item)
    if isinstance(item, tuple | list):
        return [dump_item(part) for part in item]
    return type(item).__name__


def _dump_text(text: str, name: str) -> str:
    if name in HIDDEN:
        return f'<{len(text)} characters>' if text else ''
    if len(text) > MAX_SHOWN_CHARS:
        return f'{text[:MAX_SHOWN_CHARS]}...'
    return text


def _key(key: object) -> str:
    if isinstance(key, tuple):
        return ':'.join(str(part) for part in key)
    return str(key)
