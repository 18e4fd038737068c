"""Stand-in of the platform's store: keyed topics and member groups."""

import asyncio
import base64
import bisect
import collections
import itertools
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, final

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.serving import Reply

from ._network import Request

OK: Final = 200
CONFLICT: Final = 409
PRECONDITION_FAILED: Final = 412
GONE: Final = 410
BAD_REQUEST: Final = 400
CONTENT_TOO_LARGE: Final = 413
PARTITIONS: Final = 12
PAGE_ITEMS: Final = 500
# Limits of the settings example on one record and on the records of one call.
RECORD_BYTES: Final = 262_144
REQUEST_BYTES: Final = 2_097_152
PAGE_BYTES: Final = 1 << 20


@dataclass
class Partition:
    """Records of one partition and the newest record of each key."""

    records: list[bytes] = field(default_factory=list)
    first_offset: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    append_offsets: dict[tuple[str, int, int], int] = field(
        default_factory=dict
    )
    appended: asyncio.Event = field(default_factory=asyncio.Event)
    ordered: tuple[str, ...] = ()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)

    def page(self, start: int, max_bytes: int) -> list[bytes]:
        """Return records up to a size, but at least the first one."""
        contents = self.records[start - self.first_offset :]
        sizes = itertools.accumulate(map(len, contents))
        count = sum(size <= max_bytes for size in sizes)
        return contents[: max(count, 1)]

    def add(self, content: bytes) -> None:
        """Append a record; without a payload it deletes its key.

        The content is the length of the key, the key and the payload.
        """
        size = content[0]
        key = content[1 : size + 1].decode()
        payload = content[size + 1 :]
        if (key in self.newest) != bool(payload):
            self.ordered = ()
        if payload:
            self.newest[key] = (self.end, payload)
        else:
            self.newest.pop(key, None)
        self.records.append(content)
        self.appended.set()
        self.appended = asyncio.Event()

    def keys_after(self, key: str, count: int) -> tuple[str, ...]:
        """Return the next keys in order."""
        if not self.ordered:
            self.ordered = tuple(sorted(self.newest))
        first = bisect.bisect_right(self.ordered, key)
        return self.ordered[first : first + count]


@dataclass
class Member:
    """A group member; `seen_generation` is that of its last join."""

    last_join_ms: int
    ttl_ms: int
    seen_generation: int = 0


