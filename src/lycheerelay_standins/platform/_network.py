"""Emulate the network between processes in virtual time, with faults."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from contextvars import copy_context
from typing import Final, NamedTuple, final
from urllib.parse import parse_qsl, urlsplit

from lycheerelay._clock import MS_PER_SECOND
from lycheerelay.serving import NO_ANSWER, NOT_SENT, Reply

from ._channels import ChannelLimits

ONE_WAY_LATENCY_MS: Final = 1
CONNECT_TIMEOUT_MS: Final = 400
HTTP_UNAVAILABLE: Final = 503
OPERATOR_TOPIC: Final = 'keyed.op'
# `lost` and `late` do not apply to reads of the store.
READ_ONLY_PATHS: Final = ('/v1/log-read', '/v1/log-newest', '/v1/log-owners')


class Request(NamedTuple):
    """A call as its receiver sees it, and the VM that makes it."""

    method: str
    path: str
    query: dict[str, str]
    headers: Mapping[str, str]
    body: bytes
    origin: str = ''


class CallTimeouts(NamedTuple):
    """Limits in ms: wait for a response, and transfer of its body."""

    response_ms: int
    total_ms: int


Handler = Callable[[Request], Awaitable[Reply]]


@final
class EmulatedNetwork:
    """Deliver calls to handlers and inject the configured faults.

    `cuts` holds pairs of VM and address (or `*`) without connectivity,
    `refusing` pairs of VM (or `*`) and address whose calls get status 503.
    By address, `lost` is the share of responses that are dropped, `broken` the
    share whose connection is closed instead, `late` the
    share of calls that get no response and are executed after a random delay
    (share, shortest and longest delay in s), and `slow` the delay in ms of
    each response. `bytes_per_s` limits the links of VMs by name. `frozen` VMs
    neither send nor receive until they are thawed; what was held back is then
    delivered. `failing_reads` gives by VM (or `*`) the status of its reads of the
    operators' stream; with NO_ANSWER they time out. `channels` limits the channels
    to an address.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without handlers and faults."""
        self.rng = rng
        self.handlers: dict[str, Handler] = {}
        self.vms_by_address: dict[str, str] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.refusing: set[tuple[str, str]] = set()
        self.lost: dict[str, float] = {}
        self.broken: dict[str, float] = {}
        self.late: dict[str, tuple[float, float, float]] = {}
        self.slow: dict[str, int] = {}
        self.bytes_per_s: dict[str, float] = {}
        self.frozen: dict[str, asyncio.Event] = {}
        self.failing_reads: dict[str, int] = {}
        self.channels = ChannelLimits()
        self.running_calls: set[asyncio.Task[object]] = set()
        # Calls in progress go on while the process of their origin is frozen.
        self.context = copy_context()

    def listen(self, address: str, vm: str, handler: Handler) -> None:
        """Register the handler of an address of a VM."""
        self.handlers[address] = handler
        self.vms_by_address[address] = vm

    def freeze(self, vm: str) -> None:
        """Hold back all calls from and to a VM."""
        self.frozen[vm] = asyncio.Event()

    def thaw(self, vm: str) -> None:
        """Deliver everything that was held back, at once."""
        thawed = self.frozen.pop(vm, None)
        if thawed is not None:
            thawed.set()

    async def _wait_until_thawed(self, vm: str) -> None:
        thawed = self.frozen.get(vm)
        if thawed is not None:
            await thawed.wait()

    def is_cut(self, origin: str, address: str) -> bool:
        """Return whether a VM and an address have no connectivity."""
        vm = self.vms_by_address.get(address, '')
        pairs = (
            (origin, address),
            (origin, vm),
            (origin, '*'),
            (vm, origin),
            ('*', vm),
            ('*', address),
        )
        return any(pair in self.cuts for pair in pairs)

    async def call(
        self,
        origin: str,
        address: str,
        request: Request,
        timeouts: CallTimeouts,
    ) -> Reply:
        """Deliver one call and return its response."""
        await self._wait_until_thawed(origin)
        if self._is_refusing(origin, address):
            return await self._refuse()
        if self.is_cut(origin, address):
            return await self._fail_by_timeout(timeouts.response_ms)
        status = self.failing_status(origin, request)
        if status is not None:
            await _sleep_ms(
                timeouts.response_ms
                if status == NO_ANSWER
                else ONE_WAY_LATENCY_MS * 2
            )
            return Reply(status)
        return await self._deliver(origin, address, request, timeouts)

    async def _deliver(
        self,
        origin: str,
        address: str,
        request: Request,
        timeouts: CallTimeouts,
    ) -> Reply:
        await _sleep_ms(ONE_WAY_LATENCY_MS)
        timeout_ms = timeouts.response_ms
        reply = await self._await_reply(address, request, timeout_ms, origin)
        if reply is None or self.is_cut(origin, address):
            await _sleep_ms(timeout_ms)
            return Reply(NO_ANSWER)
        link_bytes_per_s = self.bytes_per_s.get(origin)
        transfer_ms = (
            len(reply.raw) * MS_PER_SECOND / link_bytes_per_s
            if link_bytes_per_s
            else 0
        )
        await _sleep_ms(
            min(ONE_WAY_LATENCY_MS + transfer_ms, timeouts.total_ms)
        )
        return Reply(NO_ANSWER) if transfer_ms > timeouts.total_ms else reply

    async def _await_reply(
        self,
        address: str,
        request: Request,
        timeout_ms: int,
        origin: str,
    ) -> Reply | None:
        task = asyncio.get_running_loop().create_task(
            self.execute(address, request), context=self.context.copy()
        )
        self.running_calls.add(task)
        task.add_done_callback(self.running_calls.discard)
        done, _ = await asyncio.wait({task}, timeout=timeout_ms / MS_PER_SECOND)
        await self._wait_until_thawed(origin)
        return task.result() if done else Reply(NO_ANSWER)

    def failing_status(self, origin: str, request: Request) -> int | None:
        """Return the status of a read that is to fail, else None."""
        if request.query.get('topic') != OPERATOR_TOPIC:
            return None
        for vm in (origin, '*'):
            if vm in self.failing_reads:
                return self.failing_reads[vm]
        return None

    def _is_refusing(self, origin: str, address: str) -> bool:
        pairs = {(origin, address), ('*', address)}
        return not pairs.isdisjoint(self.refusing)

    async def _refuse(self) -> Reply:
        await _sleep_ms(ONE_WAY_LATENCY_MS * 2)
        return Reply(HTTP_UNAVAILABLE)

    async def _fail_by_timeout(self, timeout_ms: int) -> Reply:
        # Half of the calls use an open connection, on which they may have been
        # received; the others fail to connect and were certainly not sent.
        opens_connection = self.rng.choice((True, False))
        await _sleep_ms(
            min(CONNECT_TIMEOUT_MS, timeout_ms)
            if opens_connection
            else timeout_ms
        )
        return Reply(NOT_SENT if opens_connection else NO_ANSWER)

    async def execute(self, address: str, request: Request) -> Reply | None:
        """Call the handler with the faults of its address.

        Return None if the response is lost.
        """
        handler = self.handlers.get(address)
        if handler is None:
            return Reply(NOT_SENT)
        await self._wait_until_thawed(self.vms_by_address.get(address, ''))
        is_lossy = not request.path.startswith(READ_ONLY_PATHS)
        share, min_delay_s, max_delay_s = self.late.get(address, (0, 0, 0))
        if is_lossy and self.rng.random() < share:
            await asyncio.sleep(self.rng.uniform(min_delay_s, max_delay_s))
            await handler(request)
            return None
        reply = await handler(request)
        await _sleep_ms(self.slow.get(address, 0))
        if is_lossy and self.rng.random() < self.lost.get(address, 0):
            return None
        broken = self.broken.get(address, 0)
        if broken and is_lossy and self.rng.random() < broken:
            return Reply(NO_ANSWER)
        return reply


@final
class NetCaller:
    """HTTP client of one VM on the emulated network."""

    def __init__(self, net: EmulatedNetwork, vm: str) -> None:
        """Create the client of a VM."""
        self.net = net
        self.vm = vm
        self.channels = net.channels.add_pool()

    async def call(
        self,
        method: str,
        url: str,
        timeout_ms: int,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        longest_ms: int = 0,
    ) -> Reply:
        """Make one call without retries.

        `timeout_ms` limits the wait for a response, `longest_ms` the transfer
        of its body if that is longer.
        """
        parts = urlsplit(url)
        request = Request(
            method,
            parts.path,
            dict(parse_qsl(parts.query)),
            headers or {},
            body or b'',
            self.vm,
        )
        timeouts = CallTimeouts(timeout_ms, max(timeout_ms, longest_ms))
        if parts.netloc in self.net.channels.limits:
            return await self._call_on_channel(parts.netloc, request, timeouts)
        return await self.net.call(self.vm, parts.netloc, request, timeouts)

    async def _call_on_channel(
        self, address: str, request: Request, timeouts: CallTimeouts
    ) -> Reply:
        try:
            async with asyncio.timeout(timeouts.response_ms / MS_PER_SECOND):
                await self.channels.wait_for_turn(address)
        except TimeoutError:
            return Reply(NOT_SENT)
        if not self.net.channels.accepts(address, self.channels):
            # The reset comes after the request was written.
            await _sleep_ms(ONE_WAY_LATENCY_MS * 2)
            return Reply(NO_ANSWER)
        self.channels.take(address)
        status = NO_ANSWER
        try:
            reply = await self.net.call(self.vm, address, request, timeouts)
            status = reply.status
        finally:
            is_answered = status not in {NO_ANSWER, NOT_SENT}
            self.channels.release(address, is_answered)
        return reply

    async def close(self) -> None:
        """Do nothing; there is no connection to close."""


async def _sleep_ms(time_ms: float) -> None:
    await asyncio.sleep(time_ms / MS_PER_SECOND)
