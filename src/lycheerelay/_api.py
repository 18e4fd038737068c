"""Answer callers over HTTP."""

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
from ._options import name_near
from ._routing import SUBMIT_TIMEOUT_MS, Router, RouterSettings
from ._spec_checks import NAME, find_undescribed, is_job_id, read_spec
from ._state import JobInfo
from ._views import JobList, JobView, Receipt, line_of, view_job
from ._web import Request, Response, Route, is_whole, refused, route

MAX_WAIT_MS: Final = 20_000
MAX_LISTED: Final = 500
DEFAULT_LISTED: Final = 100
ID_BYTES: Final = 9
RETRY_AFTER_MS: Final = 1000
REPLICA_LAG_MS: Final = 1500
KNOWN_POLL_MS: Final = 50


@final
class Api:
    """Serve the callers' routes of one entry VM."""

    def __init__(self, node: Node) -> None:
        """Serve one node."""
        self.node = node
        # Half of the threads stay free for requests that don't wait.
        self.waiting = threading.Semaphore(node.settings.http_threads // 2)
        self.router = Router(
            RouterSettings(node.settings.name, node.settings.domain),
            NodeDirectory(node),
            node.members,
            HttpCaller(),
            node.clock,
        )

    def routes(self) -> tuple[Route, ...]:
        """Return every route that callers use."""
        return (
            route('GET', '/healthz', self.health),
            route('GET', '/readyz', self.ready),
            route('POST', '/v1/ids', self.hand_out_id),
            route('POST', '/v1/jobs', self.submit),
            route('GET', '/v1/jobs/{job_id}', self.read),
            route('POST', '/v1/jobs/{job_id}/cancel', self.cancel),
            route('GET', '/v1/jobs/{job_id}/explain', self.explain),
            route('GET', '/v1/teams/{team}/jobs', self.list_team),
        )

    def health(self, request: Request) -> Response:
        """Tell that the process answers and its core still steps."""
        if self.node.thread.is_alive():
            return Response(200, {'code': 0})
        return refused(Refusal(Code.INTERNAL, 'the core has stopped'))

    def ready(self, request: Request) -> Response:
        """Tell whether the process can take jobs."""
        refusal = self._unready()
        if refusal is not None:
            return refused(refusal)
        return Response(200, {'code': 0, 'version': self.node.policy.version})

    def hand_out_id(self, request: Request) -> Response:
        """Hand out a job id of this failure domain."""
        job_id = new_job_id(self.node.settings.domain)
        return Response(200, {'code': 0, 'job_id': job_id})

    def submit(self, request: Request) -> Response:
        """Accept a job, here or at the owner of its pool."""
        parsed = read_spec(request.body)
        if isinstance(parsed, Err):
            return refused(parsed.err_value)
        spec = parsed.ok_value
        refusal = self._unready() or self._undescribed(spec)
        if refusal is not None:
            return refused(refusal)
        passed = self.router.submit(request, spec.job_id, spec.workload)
        if passed is not None:
            return passed
        left_ms = self.router.time_left(request, SUBMIT_TIMEOUT_MS)
        return _answer(self.node.submit(spec, left_ms))

    def read(self, request: Request) -> Response:
        """Show a job, waiting up to `wait_ms` for its complete answer."""
        job_id = request.parts['job_id']
        refusal = check_id(job_id) or check_count(request, 'wait_ms')
        if refusal is not None:
            return refused(refusal)
        self._wait_for(job_id, request)
        passed = self.router.read(request, job_id)
        if passed is not None:
            return passed
        found = self.node.inspect(lambda: self._view(job_id))
        return refused(unknown(job_id)) if found is None else _shown(found)

    def cancel(self, request: Request) -> Response:
        """Cancel a job."""
        job_id = request.parts['job_id']
        refusal = check_id(job_id)
        if refusal is not None:
            return refused(refusal)
        passed = self.router.cancel(request, job_id)
        if passed is not None:
            return passed
        found = self.node.inspect(lambda: self.node.find_job(job_id))
        if found is None:
            return refused(unknown(job_id))
        left_ms = self.router.time_left(request, SUBMIT_TIMEOUT_MS)
        return _answer(self.node.cancel(found[0].pool, job_id, left_ms))

    def explain(self, request: Request) -> Response:
        """Say why a job waits, moved or ended as it did."""
        job_id = request.parts['job_id']
        refusal = check_id(job_id)
        if refusal is not None:
            return refused(refusal)
        passed = self.router.cancel(request, job_id)
        if passed is not None:
            return passed
        found = self.node.inspect(lambda: self._explain(job_id))
        if found is None:
            return refused(unknown(job_id))
        return Response(200, {'code': 0, **to_json(found)})

    def list_team(self, request: Request) -> Response:
        """List the newest jobs of a team in this failure domain."""
        team = request.parts['team']
        refusal = check_count(request, 'limit') or check_state(request)
        if refusal is None and not NAME.fullmatch(team):
            refusal = Refusal(Code.BAD_FIELD, f'team: got {team[:80]!r}')
        if refusal is not None:
            return refused(refusal)
        limit = min(request.query_int('limit', DEFAULT_LISTED), MAX_LISTED)
        wanted = request.query.get('state', '')
        found = self.node.inspect(lambda: self._newest(team, wanted, limit + 1))
        lines = tuple(line_of(job) for job in found[:limit])
        listed = JobList(0, team, lines, len(found) > limit)
        return Response(200, to_json(listed))

    def _unready(self) -> Refusal | None:
        # Never `not_run`: an earlier request may have been kept elsewhere.
        if self.node.draining:
            detail = 'this entry VM is shutting down'
            return Refusal(Code.DRAINING, detail, retry_after_ms=RETRY_AFTER_MS)
        lacks = self.node.lacks
        if lacks:
            return Refusal(Code.NOT_READY, lacks, retry_after_ms=RETRY_AFTER_MS)
        return None

    def _undescribed(self, spec: JobSpec) -> Refusal | None:
        policy = self.node.policy
        if not policy.version or domain_of(spec.job_id) != self._domain:
            return None
        wrong = find_undescribed(policy, spec)
        if wrong is None or self._is_known(spec.job_id):
            return None
        # An earlier configuration may have let the same job in.
        return wrong.refusal()._replace(not_run=False)

    @property
    def _domain(self) -> str:
        return self.node.settings.domain

    def _is_known(self, job_id: str) -> bool:
        return self.node.inspect(lambda: self._view(job_id)) is not None

    def _wait_for(self, job_id: str, request: Request) -> None:
        wait_ms = min(request.query_int('wait_ms', 0), MAX_WAIT_MS)
        if not wait_ms or domain_of(job_id) != self._domain:
            return
        if self.node.draining or not self.waiting.acquire(blocking=False):
            return
        try:
            self._watch(job_id, wait_ms)
        finally:
            self.waiting.release()

    def _watch(self, job_id: str, wait_ms: int) -> None:
        # A job that was just accepted elsewhere is not in the replica yet.
        clock = self.node.clock
        until_ms = clock.now_ms() + wait_ms
        known_by_ms = min(until_ms, clock.now_ms() + REPLICA_LAG_MS)
        while not self._is_known(job_id):
            if clock.now_ms() >= known_by_ms or self.node.draining:
                return
            time.sleep(KNOWN_POLL_MS / MS_PER_SECOND)
        self.node.watch(job_id, max(until_ms - clock.now_ms(), 0))

    def _view(self, job_id: str) -> JobView | None:
        found = self.node.find_job(job_id)
        return view_job(found[1]) if found else None

    def _explain(self, job_id: str) -> Explanation | None:
        found = self.node.find_job(job_id)
        now_ms = self.node.clock.now_ms()
        return explain(found[0], job_id, now_ms) if found else None

    def _newest(self, team: str, wanted: str, count: int) -> list[JobInfo]:
        jobs = (
            job
            for state in self.node.shards.values()
            for job in state.jobs.values()
            if job.spec.team == team and wanted in {'', job.state.value}
        )
        return heapq.nlargest(
            count,
            jobs,
            key=lambda job: (job.accepted_ms, job.spec.job_id),
        )


def new_job_id(domain: str) -> str:
    """Return a fresh job id of a failure domain."""
    return f'{domain}{ID_SEPARATOR}{secrets.token_hex(ID_BYTES)}'


def check_id(job_id: str) -> Refusal | None:
    """Refuse a path that holds no job id."""
    if is_job_id(job_id):
        return None
    detail = f'job_id: got {job_id[:80]!r}, expected DOMAIN.ID'
    return Refusal(Code.BAD_FIELD, detail)


def check_count(request: Request, name: str) -> Refusal | None:
    """Refuse a query field that is no whole number."""
    text = request.query.get(name, '0')
    if is_whole(text):
        return None
    detail = f'{name}: got {text[:20]!r}, expected a whole number'
    return Refusal(Code.BAD_FIELD, detail)


def check_state(request: Request) -> Refusal | None:
    """Refuse a query for a state that does not exist."""
    text = request.query.get('state', '')
    names = [state.value for state in JobState]
    if text in {'', *names}:
        return None
    detail = f'state: got {text[:20]!r}, expected {name_near(text, names)}'
    return Refusal(Code.BAD_FIELD, detail)


def unknown(job_id: str) -> Refusal:
    """Refuse a job id that this failure domain does not know yet."""
    detail = f'job {job_id} is not known here; ask again'
    return Refusal(Code.NOT_FOUND, detail, retry_after_ms=RETRY_AFTER_MS)


def _answer(outcome: ReplyAccepted | ReplyRefused) -> Response:
    if isinstance(outcome, ReplyRefused):
        return refused(outcome.refusal)
    receipt = Receipt(outcome.job_id, int(outcome.code), outcome.held)
    return Response(CODES[outcome.code].http, to_json(receipt))


def _shown(view: JobView) -> Response:
    return Response(200, to_json(view))