@final
class GroupStandIn:
    """Assign partitions evenly to members.

    `assignment` is the wanted member of each partition, `holders` the current
    one. A partition changes its holder once the former one has left or has
    seen the generation that moved it.
    """

    def __init__(self) -> None:
        """Create a group without members."""
        self.members: dict[str, Member] = {}
        self.generation = 0
        self.assignment: dict[int, str] = {}
        self.holders: dict[int, str] = {}

    def reassign_partitions(self) -> None:
        """Move every partition at once, to another member if possible."""
        names = sorted(self.members)
        if names:
            self.generation += 1
            holder = self.assignment.get(0, names[0])
            start = (names.index(holder) + 1) if holder in names else 0
            self.assignment = {
                partition: names[(start + partition) % len(names)]
                for partition in range(PARTITIONS)
            }
            self.holders = dict(self.assignment)

    def expire_members(self, now_ms: int) -> None:
        """Remove the members whose last join is older than their TTL."""
        expired = [
            name
            for name, member in self.members.items()
            if now_ms - member.last_join_ms > member.ttl_ms
        ]
        for name in expired:
            self.remove(name)
        if expired:
            self.rebalance()

    def remove(self, name: str) -> None:
        """Remove a member and the partitions that it holds."""
        self.members.pop(name, None)
        for partition, member in list(self.holders.items()):
            if member == name:
                self.holders.pop(partition)

    def rebalance(self) -> None:
        """Assign the partitions evenly; members keep up to a fair share."""
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.assignment = {}
            return
        max_share = -(-PARTITIONS // len(names))
        counts = dict.fromkeys(names, 0)
        assignment: dict[int, str] = {}
        for partition in range(PARTITIONS):
            holder = self.assignment.get(partition, '')
            if holder in counts and counts[holder] < max_share:
                assignment[partition] = holder
                counts[holder] += 1
        for partition in range(PARTITIONS):
            if partition not in assignment:
                least_loaded = min((counts[name], name) for name in names)[1]
                assignment[partition] = least_loaded
                counts[least_loaded] += 1
        self.assignment = assignment

    def complete_handovers(self) -> None:
        """Hand over the partitions that their former holders released."""
        for partition, assigned in self.assignment.items():
            holder = self.holders.get(partition)
            if holder is None or holder == assigned:
                self.holders[partition] = assigned
                continue
            member = self.members.get(holder)
            if member is None or member.seen_generation >= self.generation:
                self.holders[partition] = assigned


@final
class StoreStandIn:
    """Serve the calls of the store from memory."""

    def __init__(self, now_ms: Callable[[], int]) -> None:
        """Create an empty store."""
        self.now_ms = now_ms
        self.topics: dict[str, Partition] = {}
        self.groups: dict[str, GroupStandIn] = {}
        self.calls = 0
        self.record_bytes = RECORD_BYTES
        self.request_bytes = REQUEST_BYTES
        self.too_large = 0
        self.refuses_appends = False
        self.page_bytes = PAGE_BYTES
        self.appends: collections.Counter[str] = collections.Counter()

    def group(self, name: str) -> GroupStandIn:
        """Return a group, created on first use."""
        return self.groups.setdefault(name, GroupStandIn())

    def partition(self, topic: str) -> Partition:
        """Return the partition of a topic, created on first use."""
        return self.topics.setdefault(topic, Partition())

    def put(self, topic: str, key: str, payload: object) -> None:
        """Append a record as the operator or a worker does."""
        raw = (
            payload
            if isinstance(payload, bytes)
            else json.dumps(payload).encode()
        )
        name = key.encode()
        self.partition(topic).add(bytes([len(name)]) + name + raw)

    def drop(self, topic: str, key: str) -> None:
        """Delete a key by appending a record without payload."""
        name = key.encode()
        self.partition(topic).add(bytes([len(name)]) + name)

    def truncate_history(self, topic: str) -> None:
        """Delete all records but keep the newest of each key readable."""
        partition = self.partition(topic)
        partition.first_offset = partition.end
        partition.records = []

    def reassign_partitions(self) -> None:
        """Move every partition of every group at once."""
        for group in self.groups.values():
            group.reassign_partitions()

    def revoke(self, name: str) -> None:
        """Remove every member of a group at once, without a request."""
        group = self.group(name)
        for member in list(group.members):
            group.remove(member)
        group.rebalance()

    async def handle(self, request: Request) -> Reply:
        """Handle one call; the last segment of its path selects the method."""
        self.calls += 1
        name = request.path.rsplit('/', 1)[1].replace('-', '_')
        method = getattr(self, f'_{name}')
        answer: Reply = await method(request)
        return answer

    async def _log_append(self, request: Request) -> Reply:
        partition = self.partition(request.query['topic'])
        self.appends[request.query['topic']] += 1
        if self.refuses_appends:
            return _json(BAD_REQUEST, {})
        contents = _split_records(request.body)
        sizes = [len(content) for content in contents]
        if (
            max(sizes, default=0) > self.record_bytes
            or sum(sizes) > self.request_bytes
        ):
            self.too_large += 1
            return _json(CONTENT_TOO_LARGE, {})
        producer = request.query.get('producer')
        if producer is not None:
            epoch = int(request.query['epoch'])
            sequence = int(request.query['sequence'])
            early_reply = self._check_sequence(
                partition, producer, epoch, sequence, request.body
            )
            if early_reply is not None:
                return early_reply
        if int(request.query.get('at', partition.end)) != partition.end:
            return _json(PRECONDITION_FAILED, {'end': partition.end})
        offset = partition.end
        for content in contents:
            partition.add(content)
        if producer is not None:
            partition.append_offsets[producer, epoch, sequence] = offset
        return _json(OK, {'offset': offset, 'end': partition.end})

    def _check_sequence(
        self,
        partition: Partition,
        producer: str,
        epoch: int,
        sequence: int,
        body: bytes,
    ) -> Reply | None:
        known_epoch = partition.epochs.get(producer, -1)
        if epoch < known_epoch:
            return _json(CONFLICT, {'reason': 'fenced'})
        if epoch > known_epoch:
            partition.epochs[producer] = epoch
            partition.sequences[producer] = sequence
            return None
        if (producer, epoch, sequence) in partition.append_offsets and body:
            offset = partition.append_offsets[producer, epoch, sequence]
            return _json(OK, {'offset': offset, 'end': partition.end})
        expected = partition.sequences[producer] + 1
        if sequence != expected and body:
            return _json(CONFLICT, {'reason': 'seq', 'sequence': expected})
        partition.sequences[producer] = sequence
        return None

    async def _log_read(self, request: Request) -> Reply:
        partition = self.partition(request.query['topic'])
        start = int(request.query['from'])
        wait_ms = int(request.query.get('waitMs', 0))
        if partition.end <= start and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await partition.appended.wait()
            except TimeoutError:
                # Nothing was appended in time: return an empty page.
                start = max(start, partition.end)
        if start < partition.first_offset:
            return _json(GONE, {'first': partition.first_offset})
        packed = b''.join(
            struct.pack('>I', len(content)) + content
            for content in partition.page(start, self.page_bytes)
        )
        return Reply(
            OK,
            struct.pack('>QQ', partition.end, partition.first_offset) + packed,
        )

    async def _log_newest(self, request: Request) -> Reply:
        partition = self.partition(request.query['topic'])
        after = request.query.get('after', '')
        keys = partition.keys_after(after, PAGE_ITEMS + 1)
        rows = [
            {
                'key': key,
                'value': base64.b64encode(partition.newest[key][1]).decode(),
                'offset': partition.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        has_more = len(keys) > PAGE_ITEMS
        return _json(
            OK, {'items': rows, 'hasMore': has_more, 'end': partition.end}
        )

    async def _log_join(self, request: Request) -> Reply:
        body = json.loads(request.body)
        name = body['member']
        group = self.group(body['group'])
        now_ms = self.now_ms()
        group.expire_members(now_ms)
        is_new = name not in group.members
        group.members[name] = Member(now_ms, body['ttlMs'], body['generation'])
        if is_new:
            group.rebalance()
        group.complete_handovers()
        parts = [
            ['keyed.jobs', partition, 0]
            for partition, member in group.holders.items()
            if member == name and group.assignment.get(partition) == name
        ]
        fields = {'generation': group.generation, 'ttlMs': 0, 'parts': parts}
        return _json(OK, fields)

    async def _log_leave(self, request: Request) -> Reply:
        body = json.loads(request.body)
        group = self.group(body['group'])
        group.remove(body['member'])
        group.rebalance()
        return _json(OK, {})

    async def _log_owners(self, request: Request) -> Reply:
        group = self.group(request.query['group'])
        group.expire_members(self.now_ms())
        group.complete_handovers()
        rows = [
            ['keyed.jobs', partition, member, 0]
            for partition, member in group.holders.items()
        ]
        return _json(OK, {'parts': rows})


def _split_records(body: bytes) -> list[bytes]:
    found = []
    position = 0
    while position < len(body):
        size = struct.unpack_from('>I', body, position)[0]
        found.append(body[position + 4 : position + 4 + size])
        position += 4 + size
    return found


def _json(status: int, fields: dict[str, Any]) -> Reply:
    return Reply(status, json.dumps(fields).encode())
