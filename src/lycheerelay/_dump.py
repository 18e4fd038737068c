"""Dump the state of a process in a stable order, without job contents."""

from dataclasses import fields, is_dataclass
from enum import Enum
from functools import partial
from typing import Final, final

from . import __version__
from ._codec import Json, to_json
from ._node import Node
from ._usage import thread_cpu_ms
from ._web import Request, Response, Route, route

# Payloads and answers are private to callers; only their size is shown.
REDACTED_FIELDS: Final = frozenset(('payload', 'answer', 'content'))
MAX_SHOWN_CHARS: Final = 200
ITEMS_PER_READ: Final = 50
# `ledger` and `index` are derived from other fields, and the ledger refers back
# to all jobs; `policy` is shown once for the whole node.
OMITTED_FIELDS: Final = frozenset(('ledger', 'index', 'policy'))
PLAIN_TYPES: Final = (str, int, float, bool)


@final
class DumpApi:
    """Handle the dump routes of one node."""

    def __init__(self, node: Node) -> None:
        """Initialize the routes of one node."""
        self.node = node

    def routes(self) -> tuple[Route, ...]:
        """Return the dump routes."""
        return (
            route('GET', '/dump', self.dump),
            route('GET', '/dump/usage', self.usage),
        )

    def dump(self, request: Request) -> Response:
        """Return the whole state of the process."""
        return Response(200, dump_node(self.node))

    def usage(self, request: Request) -> Response:
        """Return the resource usage of the process."""
        return Response(200, dump_usage(self.node))


def dump_usage(node: Node) -> Json:
    """Return traffic by purpose, CPU time by thread group and counters."""
    return {
        'traffic': to_json(node.caller.traffic.snapshot()),
        'membership': dump_plain(node.members),
        'thread_cpu_ms': thread_cpu_ms(),
        'journal': dump_plain(node.parts.journal),
    }


def dump_node(node: Node) -> Json:
    """Return the state of a node, read in short accesses to its core."""
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
    """Return the state of one pool, read in short accesses to the core."""
    state = node.shards[pool]
    names = sorted(field.name for field in fields(state))
    return {
        name: _dump_field(node, getattr(state, name))
        for name in names
        if name not in OMITTED_FIELDS
    }


def _dump_field(node: Node, item: object) -> Json:
    if not isinstance(item, dict):
        return node.inspect(partial(dump_item, item))
    keys = node.inspect(partial(tuple, item))
    shown: dict[str, Json] = {}
    for start in range(0, len(keys), ITEMS_PER_READ):
        chunk = keys[start : start + ITEMS_PER_READ]
        shown.update(node.inspect(partial(_dump_entries, item, chunk)))
    return dict(sorted(shown.items()))


def _dump_entries(
    items: dict[object, object],
    keys: tuple[object, ...],
) -> dict[str, Json]:
    return {
        _format_key(key): dump_item(items[key]) for key in keys if key in items
    }


def dump_item(item: object, name: str = '') -> Json:
    """Convert state to JSON values; redacted texts become their size."""
    if isinstance(item, Enum):
        return item.value
    if isinstance(item, str):
        return _dump_text(item, name)
    if item is None or isinstance(item, PLAIN_TYPES):
        return item
    if isinstance(item, dict):
        return dict(
            sorted(
                (_format_key(key), dump_item(part))
                for key, part in item.items()
            ),
        )
    return _dump_parts(item)


def dump_plain(item: object) -> Json:
    """Return the scalar attributes of an object as JSON values."""
    return {
        name: dump_item(part, name)
        for name, part in sorted(vars(item).items())
        if isinstance(part, PLAIN_TYPES)
    }


def _dump_parts(item: object) -> Json:
    if is_dataclass(item):
        names = {field.name for field in fields(item)} - OMITTED_FIELDS
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
    if name in REDACTED_FIELDS:
        return f'<{len(text)} characters>' if text else ''
    if len(text) > MAX_SHOWN_CHARS:
        return f'{text[:MAX_SHOWN_CHARS]}...'
    return text


def _format_key(key: object) -> str:
    if isinstance(key, tuple):
        return ':'.join(str(part) for part in key)
    return str(key)
