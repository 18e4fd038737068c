"""Serve the public HTTP API of an entry VM."""

import heapq
import secrets
import threading
import time
from typing import Final, final

from result import Err

from ._clock import MS_PER_SECOND
from ._codec import to_json
from ._codes import CODES, Code, Refusal
from ._commands import ReplyAccepted, ReplyRefused
from ._explain import Explanation, explain
from ._http import HttpCaller
from ._jobs import ID_SEPARATOR, JobSpec, JobState, domain_of
from ._node import Node
from ._node_directory import NodeDirectory
from ._options import suggest_name
from ._routing import SUBMIT_TIMEOUT_MS, Router, RouterSettings
from ._spec_checks import NAME, find_unconfigured, is_job_id, read_spec
from ._state import JobInfo
from ._views import JobList, JobView, Receipt, to_job_line, to_job_view
from ._web import Request, Response, Route, is_whole, refused, route

MAX_WAIT_MS: Final = 20_000
MAX_LIST_LIMIT: Final = 500
DEFAULT_LIST_LIMIT: Final = 100
ID_BYTES: Final = 9
RETRY_AFTER_MS: Final = 1000
# How long to wait for a job recorded elsewhere to reach the local replica.
REPLICA_LAG_MS: Final = 1500
REPLICA_POLL_MS: Final = 50


