"""Inject faults into the requests that a stand-in serves."""

import errno
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Final, final

from lycheerelay._clock import MS_PER_SECOND, Clock
from lycheerelay._codec import Json
from lycheerelay._web import Request, Response, Route, route

HTTP_UNAVAILABLE: Final = 503
HTTP_BAD_REQUEST: Final = 400
EVERY_REQUEST: Final = -1

CustomSwitch = Callable[[Json], None]


@dataclass(slots=True)
class Faults:
    """Fault switches that every stand-in has.

    `match` limits them to requests whose "METHOD path" contains this text,
    `every` to each n-th of those. `lose_replies`, `duplicates` and `refusals`
    count down to zero; -1 applies to all requests. `outage` drops requests
    before they are handled, `lose_replies` drops them afterwards.
    """

    match: str = ''
    every: int = 1
    delay_ms: int = 0
    lose_replies: int = 0
    duplicates: int = 0
    refusals: int = 0
    outage: bool = False


class InvalidSwitchError(Exception):
    """A switch does not exist or its value has the wrong type."""


@final
class FaultSwitches:
    """Apply the faults of one stand-in and set them over HTTP."""

    def __init__(self, clock: Clock, custom: dict[str, CustomSwitch]) -> None:
        """Start without faults; `custom` adds switches of one stand-in."""
        self.clock = clock
        self.custom = custom | {'pause_ms': self._pause, 'clear': self._clear}
        self.faults = Faults()
        self.paused_until_ms = 0
        self.matched_requests = 0
        self.lock = threading.Condition()

    def wrap(self, routes: tuple[Route, ...]) -> tuple[Route, ...]:
        """Return the routes with faults, plus the route that sets switches."""
        wrapped = (
            entry._replace(handler=self._wrap_handler(entry.handler))
            for entry in routes
        )
        return (*wrapped, route('POST', '/switch', self.serve))

    def serve(self, request: Request) -> Response:
        """Set switches from the JSON object of a request."""
        try:
            self.set(**request.body)
        except (InvalidSwitchError, TypeError, KeyError) as error:
            return Response(HTTP_BAD_REQUEST, {'detail': str(error)})
        return Response(200, {'faults': self.current_settings()})

    def set(self, **switches: Json) -> None:
        """Set switches by name; `pause_ms` and `clear` exist everywhere.

        Raise InvalidSwitchError for an unknown name or a wrong type.
        """
        for name, setting in switches.items():
            self._set_one(name, setting)

    def current_settings(self) -> dict[str, Json]:
        """Return the value of each common switch by name."""
        return {name: getattr(self.faults, name) for name in FAULT_NAMES}

    def _set_one(self, name: str, setting: Json) -> None:
        if name in self.custom:
            self.custom[name](setting)
            return
        if name not in FAULT_NAMES:
            known = ', '.join((*FAULT_NAMES, *self.custom))
            raise InvalidSwitchError(
                f'unknown switch {name}, expected one of: {known}'
            )
        kind = FAULT_KINDS[name]
        if not isinstance(setting, kind):
            raise InvalidSwitchError(
                f'switch {name} is {setting!r}, expected {kind.__name__}'
            )
        setattr(self.faults, name, setting)

    def _clear(self, _: Json) -> None:
        self._pause(0)
        self.faults = Faults()

    def _pause(self, for_ms: int) -> None:
        with self.lock:
            self.paused_until_ms = self.clock.now_ms() + for_ms
            self.lock.notify_all()

    def _wrap_handler(
        self,
        handler: Callable[[Request], Response],
    ) -> Callable[[Request], Response]:
        def handle(request: Request) -> Response:
            self._wait_while_paused()
            if not self._applies_to(request):
                return handler(request)
            return self._handle_with_faults(handler, request)

        return handle

    def _handle_with_faults(
        self,
        handler: Callable[[Request], Response],
        request: Request,
    ) -> Response:
        if self.faults.outage:
            raise _connection_reset()
        if self._consume('refusals'):
            return Response(HTTP_UNAVAILABLE, {'detail': 'refused by switch'})
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / MS_PER_SECOND)
        if self._consume('duplicates'):
            handler(request)
        response = handler(request)
        if self._consume('lose_replies'):
            raise _connection_reset()
        return response

    def _wait_while_paused(self) -> None:
        with self.lock:
            while self.clock.now_ms() < self.paused_until_ms:
                remaining_ms = self.paused_until_ms - self.clock.now_ms()
                self.lock.wait(remaining_ms / MS_PER_SECOND)

    def _applies_to(self, request: Request) -> bool:
        if self.faults.match not in f'{request.method} {request.path}':
            return False
        with self.lock:
            self.matched_requests += 1
            return self.matched_requests % self.faults.every == 0

    def _consume(self, name: str) -> bool:
        with self.lock:
            remaining: int = getattr(self.faults, name)
            if remaining > 0:
                setattr(self.faults, name, remaining - 1)
        return remaining != 0


FAULT_KINDS: Final = {
    switch.name: switch.default.__class__ for switch in fields(Faults)
}
FAULT_NAMES: Final = tuple(FAULT_KINDS)


def _connection_reset() -> ConnectionResetError:
    return ConnectionResetError(errno.ECONNRESET, 'dropped by switch')
