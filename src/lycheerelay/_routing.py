"""Pass requests on to the entry VM that should answer them."""

import random
import threading
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple, Protocol, final

from result import Err, Ok, Result

from ._clock import Clock
from ._codes import Code, Refusal
from ._http import CallError, Reply
from ._jobs import domain_of
from ._members import Members, name_of
from ._retry import RetryBudget
from ._web import Request, Response, refused

SUBMIT_TIMEOUT_MS: Final = 3000
ROUTE_TIMEOUT_MS: Final = 4000
READ_TIMEOUT_MS: Final = 1500
MIN_TRY_MS: Final = 200
SLACK_MS: Final = 1000
RETRY_AFTER_MS: Final = 1000
MAX_HOPS: Final = 3
MAX_TRIES: Final = 3
MAX_IN_FLIGHT: Final = 16
HTTP_OK: Final = 200
HTTP_NOT_FOUND: Final = 404


class Caller(Protocol):
    """Send one request to another entry VM."""

    def call(
        self,
        method: str,
        url: str,
        body: object = None,
        timeout_ms: int = 2000,
    ) -> Result[Reply, CallError]:
        """Send it once; an error leaves its effect unknown."""


class Located(NamedTuple):
    """Say who places for a job that is known here."""

    owner: str
    is_final: bool


class Directory(Protocol):
    """Answer who places for pools and jobs, as the local replica sees it."""

    def owner_of(self, workload: str) -> str:
        """Return the entry VM that places for a workload, or nothing."""

    def owners(self) -> tuple[str, ...]:
        """Return every entry VM that owns a pool of this domain."""

    def locate(self, job_id: str) -> Located | None:
        """Find a job of this domain."""


class RouterSettings(NamedTuple):
    """Name the entry VM that routes."""

    name: str
    domain: str
    seed: int = 0