@final
class Api:
    """Handle the public routes of one entry VM."""

    def __init__(self, node: Node) -> None:
        """Initialize the API of one node."""
        self.node = node
        # Keep half of the threads free for requests that do not wait.
        self.wait_slots = threading.Semaphore(node.settings.http_threads // 2)
        self.router = Router(
            RouterSettings(node.settings.name, node.settings.domain),
            NodeDirectory(node),
            node.members,
            HttpCaller(),
            node.clock,
        )

    def routes(self) -> tuple[Route, ...]:
        """Return the public routes."""
        return (
            route('GET', '/healthz', self.health),
            route('GET', '/readyz', self.ready),
            route('POST', '/v1/ids', self.create_job_id),
            route('POST', '/v1/jobs', self.submit),
            route('GET', '/v1/jobs/{job_id}', self.read),
            route('POST', '/v1/jobs/{job_id}/cancel', self.cancel),
            route('GET', '/v1/jobs/{job_id}/explain', self.explain),
            route('GET', '/v1/teams/{team}/jobs', self.list_team),
        )

    def health(self, request: Request) -> Response:
        """Return success while the core thread is running."""
        if self.node.thread.is_alive():
            return Response(200, {'code': 0})
        return refused(Refusal(Code.INTERNAL, 'the core has stopped'))

    def ready(self, request: Request) -> Response:
        """Return success while this entry VM accepts jobs."""
        refusal = self._readiness_refusal()
        if refusal is not None:
            return refused(refusal)
        return Response(200, {'code': 0, 'version': self.node.policy.version})

    def create_job_id(self, request: Request) -> Response:
        """Return a new job id of this failure domain."""
        job_id = new_job_id(self.node.settings.domain)
        return Response(200, {'code': 0, 'job_id': job_id})

    def submit(self, request: Request) -> Response:
        """Accept a job locally or forward it to the owner of its pool."""
        parsed = read_spec(request.body)
        if isinstance(parsed, Err):
            return refused(parsed.err_value)
        spec = parsed.ok_value
        refusal = self._readiness_refusal() or self._configuration_refusal(spec)
        if refusal is not None:
            return refused(refusal)
        forwarded = self.router.submit(request, spec.job_id, spec.workload)
        if forwarded is not None:
            return forwarded
        left_ms = self.router.remaining_ms(request, SUBMIT_TIMEOUT_MS)
        return _outcome_response(self.node.submit(spec, left_ms))

    def read(self, request: Request) -> Response:
        """Return a job; wait up to `wait_ms` for it to become final."""
        job_id = request.parts['job_id']
        refusal = check_id(job_id) or check_whole_number(request, 'wait_ms')
        if refusal is not None:
            return refused(refusal)
        self._wait_until_final(job_id, request)
        forwarded = self.router.read(request, job_id)
        if forwarded is not None:
            return forwarded
        found = self.node.inspect(lambda: self._view(job_id))
        return (
            refused(job_not_found(job_id))
            if found is None
            else _job_response(found)
        )

    def cancel(self, request: Request) -> Response:
        """Cancel a job."""
        job_id = request.parts['job_id']
        refusal = check_id(job_id)
        if refusal is not None:
            return refused(refusal)
        forwarded = self.router.cancel(request, job_id)
        if forwarded is not None:
            return forwarded
        found = self.node.inspect(lambda: self.node.find_job(job_id))
        if found is None:
            return refused(job_not_found(job_id))
        left_ms = self.router.remaining_ms(request, SUBMIT_TIMEOUT_MS)
        return _outcome_response(
            self.node.cancel(found[0].pool, job_id, left_ms)
        )

    def explain(self, request: Request) -> Response:
        """Explain why a job waits, was preempted or ended."""
        job_id = request.parts['job_id']
        refusal = check_id(job_id)
        if refusal is not None:
            return refused(refusal)
        # Only the owner knows the placement decisions, so this request takes
        # the same route as a cancellation, not that of a read.
        forwarded = self.router.cancel(request, job_id)
        if forwarded is not None:
            return forwarded
        found = self.node.inspect(lambda: self._explain(job_id))
        if found is None:
            return refused(job_not_found(job_id))
        return Response(200, {'code': 0, **to_json(found)})

    def list_team(self, request: Request) -> Response:
        """Return the newest jobs of a team in this failure domain."""
        team = request.parts['team']
        refusal = check_whole_number(request, 'limit') or check_state(request)
        if refusal is None and not NAME.fullmatch(team):
            refusal = Refusal(Code.BAD_FIELD, f'team: got {team[:80]!r}')
        if refusal is not None:
            return refused(refusal)
        limit = min(
            request.query_int('limit', DEFAULT_LIST_LIMIT), MAX_LIST_LIMIT
        )
        job_state = request.query.get('state', '')
        found = self.node.inspect(
            lambda: self._newest_jobs(team, job_state, limit + 1)
        )
        lines = tuple(to_job_line(job) for job in found[:limit])
        job_list = JobList(0, team, lines, len(found) > limit)
        return Response(200, to_json(job_list))

    def _readiness_refusal(self) -> Refusal | None:
        # Never sets `not_run`: another entry VM may already have recorded an
        # earlier request with the same id.
        if self.node.draining:
            detail = 'this entry VM is shutting down'
            return Refusal(Code.DRAINING, detail, retry_after_ms=RETRY_AFTER_MS)
        lacks = self.node.lacks
        if lacks:
            return Refusal(Code.NOT_READY, lacks, retry_after_ms=RETRY_AFTER_MS)
        return None

    def _configuration_refusal(self, spec: JobSpec) -> Refusal | None:
        policy = self.node.policy
        if not policy.version or domain_of(spec.job_id) != self._domain:
            return None
        invalid = find_unconfigured(policy, spec)
        if invalid is None or self._is_known(spec.job_id):
            return None
        # The job may have been accepted under an earlier configuration.
        return invalid.refusal()._replace(not_run=False)

    @property
    def _domain(self) -> str:
        return self.node.settings.domain

    def _is_known(self, job_id: str) -> bool:
        return self.node.inspect(lambda: self._view(job_id)) is not None

    def _wait_until_final(self, job_id: str, request: Request) -> None:
        wait_ms = min(request.query_int('wait_ms', 0), MAX_WAIT_MS)
        if not wait_ms or domain_of(job_id) != self._domain:
            return
        if self.node.draining or not self.wait_slots.acquire(blocking=False):
            return
        try:
            self._watch(job_id, wait_ms)
        finally:
            self.wait_slots.release()

    def _watch(self, job_id: str, wait_ms: int) -> None:
        # A job just accepted by another entry VM may not have reached the
        # local replica yet.
        clock = self.node.clock
        until_ms = clock.now_ms() + wait_ms
        replica_until_ms = min(until_ms, clock.now_ms() + REPLICA_LAG_MS)
        while not self._is_known(job_id):
            if clock.now_ms() >= replica_until_ms or self.node.draining:
                return
            time.sleep(REPLICA_POLL_MS / MS_PER_SECOND)
        self.node.watch(job_id, max(until_ms - clock.now_ms(), 0))

    def _view(self, job_id: str) -> JobView | None:
        found = self.node.find_job(job_id)
        return to_job_view(found[1]) if found else None

    def _explain(self, job_id: str) -> Explanation | None:
        found = self.node.find_job(job_id)
        now_ms = self.node.clock.now_ms()
        return explain(found[0], job_id, now_ms) if found else None

    def _newest_jobs(
        self, team: str, job_state: str, count: int
    ) -> list[JobInfo]:
        jobs = (
            job
            for state in self.node.shards.values()
            for job in state.jobs.values()
            if job.spec.team == team and job_state in {'', job.state.value}
        )
        return heapq.nlargest(
            count,
            jobs,
            key=lambda job: (job.accepted_ms, job.spec.job_id),
        )


def new_job_id(domain: str) -> str:
    """Return a random job id of a failure domain."""
    return f'{domain}{ID_SEPARATOR}{secrets.token_hex(ID_BYTES)}'


def check_id(job_id: str) -> Refusal | None:
    """Return a refusal if a text is not a valid job id."""
    if is_job_id(job_id):
        return None
    detail = f'job_id: got {job_id[:80]!r}, expected DOMAIN.ID'
    return Refusal(Code.BAD_FIELD, detail)


def check_whole_number(request: Request, name: str) -> Refusal | None:
    """Return a refusal if a query field is not a whole number."""
    text = request.query.get(name, '0')
    if is_whole(text):
        return None
    detail = f'{name}: got {text[:20]!r}, expected a whole number'
    return Refusal(Code.BAD_FIELD, detail)


def check_state(request: Request) -> Refusal | None:
    """Return a refusal if the queried job state does not exist."""
    text = request.query.get('state', '')
    names = [state.value for state in JobState]
    if text in {'', *names}:
        return None
    detail = f'state: got {text[:20]!r}, expected {suggest_name(text, names)}'
    return Refusal(Code.BAD_FIELD, detail)


def job_not_found(job_id: str) -> Refusal:
    """Return the refusal for a job id that is not known here."""
    detail = f'job {job_id} is not known here; ask again'
    return Refusal(Code.NOT_FOUND, detail, retry_after_ms=RETRY_AFTER_MS)


def _outcome_response(outcome: ReplyAccepted | ReplyRefused) -> Response:
    if isinstance(outcome, ReplyRefused):
        return refused(outcome.refusal)
    receipt = Receipt(outcome.job_id, int(outcome.code), outcome.held)
    return Response(CODES[outcome.code].http, to_json(receipt))


def _job_response(view: JobView) -> Response:
    return Response(200, to_json(view))
