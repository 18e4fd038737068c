"""Call the entry VMs as a caller does, typed and with bounded retries."""

import random
import time
from collections.abc import Callable
from typing import Any, Final, NamedTuple, TypeVar, final
from urllib.parse import urlencode

from result import Err, Ok, Result

from ._clock import MS_PER_SECOND, Clock
from ._codec import Json, from_json
from ._codes import Code, Refusal
from ._explain import Explanation
from ._http import CallError, HttpCaller, Reply
from ._jobs import JobSpec
from ._retry import RetryBudget
from ._views import JobList, JobView, Receipt

T = TypeVar('T')

MAX_POLL_MS: Final = 15_000
BACKOFF_MS: Final = 200
MAX_BACKOFF_MS: Final = 5000
HTTP_ERROR: Final = 400
# After these, another entry VM may serve the same request at once.
TRY_NEXT: Final = frozenset(
    (Code.UNREACHABLE, Code.DRAINING, Code.NOT_READY, Code.NO_OWNER),
)
TRY_LATER: Final = TRY_NEXT | frozenset(
    (
        Code.NOT_KEPT,
        Code.OVERLOADED,
        Code.QUOTA_EXCEEDED,
        Code.TIMEOUT,
        Code.INTERNAL,
    ),
)


class ClientSettings(NamedTuple):
    """Name the entry VMs to call and bound the calls in time."""

    addresses: tuple[str, ...]
    call_timeout_ms: int = 5000
    patience_ms: int = 30_000
    seed: int = 0


class JobId(NamedTuple):
    """Hold a job id that an entry VM handed out."""

    job_id: str
    code: int = 0


class Call(NamedTuple):
    """Describe one request and the type of its answer."""

    method: str
    path: str
    kind: Any
    body: object = None
    wait_ms: int = 0


