"""Pass requests on to the entry VM that should answer them."""

from typing import Final, final

from result import Err

from ._codes import Code, Refusal
from ._http import HttpCaller
from ._jobs import domain_of
from ._node import Node
from ._web import Request, Response, refused

SUBMIT_TIMEOUT_MS: Final = 3000
FORWARD_SLACK_MS: Final = 1000


@final
class Router:
    """Choose between answering here and passing a request on."""

    def __init__(self, node: Node) -> None:
        """Route for one node."""
        self.node = node
        self.caller = HttpCaller()

    def submit(
        self,
        request: Request,
        job_id: str,
        workload: str,
    ) -> Response | None:
        """Pass a submission on; None means to answer it here."""
        address = self._owner_address(job_id, workload)
        if address is None or 'hop' in request.query:
            return None
        return self._forward(address, request)

    def read(self, request: Request, job_id: str) -> Response | None:
        """Pass a read on; None means to answer it here."""
        return None

    def cancel(self, request: Request, job_id: str) -> Response | None:
        """Pass a cancellation on; None means to answer it here."""
        return None

    def _owner_address(self, job_id: str, workload: str) -> str | None:
        if domain_of(job_id) != self.node.settings.domain:
            return None
        pool = self.node.policy.pool_of(workload)
        state = self.node.shards.get(pool)
        if state is None or state.is_owner:
            return None
        return self.node.members.address_of(state.owner)

    def _forward(self, address: str, request: Request) -> Response:
        url = f'http://{address}{request.path}?hop=1'
        reply = self.caller.call(
            request.method,
            url,
            request.body,
            SUBMIT_TIMEOUT_MS + FORWARD_SLACK_MS,
        )
        if isinstance(reply, Err):
            detail = f'owner {address}: {reply.err_value.reason}'
            return refused(
                Refusal(Code.NO_OWNER, detail, retry_after_ms=1000),
            )
        return Response(reply.ok_value.status, reply.ok_value.body)
