"""Provide a typed client of the public API with bounded retries."""

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
INITIAL_BACKOFF_MS: Final = 200
MAX_BACKOFF_MS: Final = 5000
MIN_ERROR_STATUS: Final = 400
# Another entry VM may serve the same request without delay.
RETRY_ELSEWHERE: Final = frozenset(
    (Code.UNREACHABLE, Code.DRAINING, Code.NOT_READY, Code.NO_OWNER),
)
RETRYABLE: Final = RETRY_ELSEWHERE | frozenset(
    (
        Code.NOT_KEPT,
        Code.OVERLOADED,
        Code.QUOTA_EXCEEDED,
        Code.TIMEOUT,
        Code.INTERNAL,
    ),
)


class ClientSettings(NamedTuple):
    """Hold the entry VM addresses and the time limits of calls.

    `patience_ms` limits the time in which a request is retried.
    """

    addresses: tuple[str, ...]
    call_timeout_ms: int = 5000
    patience_ms: int = 30_000
    seed: int = 0


class JobId(NamedTuple):
    """Hold a job id issued by an entry VM."""

    job_id: str
    code: int = 0


class Call(NamedTuple):
    """Describe a request and the type of its reply."""

    method: str
    path: str
    kind: Any
    body: object = None
    wait_ms: int = 0


@final
class Client:
    """Call the entry VMs and retry requests that have no answer.

    Submissions are idempotent: the same job id always means the same job.
    """

    def __init__(
        self,
        settings: ClientSettings,
        clock: Clock,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Initialize the client; the seed selects the first entry VM."""
        self.settings = settings
        self.clock = clock
        self.sleep = sleep
        self.caller = HttpCaller()
        self.budget = RetryBudget()
        rng = random.Random(settings.seed)
        self.address_index = rng.randrange(max(len(settings.addresses), 1))

    def new_job_id(self) -> Result[str, Refusal]:
        """Request a new job id."""
        issued = self._request(Call('POST', '/v1/ids', JobId))
        return issued.map(_job_id_of)

    def submit(self, spec: JobSpec) -> Result[Receipt, Refusal]:
        """Submit a job; it is safe to repeat this with the same job id."""
        return self._request(Call('POST', '/v1/jobs', Receipt, spec))

    def read(self, job_id: str, wait_ms: int = 0) -> Result[JobView, Refusal]:
        """Return a job, waiting up to `wait_ms` until it is complete."""
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
        """Wait until a job is complete, calling `progress` after each poll."""
        until_ms = self.clock.now_ms() + timeout_ms
        while True:
            left_ms = max(until_ms - self.clock.now_ms(), 0)
            started_ms = self.clock.now_ms()
            view = self.read(job_id, min(left_ms, MAX_POLL_MS))
            if isinstance(view, Err) or view.ok_value.complete:
                return view
            if progress is not None:
                progress(view.ok_value)
            if self.clock.now_ms() >= until_ms:
                detail = f'job {job_id} is still {view.ok_value.state}'
                return Err(Refusal(Code.TIMEOUT, detail))
            # An entry VM with too many waiting callers replies immediately.
            if self.clock.now_ms() - started_ms < INITIAL_BACKOFF_MS:
                self._sleep_ms(INITIAL_BACKOFF_MS)

    def cancel(self, job_id: str) -> Result[Receipt, Refusal]:
        """Cancel a job."""
        return self._request(
            Call('POST', f'/v1/jobs/{job_id}/cancel', Receipt),
        )

    def explain(self, job_id: str) -> Result[Explanation, Refusal]:
        """Return why a job waits, was preempted or ended."""
        path = f'/v1/jobs/{job_id}/explain'
        return self._request(Call('GET', path, Explanation))

    def list_team(
        self,
        team: str,
        state: str = '',
        limit: int = 100,
    ) -> Result[JobList, Refusal]:
        """Return the newest jobs of a team."""
        query = urlencode({'limit': limit, 'state': state})
        return self._request(
            Call('GET', f'/v1/teams/{team}/jobs?{query}', JobList),
        )

    def _request(self, call: Call) -> Result[Any, Refusal]:
        until_ms = self.clock.now_ms() + self.settings.patience_ms
        self.budget.count_first()
        attempts = 0
        while True:
            outcome = self._send_once(call)
            attempts += 1
            if isinstance(outcome, Ok):
                return outcome
            refusal = outcome.err_value
            delay_ms = self._retry_delay_ms(refusal, attempts)
            is_too_late = self.clock.now_ms() + delay_ms >= until_ms
            if refusal.code not in RETRYABLE or is_too_late:
                return outcome
            if not self.budget.may_rerun(self.clock.now_ms()):
                return outcome
            self.address_index += 1
            self._sleep_ms(delay_ms)

    def _retry_delay_ms(self, refusal: Refusal, attempts: int) -> int:
        has_untried_address = attempts < len(self.settings.addresses)
        if has_untried_address and refusal.code in RETRY_ELSEWHERE:
            return 0
        if refusal.retry_after_ms:
            return refusal.retry_after_ms
        return min(INITIAL_BACKOFF_MS << min(attempts, 10), MAX_BACKOFF_MS)

    def _send_once(self, call: Call) -> Result[Any, Refusal]:
        addresses = self.settings.addresses
        if not addresses:
            detail = 'no entry VM address is given'
            return Err(Refusal(Code.BAD_SETTING, detail, not_run=True))
        address = addresses[self.address_index % len(addresses)]
        timeout_ms = self.settings.call_timeout_ms + call.wait_ms
        url = f'http://{address}{call.path}'
        reply = self.caller.call(call.method, url, call.body, timeout_ms)
        if isinstance(reply, Err):
            return Err(_unreachable(address, reply.err_value))
        return read_reply(call.kind, reply.ok_value)

    def _sleep_ms(self, delay_ms: int) -> None:
        if delay_ms:
            self.sleep(delay_ms / MS_PER_SECOND)


def read_reply(kind: Any, reply: Reply) -> Result[Any, Refusal]:
    """Decode the body of a reply into the given type or a refusal."""
    if reply.status >= MIN_ERROR_STATUS:
        return Err(read_refusal(reply))
    parsed = from_json(kind, _known_fields(kind, reply.body))
    if isinstance(parsed, Err):
        error = parsed.err_value
        detail = f'answer: {error.path}: expected {error.expected}'
        return Err(Refusal(Code.UNREACHABLE, detail))
    return Ok(parsed.ok_value)


def read_refusal(reply: Reply) -> Refusal:
    """Decode a refusal; a reply without a code becomes UNREACHABLE."""
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
        retry_after_ms=_non_negative_int(body.get('retry_after_ms')),
    )


def _known_fields(kind: Any, body: Json) -> Json:
    # Newer entry VMs may send fields that this client does not know.
    if not isinstance(body, dict):
        return body
    return {name: body[name] for name in kind._fields if name in body}


def _non_negative_int(item: Json) -> int:
    return max(item, 0) if isinstance(item, int) else 0


def _job_id_of(issued: JobId) -> str:
    return issued.job_id


def _unreachable(address: str, error: CallError) -> Refusal:
    return Refusal(Code.UNREACHABLE, f'entry VM {address}: {error.reason}')