@final
class Client:
    """Repeat requests under one id until they have an answer.

    A repeated submission is harmless: its id makes it the same job.
    """

    def __init__(
        self,
        settings: ClientSettings,
        clock: Clock,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Call the entry VMs in turn, from one that the seed draws."""
        self.settings = settings
        self.clock = clock
        self.sleep = sleep
        self.caller = HttpCaller()
        self.budget = RetryBudget()
        draw = random.Random(settings.seed)
        self.position = draw.randrange(max(len(settings.addresses), 1))

    def new_job_id(self) -> Result[str, Refusal]:
        """Ask for a fresh job id."""
        handed = self._request(Call('POST', '/v1/ids', JobId))
        return handed.map(_id_of)

    def submit(self, spec: JobSpec) -> Result[Receipt, Refusal]:
        """Submit a job; repeating it under its id is harmless."""
        return self._request(Call('POST', '/v1/jobs', Receipt, spec))

    def read(self, job_id: str, wait_ms: int = 0) -> Result[JobView, Refusal]:
        """Read a job, waiting up to a time for its complete answer."""
        path = f'/v1/jobs/{job_id}'
        if wait_ms:
            path = f'{path}?wait_ms={wait_ms}'
        return self._request(Call('GET', path, JobView, wait_ms=wait_ms))

    def wait(
        self,
        job_id: str,
        timeout_ms: int,
        progress: Callable[[JobView], None] | None = None,
    ) -> Result[JobView, Refusal]:
        """Wait for the complete answer of a job."""
        until_ms = self.clock.now_ms() + timeout_ms
        while True:
            left_ms = max(until_ms - self.clock.now_ms(), 0)
            started_ms = self.clock.now_ms()
            seen = self.read(job_id, min(left_ms, MAX_POLL_MS))
            if isinstance(seen, Err) or seen.ok_value.complete:
                return seen
            if progress is not None:
                progress(seen.ok_value)
            if self.clock.now_ms() >= until_ms:
                detail = f'job {job_id} is {seen.ok_value.state} still'
                return Err(Refusal(Code.TIMEOUT, detail))
            # An entry VM with too many waiting callers answers at once.
            if self.clock.now_ms() - started_ms < BACKOFF_MS:
                self._pause(BACKOFF_MS)

    def cancel(self, job_id: str) -> Result[Receipt, Refusal]:
        """Cancel a job."""
        return self._request(
            Call('POST', f'/v1/jobs/{job_id}/cancel', Receipt),
        )

    def explain(self, job_id: str) -> Result[Explanation, Refusal]:
        """Ask why a job waits, moved or ended as it did."""
        path = f'/v1/jobs/{job_id}/explain'
        return self._request(Call('GET', path, Explanation))

    def list_team(
        self,
        team: str,
        state: str = '',
        limit: int = 100,
    ) -> Result[JobList, Refusal]:
        """List the newest jobs of a team."""
        query = urlencode({'limit': limit, 'state': state})
        return self._request(
            Call('GET', f'/v1/teams/{team}/jobs?{query}', JobList),
        )

    def _request(self, call: Call) -> Result[Any, Refusal]:
        until_ms = self.clock.now_ms() + self.settings.patience_ms
        self.budget.count_first()
        tries = 0
        while True:
            outcome = self._try(call)
            tries += 1
            if isinstance(outcome, Ok):
                return outcome
            refusal = outcome.err_value
            delay_ms = self._delay_ms(refusal, tries)
            late = self.clock.now_ms() + delay_ms >= until_ms
            if refusal.code not in TRY_LATER or late:
                return outcome
            if not self.budget.may_rerun(self.clock.now_ms()):
                return outcome
            self.position += 1
            self._pause(delay_ms)

    def _delay_ms(self, refusal: Refusal, tries: int) -> int:
        fresh = tries < len(self.settings.addresses)
        if fresh and refusal.code in TRY_NEXT:
            return 0
        if refusal.retry_after_ms:
            return refusal.retry_after_ms
        return min(BACKOFF_MS << min(tries, 10), MAX_BACKOFF_MS)

    def _try(self, call: Call) -> Result[Any, Refusal]:
        addresses = self.settings.addresses
        if not addresses:
            detail = 'no entry VM is named'
            return Err(Refusal(Code.BAD_SETTING, detail, not_run=True))
        address = addresses[self.position % len(addresses)]
        timeout_ms = self.settings.call_timeout_ms + call.wait_ms
        url = f'http://{address}{call.path}'
        reply = self.caller.call(call.method, url, call.body, timeout_ms)
        if isinstance(reply, Err):
            return Err(_unreachable(address, reply.err_value))
        return read_reply(call.kind, reply.ok_value)

    def _pause(self, delay_ms: int) -> None:
        if delay_ms:
            self.sleep(delay_ms / MS_PER_SECOND)


def read_reply(kind: Any, reply: Reply) -> Result[Any, Refusal]:
    """Read the body of a reply as an answer or as a refusal."""
    if reply.status >= HTTP_ERROR:
        return Err(read_refusal(reply))
    parsed = from_json(kind, _known_fields(kind, reply.body))
    if isinstance(parsed, Err):
        wrong = parsed.err_value
        detail = f'answer: {wrong.path}: expected {wrong.expected}'
        return Err(Refusal(Code.UNREACHABLE, detail))
    return Ok(parsed.ok_value)


def read_refusal(reply: Reply) -> Refusal:
    """Read a refusal; an answer without a code leaves its effect unknown."""
    body = reply.body if isinstance(reply.body, dict) else {}
    try:
        code = Code(body.get('code', 0))
    except ValueError:
        code = Code.OK
    if code is Code.OK:
        return Refusal(Code.UNREACHABLE, f'HTTP status {reply.status}')
    return Refusal(
        code,
        str(body.get('detail', '')),
        not_run=body.get('not_run') is True,
        retry_after_ms=_whole(body.get('retry_after_ms')),
    )


def _known_fields(kind: Any, body: Json) -> Json:
    # A newer entry VM may say more than this client knows.
    if not isinstance(body, dict):
        return body
    return {name: body[name] for name in kind._fields if name in body}


def _whole(item: Json) -> int:
    return max(item, 0) if isinstance(item, int) else 0


def _id_of(handed: JobId) -> str:
    return handed.job_id


def _unreachable(address: str, error: CallError) -> Refusal:
    return Refusal(Code.UNREACHABLE, f'entry VM {address}: {error.reason}')
