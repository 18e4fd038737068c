"""Stand in for the platform's store: keyed topics and one group."""

import asyncio
import base64
import collections
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, final

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.serving import Reply

from ._net import Request

OK: Final = 200
CONFLICT: Final = 409
RACED: Final = 412
DELETED: Final = 410
PARTS: Final = 12
PAGE: Final = 500


@dataclass
class Partition:
    """Hold one partition: all records, and the newest of each key."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    answers: dict[tuple[str, int, int], int] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Return the offset that the next record gets."""
        return self.first + len(self.records)

    def add(self, content: bytes) -> None:
        """Append one record."""
        size = content[0]
        key = content[1 : size + 1].decode()
        payload = content[size + 1 :]
        if payload:
            self.newest[key] = (self.end, payload)
        else:
            self.newest.pop(key, None)
        self.records.append(content)
        self.grown.set()
        self.grown = asyncio.Event()


@dataclass
class Member:
    """Hold one member of the group."""

    joined_ms: int
    ttl_ms: int
    known: int = 0


@final
class GroupStandIn:
    """Deal partitions evenly among members."""

    def __init__(self) -> None:
        """Start without members."""
        self.members: dict[str, Member] = {}
        self.generation = 0
        self.dealt: dict[int, str] = {}
        self.claims: dict[int, str] = {}

    def deal_anew(self) -> None:
        """Deal every partition anew at once, to other members if possible."""
        names = sorted(self.members)
        if names:
            self.generation += 1
            holder = self.dealt.get(0, names[0])
            start = (names.index(holder) + 1) if holder in names else 0
            self.dealt = {
                part: names[(start + part) % len(names)]
                for part in range(PARTS)
            }
            self.claims = dict(self.dealt)

    def expire(self, now_ms: int) -> None:
        """Remove the members that sent nothing for their time."""
        gone = [
            name
            for name, member in self.members.items()
            if now_ms - member.joined_ms > member.ttl_ms
        ]
        for name in gone:
            self.remove(name)
        if gone:
            self.deal()

    def remove(self, name: str) -> None:
        """Remove a member with what it holds."""
        self.members.pop(name, None)
        for part, member in list(self.claims.items()):
            if member == name:
                self.claims.pop(part)

    def deal(self) -> None:
        """Deal the partitions; a member keeps its even share."""
        self.generation += 1
        names = sorted(self.members)
        if not names:
            self.dealt = {}
            return
        most = -(-PARTS // len(names))
        counts = dict.fromkeys(names, 0)
        dealt: dict[int, str] = {}
        for part in range(PARTS):
            holder = self.dealt.get(part, '')
            if holder in counts and counts[holder] < most:
                dealt[part] = holder
                counts[holder] += 1
        for part in range(PARTS):
            if part not in dealt:
                least = min((counts[name], name) for name in names)[1]
                dealt[part] = least
                counts[least] += 1
        self.dealt = dealt

    def settle(self) -> None:
        """Hand over what its former holder has let go."""
        for part, wanted in self.dealt.items():
            holder = self.claims.get(part)
            if holder is None or holder == wanted:
                self.claims[part] = wanted
                continue
            member = self.members.get(holder)
            if member is None or member.known >= self.generation:
                self.claims[part] = wanted


@final
class StoreStandIn:
    """Answer the store's calls from memory."""

    def __init__(self, now_ms: Callable[[], int]) -> None:
        """Start empty."""
        self.now_ms = now_ms
        self.topics: dict[str, Partition] = {}
        self.groups: dict[str, GroupStandIn] = {}
        self.calls = 0
        self.appends: collections.Counter[str] = collections.Counter()

    def group(self, name: str) -> GroupStandIn:
        """Return a group, made on first use."""
        return self.groups.setdefault(name, GroupStandIn())

    def partition(self, topic: str) -> Partition:
        """Return the partition that tests and the product use."""
        return self.topics.setdefault(topic, Partition())

    def put(self, topic: str, key: str, entry: object) -> None:
        """Write as the operator or a worker does."""
        raw = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
        name = key.encode()
        self.partition(topic).add(bytes([len(name)]) + name + raw)

    def drop(self, topic: str, key: str) -> None:
        """Drop a key."""
        name = key.encode()
        self.partition(topic).add(bytes([len(name)]) + name)

    def forget_history(self, topic: str) -> None:
        """Delete the records; the newest of each key stay."""
        part = self.partition(topic)
        part.first = part.end
        part.records = []

    def deal_anew(self) -> None:
        """Deal every partition of every group anew at once."""
        for group in self.groups.values():
            group.deal_anew()

    def revoke(self, name: str) -> None:
        """Take the seats of a group away at once, unasked."""
        group = self.group(name)
        for member in list(group.members):
            group.remove(member)
        group.deal()

    async def handle(self, request: Request) -> Reply:
        """Answer one call."""
        self.calls += 1
        name = request.path.rsplit('/', 1)[1].replace('-', '_')
        method = getattr(self, f'_{name}')
        answer: Reply = await method(request)
        return answer

    async def _log_append(self, request: Request) -> Reply:
        part = self.partition(request.query['topic'])
        self.appends[request.query['topic']] += 1
        producer = request.query.get('producer')
        if producer is not None:
            epoch = int(request.query['epoch'])
            sequence = int(request.query['sequence'])
            refusal = self._check(part, producer, epoch, sequence, request.body)
            if refusal is not None:
                return refusal
        if int(request.query.get('at', part.end)) != part.end:
            return _json(RACED, {'end': part.end})
        offset = part.end
        for content in _contents(request.body):
            part.add(content)
        if producer is not None:
            part.answers[producer, epoch, sequence] = offset
        return _json(OK, {'offset': offset, 'end': part.end})

    def _check(
        self,
        part: Partition,
        producer: str,
        epoch: int,
        sequence: int,
        body: bytes,
    ) -> Reply | None:
        known = part.epochs.get(producer, -1)
        if epoch < known:
            return _json(CONFLICT, {'reason': 'fenced'})
        if epoch > known:
            part.epochs[producer] = epoch
            part.sequences[producer] = sequence
            return None
        if (producer, epoch, sequence) in part.answers and body:
            offset = part.answers[producer, epoch, sequence]
            return _json(OK, {'offset': offset, 'end': part.end})
        expected = part.sequences[producer] + 1
        if sequence != expected and body:
            return _json(CONFLICT, {'reason': 'seq', 'sequence': expected})
        part.sequences[producer] = sequence
        return None

    async def _log_read(self, request: Request) -> Reply:
        part = self.partition(request.query['topic'])
        start = int(request.query['from'])
        wait_ms = int(request.query.get('waitMs', 0))
        if part.end <= start and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / MS_PER_SECOND):
                    await part.grown.wait()
            except TimeoutError:
                # Nothing came; the answer is empty.
                start = max(start, part.end)
        if start < part.first:
            return _json(DELETED, {'first': part.first})
        contents = part.records[start - part.first :]
        packed = b''.join(
            struct.pack('>I', len(content)) + content for content in contents
        )
        return Reply(OK, struct.pack('>QQ', part.end, part.first) + packed)

    async def _log_newest(self, request: Request) -> Reply:
        part = self.partition(request.query['topic'])
        after = request.query.get('after', '')
        keys = sorted(key for key in part.newest if key > after)
        rows = [
            {
                'key': key,
                'value': base64.b64encode(part.newest[key][1]).decode(),
                'offset': part.newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        has_more = len(keys) > PAGE
        return _json(OK, {'items': rows, 'hasMore': has_more, 'end': part.end})

    async def _log_join(self, request: Request) -> Reply:
        body = json.loads(request.body)
        name = body['member']
        group = self.group(body['group'])
        now_ms = self.now_ms()
        group.expire(now_ms)
        is_new = name not in group.members
        group.members[name] = Member(now_ms, body['ttlMs'], body['generation'])
        if is_new:
            group.deal()
        group.settle()
        parts = [
            ['keyed.jobs', part, 0]
            for part, member in group.claims.items()
            if member == name and group.dealt.get(part) == name
        ]
        fields = {'generation': group.generation, 'ttlMs': 0, 'parts': parts}
        return _json(OK, fields)

    async def _log_leave(self, request: Request) -> Reply:
        body = json.loads(request.body)
        group = self.group(body['group'])
        group.remove(body['member'])
        group.deal()
        return _json(OK, {})

    async def _log_owners(self, request: Request) -> Reply:
        group = self.group(request.query['group'])
        group.expire(self.now_ms())
        group.settle()
        rows = [
            ['keyed.jobs', part, member, 0]
            for part, member in group.claims.items()
        ]
        return _json(OK, {'parts': rows})


def _contents(body: bytes) -> list[bytes]:
    found = []
    position = 0
    while position < len(body):
        size = struct.unpack_from('>I', body, position)[0]
        found.append(body[position + 4 : position + 4 + size])
        position += 4 + size
    return found


def _json(status: int, fields: dict[str, Any]) -> Reply:
    return Reply(status, json.dumps(fields).encode())
