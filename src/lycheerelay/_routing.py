"""Forward requests to the entry VM that is responsible for them."""

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
MIN_CALL_TIMEOUT_MS: Final = 200
# Subtracted at each hop so that the reply arrives before the caller's timeout.
REPLY_MARGIN_MS: Final = 1000
RETRY_AFTER_MS: Final = 1000
MAX_HOPS: Final = 3
MAX_ATTEMPTS: Final = 3
MAX_IN_FLIGHT: Final = 16
HTTP_OK: Final = 200
HTTP_NOT_FOUND: Final = 404


class Caller(Protocol):
    """Send requests to other entry VMs."""

    def call(
        self,
        method: str,
        url: str,
        body: object = None,
        timeout_ms: int = 2000,
    ) -> Result[Reply, CallError]:
        """Send one request; after an error its effect is unknown."""


class JobLocation(NamedTuple):
    """Hold the owner of a known job and whether the job is final."""

    owner: str
    is_final: bool


class Directory(Protocol):
    """Look up the owners of pools and jobs in the local replica."""

    def owner_of(self, workload: str) -> str:
        """Return the owner of a workload's pool, or '' without an owner."""

    def owners(self) -> tuple[str, ...]:
        """Return every entry VM that owns a pool of this domain."""

    def locate(self, job_id: str) -> JobLocation | None:
        """Return where a job of this domain is, or None if it is unknown."""


class RouterSettings(NamedTuple):
    """Identify the entry VM that routes; the seed orders its choices."""

    name: str
    domain: str
    seed: int = 0


