"""Answer callers over HTTP."""

import secrets
from typing import Final, NamedTuple, final

from result import Err

from ._codec import Json, from_json, to_json
from ._codes import CODES, Code, Refusal
from ._commands import ReplyRefused
from ._http import HttpCaller
from ._jobs import ID_SEPARATOR, JobSpec, domain_of
from ._node import Node
from ._node_directory import NodeDirectory
from ._routing import SUBMIT_TIMEOUT_MS, Router, RouterSettings
from ._state import JobBook
from ._web import Request, Response, Route, refused, route

MAX_WAIT_MS: Final = 20_000
ID_BYTES: Final = 9


class JobView(NamedTuple):
    """Show a job to its caller."""

    job_id: str
    state: str
    code: int
    detail: str
    complete: bool
    tasks: tuple[Json, ...]


def view_job(job: JobBook) -> JobView:
    """Return what a caller may see of a job."""
    code = job.code if job.is_final else _open_code(job)
    return JobView(
        job.spec.job_id,
        job.state.value,
        code,
        job.detail or CODES[Code(code)].text,
        job.is_final,
        tuple(
            {
                'state': task.state.value,
                'attempt': task.attempt,
                'worker': task.worker,
                'answer': task.answer,
            }
            for task in job.tasks
        ),
    )


def _open_code(job: JobBook) -> int:
    running = any(task.is_live for task in job.tasks)
    return int(Code.RUNNING if running else Code.ACCEPTED)


@final
class Api:
    """Serve the callers' routes of one entry VM."""

    def __init__(self, node: Node) -> None:
        """Serve one node."""
        self.node = node
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
            route('GET', '/dump', self.dump),
        )

    def health(self, request: Request) -> Response:
        """Tell that the process answers."""
        return Response(200, {'code': 0})

    def ready(self, request: Request) -> Response:
        """Tell whether the process can take jobs."""
        if self.node.is_ready:
            return Response(200, {'code': 0})
        detail = self.node.lacks
        return refused(Refusal(Code.NOT_READY, detail, retry_after_ms=1000))

    def hand_out_id(self, request: Request) -> Response:
        """Hand out a job id of this failure domain."""
        job_id = new_job_id(self.node.settings.domain)
        return Response(200, {'job_id': job_id})

    def submit(self, request: Request) -> Response:
        """Accept a job, here or at the owner of its pool."""
        parsed = from_json(JobSpec, request.body)
        if isinstance(parsed, Err):
            return refused(parsed.err_value.refusal())
        spec = parsed.ok_value
        passed = self.router.submit(request, spec.job_id, spec.workload)
        if passed is not None:
            return passed
        left_ms = self.router.time_left(request, SUBMIT_TIMEOUT_MS)
        outcome = self.node.submit(spec, left_ms)
        if isinstance(outcome, ReplyRefused):
            return refused(outcome.refusal)
        body = {'job_id': outcome.job_id, 'code': int(outcome.code)}
        return Response(CODES[outcome.code].http, body)

    def read(self, request: Request) -> Response:
        """Show a job, waiting up to `wait_ms` for its complete answer."""
        job_id = request.parts['job_id']
        wait_ms = min(request.query_int('wait_ms', 0), MAX_WAIT_MS)
        if wait_ms and domain_of(job_id) == self.node.settings.domain:
            self.node.watch(job_id, wait_ms)
        passed = self.router.read(request, job_id)
        if passed is not None:
            return passed
        found = self.node.inspect(lambda: self._view(job_id))
        if found is None:
            return refused(
                Refusal(
                    Code.NOT_FOUND,
                    f'job {job_id} is not known here; ask again',
                    retry_after_ms=1000,
                ),
            )
        return Response(200, to_json(found))

    def cancel(self, request: Request) -> Response:
        """Cancel a job."""
        job_id = request.parts['job_id']
        passed = self.router.cancel(request, job_id)
        if passed is not None:
            return passed
        found = self.node.inspect(lambda: self.node.find_job(job_id))
        if found is None:
            detail = f'job {job_id} is not known here'
            return refused(Refusal(Code.NOT_FOUND, detail))
        left_ms = self.router.time_left(request, SUBMIT_TIMEOUT_MS)
        outcome = self.node.cancel(found[0].pool, job_id, left_ms)
        if isinstance(outcome, ReplyRefused):
            return refused(outcome.refusal)
        body = {'job_id': outcome.job_id, 'code': int(outcome.code)}
        return Response(200, body)

    def dump(self, request: Request) -> Response:
        """Show the whole state of the process."""
        return Response(200, self.node.inspect(self._dump))

    def _view(self, job_id: str) -> JobView | None:
        found = self.node.find_job(job_id)
        return view_job(found[1]) if found else None

    def _dump(self) -> Json:
        return {
            pool: {
                'term': state.term,
                'owner': state.owner,
                'jobs': len(state.jobs),
                'waiting': len(state.waiting),
                'workers': {
                    name: to_json(worker.free)
                    for name, worker in sorted(state.workers.items())
                },
            }
            for pool, state in sorted(self.node.shards.items())
        }


def new_job_id(domain: str) -> str:
    """Return a fresh job id of a failure domain."""
    return f'{domain}{ID_SEPARATOR}{secrets.token_hex(ID_BYTES)}'
