"""Serve the internal API between entry VMs."""

import base64
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import orjson
from result import Err

from .._registry import Registry
from ..workflow import StepKey
from ._credentials import decode_identity
from ._doubtful_jobs import decode_doubts
from ._http_calls import Reply
from ._ports import Advisor, KeyedRecord
from ._request_handler import RequestHandler
from ._state_query import decode_query

logger = logging.getLogger('lycheerelay.internal')

Body = dict[str, Any]
Route = Callable[['InternalApi', Body], Awaitable[Body | None]]
ROUTES: Final[Registry[str, Route]] = Registry('internal route')

OK: Final = 200
UNAVAILABLE: Final = 503
BAD_REQUEST: Final = 400
NOT_FOUND: Final = 404


@final
class InternalApi:
    """Answer the calls of other entry VMs."""

    def __init__(
        self,
        handler: RequestHandler,
        advisor: Advisor,
        check_vacancy_now: Callable[[int], None],
        dump: Callable[[], Body],
    ) -> None:
        """Answer through the request handler."""
        self.handler = handler
        self.advisor = advisor
        self.check_vacancy_now = check_vacancy_now
        self.dump = dump

    async def answer(self, path: str, raw: bytes) -> Reply:
        """Return the status and the JSON body for one call."""
        if path not in ROUTES:
            return Reply(NOT_FOUND)
        try:
            answer = await ROUTES[path](self, orjson.loads(raw or b'{}'))
        except (ValueError, KeyError, TypeError) as error:
            logger.warning(
                'internal_call_unreadable',
                extra={'path': path, 'error': str(error)},
            )
            return Reply(BAD_REQUEST)
        if answer is None:
            return Reply(UNAVAILABLE)
        return Reply(OK, orjson.dumps(answer))


@ROUTES.register('/state')
async def state(internal: InternalApi, body: Body) -> Body | None:
    """Return the phase of a job."""
    return await internal.handler.answers.state(decode_query(body))


@ROUTES.register('/waiting')
async def waiting(internal: InternalApi, body: Body) -> Body | None:
    """Return how many jobs of a queue are waiting."""
    return internal.handler.answers.waiting(
        body['queue'], decode_identity(body)
    )


@ROUTES.register('/advice')
async def advice(internal: InternalApi, body: Body) -> Body | None:
    """Ask the placement advisor on behalf of another entry VM."""
    step = StepKey(*body['step'])
    outcome = await internal.advisor.ask(step, body['workers'])
    if isinstance(outcome, Err):
        return None
    advised = outcome.ok_value
    return {'tickets': advised.tickets, 'valid_ms': advised.valid_ms}


@ROUTES.register('/append')
async def append(internal: InternalApi, body: Body) -> Body | None:
    """Append a record of a caller of another entry VM."""
    payload = base64.b64decode(body['payload'], validate=True)
    record = KeyedRecord(str(body['key']), payload)
    return await internal.handler.append_for_peer(record, decode_identity(body))


@ROUTES.register('/config')
async def config(internal: InternalApi, body: Body) -> Body | None:
    """Return the age of the configuration, and its record if it is newer."""
    watch = internal.handler.checks.config
    return watch.answer_peer(int(body['version']))


@ROUTES.register('/hello')
async def hello(internal: InternalApi, body: Body) -> Body | None:
    """Register a member that regards this VM as the owner."""
    handler = internal.handler
    member = str(body['member'])
    answer: Body = {'again_ms': handler.peers.receive_hello(member)}
    table = handler.checks.config.table
    if table is not None and table.requires_keys:
        answer['members'] = handler.peers.name_members(member)
    if handler.owner is not None:
        answer.update(handler.owner.tenants.published())
    return answer


@ROUTES.register('/doubts')
async def doubts(internal: InternalApi, body: Body) -> Body | None:
    """Remember jobs whose hand-in another entry VM has no answer to."""
    internal.handler.doubts.receive(decode_doubts(body))
    return {}


@ROUTES.register('/vacant')
async def vacant(internal: InternalApi, body: Body) -> Body | None:
    """Check for a vacancy after another member has announced one."""
    # Earlier versions send no count.
    handovers = int(body['handovers']) if 'handovers' in body else 0
    internal.check_vacancy_now(handovers)
    return {}


@ROUTES.register('/dump')
async def dump(internal: InternalApi, body: Body) -> Body | None:
    """Return the state of this process."""
    return internal.dump()