@final
class Router:
    """Choose between answering here and passing a request on.

    A refusal made here never says `not_run`: an earlier request with the
    same id may have been kept elsewhere.
    """

    def __init__(
        self,
        settings: RouterSettings,
        directory: Directory,
        members: Members,
        caller: Caller,
        clock: Clock,
    ) -> None:
        """Route for one node."""
        self.settings = settings
        self.directory = directory
        self.members = members
        self.caller = caller
        self.clock = clock
        self.random = random.Random(settings.seed)
        self.budget = RetryBudget()
        self.lock = threading.Lock()
        self.in_flight: Counter[str] = Counter()
        self.crowded = 0

    def submit(
        self,
        request: Request,
        job_id: str,
        workload: str,
    ) -> Response | None:
        """Pass a submission on; None means to answer it here."""
        if domain_of(job_id) != self.settings.domain:
            return self._to_domain(request, domain_of(job_id))
        owner = self.directory.owner_of(workload)
        return self._to_owner(request, owner)

    def cancel(self, request: Request, job_id: str) -> Response | None:
        """Pass a cancellation on; None means to answer it here."""
        if domain_of(job_id) != self.settings.domain:
            return self._to_domain(request, domain_of(job_id))
        located = self.directory.locate(job_id)
        if located is None:
            return self._ask_owners(request)
        return self._to_owner(request, located.owner)

    def read(self, request: Request, job_id: str) -> Response | None:
        """Pass a read on; None means to answer it from the replica here."""
        if domain_of(job_id) != self.settings.domain:
            return self._to_domain(request, domain_of(job_id))
        located = self.directory.locate(job_id)
        if located is None:
            return self._ask_owners(request)
        if located.is_final:
            return None
        return self._ask(request, located.owner)

    def time_left(self, request: Request, limit_ms: int) -> int:
        """Return how long an answer may take here."""
        return min(request.query_int('left_ms', limit_ms), limit_ms)

    def _to_owner(self, request: Request, owner: str) -> Response | None:
        address = self._address_of(owner)
        if address is None or not self._may_hop(request):
            return None
        if not self.members.is_alive(owner):
            return _no_owner(f'owner {owner} is silent or leaving')
        return self._pass_on(request, (address,), f'owner {owner}')

    def _to_domain(self, request: Request, domain: str) -> Response:
        if request.query_int('hop', 0) > 0:
            detail = f'failure domain {domain} is not served here'
            return _no_owner(detail)
        names = list(self.members.alive_in(domain))
        self.random.shuffle(names)
        addresses = [self._address_of(name) for name in names[:MAX_TRIES]]
        known = tuple(address for address in addresses if address)
        return self._pass_on(request, known, f'failure domain {domain}')

    def _ask_owners(self, request: Request) -> Response | None:
        for owner in self.directory.owners()[:MAX_TRIES]:
            found = self._ask(request, owner)
            if found is not None and found.status != HTTP_NOT_FOUND:
                return found
        return None

    def _ask(self, request: Request, owner: str) -> Response | None:
        address = self._address_of(owner)
        if address is None or not self._may_hop(request):
            return None
        if not self.members.is_alive(owner):
            return None
        short = request._replace(query={**request.query, 'wait_ms': '0'})
        self._count_first()
        reply = self._call(short, address, READ_TIMEOUT_MS)
        if isinstance(reply, Err) or reply.ok_value.status >= 500:
            return None
        return _response(reply.ok_value)

    def _pass_on(
        self,
        request: Request,
        addresses: Sequence[str],
        where: str,
    ) -> Response:
        wait_ms = request.query_int('wait_ms', 0)
        limit_ms = self.time_left(request, ROUTE_TIMEOUT_MS) + wait_ms
        until_ms = self.clock.now_ms() + limit_ms
        reason = 'no entry VM is known'
        self._count_first()
        for position, address in enumerate(addresses):
            left_ms = until_ms - self.clock.now_ms()
            if position and not self._may_repeat(left_ms):
                break
            tries = len(addresses) - position
            reply = self._call(request, address, max(left_ms // tries, 1))
            if isinstance(reply, Ok):
                return _response(reply.ok_value)
            reason = reply.err_value.reason
        return _no_owner(f'{where}: {reason}')

    def _may_repeat(self, left_ms: int) -> bool:
        if left_ms < MIN_TRY_MS:
            return False
        with self.lock:
            return self.budget.may_rerun(self.clock.now_ms())

    def _count_first(self) -> None:
        with self.lock:
            self.budget.count_first()

    def _call(
        self,
        request: Request,
        address: str,
        timeout_ms: int,
    ) -> Result[Reply, CallError]:
        hop = request.query_int('hop', 0) + 1
        wait_ms = min(request.query_int('wait_ms', 0), timeout_ms)
        left_ms = max(timeout_ms - SLACK_MS - wait_ms, MIN_TRY_MS)
        query = f'hop={hop}&left_ms={left_ms}'
        if wait_ms:
            query = f'{query}&wait_ms={max(wait_ms - SLACK_MS, 0)}'
        url = f'http://{address}{request.path}?{query}'
        if not self._enter(address):
            return Err(CallError(url, 'too many requests wait for it'))
        try:
            return self.caller.call(
                request.method,
                url,
                request.body,
                timeout_ms,
            )
        finally:
            self._leave(address)

    def _enter(self, address: str) -> bool:
        # A node that hangs must not take up every thread of this one.
        with self.lock:
            if self.in_flight[address] >= MAX_IN_FLIGHT:
                self.crowded += 1
                return False
            self.in_flight[address] += 1
            return True

    def _leave(self, address: str) -> None:
        with self.lock:
            self.in_flight[address] -= 1

    def _may_hop(self, request: Request) -> bool:
        return request.query_int('hop', 0) < MAX_HOPS

    def _address_of(self, owner: str) -> str | None:
        name = name_of(owner)
        if not name or name == self.settings.name:
            return None
        return self.members.address_of(name)


def unique(names: Iterable[str]) -> tuple[str, ...]:
    """Return each name once, in order."""
    return tuple(dict.fromkeys(names))


def _response(reply: Reply) -> Response:
    body = reply.body
    retry_ms = body.get('retry_after_ms', 0) if isinstance(body, dict) else 0
    return Response(reply.status, body, retry_after_ms=retry_ms)


def _no_owner(detail: str) -> Response:
    return refused(
        Refusal(Code.NO_OWNER, detail, retry_after_ms=RETRY_AFTER_MS),
    )