@final
class Router:
    """Decide whether to answer a request locally or to forward it.

    Refusals created here never set `not_run`: an earlier request with the
    same id may already have been recorded by another entry VM.
    """

    def __init__(
        self,
        settings: RouterSettings,
        directory: Directory,
        members: Members,
        caller: Caller,
        clock: Clock,
    ) -> None:
        """Initialize the router of one node."""
        self.settings = settings
        self.directory = directory
        self.members = members
        self.caller = caller
        self.clock = clock
        self.random = random.Random(settings.seed)
        self.budget = RetryBudget()
        self.lock = threading.Lock()
        self.in_flight: Counter[str] = Counter()
        self.rejected_calls = 0

    def submit(
        self,
        request: Request,
        job_id: str,
        workload: str,
    ) -> Response | None:
        """Forward a submission; return None to answer it locally."""
        if domain_of(job_id) != self.settings.domain:
            return self._forward_to_domain(request, domain_of(job_id))
        owner = self.directory.owner_of(workload)
        return self._forward_to_owner(request, owner)

    def cancel(self, request: Request, job_id: str) -> Response | None:
        """Forward a cancellation; return None to answer it locally."""
        if domain_of(job_id) != self.settings.domain:
            return self._forward_to_domain(request, domain_of(job_id))
        location = self.directory.locate(job_id)
        if location is None:
            return self._query_owners(request)
        return self._forward_to_owner(request, location.owner)

    def read(self, request: Request, job_id: str) -> Response | None:
        """Forward a read; return None to answer it from the local replica."""
        if domain_of(job_id) != self.settings.domain:
            return self._forward_to_domain(request, domain_of(job_id))
        location = self.directory.locate(job_id)
        if location is None:
            return self._query_owners(request)
        if location.is_final:
            return None
        return self._query_owner(request, location.owner)

    def remaining_ms(self, request: Request, limit_ms: int) -> int:
        """Return the time in milliseconds in which to answer locally."""
        return min(request.query_int('left_ms', limit_ms), limit_ms)

    def _forward_to_owner(
        self, request: Request, owner: str
    ) -> Response | None:
        address = self._address_of(owner)
        if address is None or not self._has_hops_left(request):
            return None
        if not self.members.is_alive(owner):
            return _no_owner_response(
                f'owner {owner} is unresponsive or leaving',
            )
        return self._forward(request, (address,), f'owner {owner}')

    def _forward_to_domain(self, request: Request, domain: str) -> Response:
        if request.query_int('hop', 0) > 0:
            detail = f'failure domain {domain} is not served here'
            return _no_owner_response(detail)
        names = list(self.members.alive_in(domain))
        self.random.shuffle(names)
        addresses = [self._address_of(name) for name in names[:MAX_ATTEMPTS]]
        reachable = tuple(address for address in addresses if address)
        return self._forward(request, reachable, f'failure domain {domain}')

    def _query_owners(self, request: Request) -> Response | None:
        for owner in self.directory.owners()[:MAX_ATTEMPTS]:
            response = self._query_owner(request, owner)
            if response is not None and response.status != HTTP_NOT_FOUND:
                return response
        return None

    def _query_owner(self, request: Request, owner: str) -> Response | None:
        address = self._address_of(owner)
        if address is None or not self._has_hops_left(request):
            return None
        if not self.members.is_alive(owner):
            return None
        without_wait = request._replace(query={**request.query, 'wait_ms': '0'})
        self._count_first_attempt()
        reply = self._call(without_wait, address, READ_TIMEOUT_MS)
        if isinstance(reply, Err) or reply.ok_value.status >= 500:
            return None
        return _to_response(reply.ok_value)

    def _forward(
        self,
        request: Request,
        addresses: Sequence[str],
        where: str,
    ) -> Response:
        wait_ms = request.query_int('wait_ms', 0)
        limit_ms = self.remaining_ms(request, ROUTE_TIMEOUT_MS) + wait_ms
        until_ms = self.clock.now_ms() + limit_ms
        reason = 'no entry VM is known'
        self._count_first_attempt()
        for position, address in enumerate(addresses):
            left_ms = until_ms - self.clock.now_ms()
            if position and not self._may_retry(left_ms):
                break
            attempts_left = len(addresses) - position
            reply = self._call(
                request, address, max(left_ms // attempts_left, 1)
            )
            if isinstance(reply, Ok):
                return _to_response(reply.ok_value)
            reason = reply.err_value.reason
        return _no_owner_response(f'{where}: {reason}')

    def _may_retry(self, left_ms: int) -> bool:
        if left_ms < MIN_CALL_TIMEOUT_MS:
            return False
        with self.lock:
            return self.budget.may_rerun(self.clock.now_ms())

    def _count_first_attempt(self) -> None:
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
        left_ms = max(
            timeout_ms - REPLY_MARGIN_MS - wait_ms, MIN_CALL_TIMEOUT_MS
        )
        query = f'hop={hop}&left_ms={left_ms}'
        if wait_ms:
            query = f'{query}&wait_ms={max(wait_ms - REPLY_MARGIN_MS, 0)}'
        url = f'http://{address}{request.path}?{query}'
        if not self._acquire_call_slot(address):
            return Err(CallError(url, 'too many requests are in flight to it'))
        try:
            return self.caller.call(
                request.method,
                url,
                request.body,
                timeout_ms,
            )
        finally:
            self._release_call_slot(address)

    def _acquire_call_slot(self, address: str) -> bool:
        # A hanging node must not occupy all request threads of this node.
        with self.lock:
            if self.in_flight[address] >= MAX_IN_FLIGHT:
                self.rejected_calls += 1
                return False
            self.in_flight[address] += 1
            return True

    def _release_call_slot(self, address: str) -> None:
        with self.lock:
            self.in_flight[address] -= 1

    def _has_hops_left(self, request: Request) -> bool:
        return request.query_int('hop', 0) < MAX_HOPS

    def _address_of(self, owner: str) -> str | None:
        name = name_of(owner)
        if not name or name == self.settings.name:
            return None
        return self.members.address_of(name)


def unique(names: Iterable[str]) -> tuple[str, ...]:
    """Return the names without duplicates, in order of first appearance."""
    return tuple(dict.fromkeys(names))


def _to_response(reply: Reply) -> Response:
    body = reply.body
    retry_ms = body.get('retry_after_ms', 0) if isinstance(body, dict) else 0
    return Response(reply.status, body, retry_after_ms=retry_ms)


def _no_owner_response(detail: str) -> Response:
    return refused(
        Refusal(Code.NO_OWNER, detail, retry_after_ms=RETRY_AFTER_MS),
    )
