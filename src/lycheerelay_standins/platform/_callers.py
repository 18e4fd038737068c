"""Call the entry VMs of an emulated cell as callers with keys do."""

import asyncio
import json
from collections import Counter
from collections.abc import Mapping
from typing import Any, Final, NamedTuple, final
from urllib.parse import parse_qsl, urlsplit

from ._audit import SubmittedJob
from ._audit_tenants import OK, ObservedCall
from ._cell import PlatformCell
from ._environment import ROUTE_HOST, QueueShape
from ._tenants import Credential

KEY_HEADER: Final = 'X-Api-Key'
NO_RESPONSE: Final = 0
GATEWAY_TIMEOUT: Final = 504
GONE: Final = 410
DEADLINE_MS: Final = 3000
# Callers of a frozen VM wait until it is resumed.
CALL_TIMEOUT_S: Final = 20


class CallReply(NamedTuple):
    """Status of a response, or 0 without one, its JSON body and headers."""

    status: int
    fields: Mapping[str, Any]
    headers: Mapping[str, str]


@final
class CallerRequest:
    """Request with the attributes of `aiohttp.web.BaseRequest` that are used.

    Its body arrives `body_delay_s` after its headers.
    """

    def __init__(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str],
        raw: bytes,
        body_delay_s: float,
    ) -> None:
        """Set what the caller sends."""
        parts = urlsplit(url)
        self.method = method
        self.path = parts.path
        self.path_qs = url
        self.query = dict(parse_qsl(parts.query))
        self.headers = headers
        self.raw = raw
        self.content_length = len(raw)
        self.content = self
        self.protocol = None
        self.body_delay_s = body_delay_s

    async def readany(self) -> bytes:
        """Return the body, and nothing once it was read."""
        await asyncio.sleep(self.body_delay_s)
        piece = self.raw
        self.raw = b''
        return piece


@final
class KeyedCaller:
    """Caller with keys of tenants, who reports each response to the auditor."""

    def __init__(self, cell: PlatformCell) -> None:
        """Call the VMs of a cell with tenants."""
        self.cell = cell
        self.statuses: Counter[int] = Counter()

    async def submit(
        self,
        vm: str,
        body: dict[str, Any],
        credential: Credential,
        queue: str = 'batch',
        job_id: str = '',
        body_delay_s: float = 0,
        **job_fields: Any,
    ) -> tuple[str, CallReply]:
        """Submit a job of a tenant and register it with the auditor.

        `job_fields` are those of `SubmittedJob`, such as `work_ms`.
        """
        shape = self._queue(queue)
        name = job_id or f'{self.cell.rng.getrandbits(64):016x}'
        submitted = self.cell.audit.jobs.setdefault(
            name,
            SubmittedJob(
                body,
                shape.pool,
                shape.max_attempts,
                **job_fields,
                tenant='' if shape.is_public else credential.tenant,
            ),
        )
        raw = json.dumps(body).encode()
        reply = await self.call(
            vm, 'POST', f'/{queue}/{name}', credential, raw, body_delay_s
        )
        submitted.accepted = submitted.accepted or reply.status == OK
        if reply.status in {NO_RESPONSE, GATEWAY_TIMEOUT}:
            submitted.outcome_unknown = True
        return name, reply

    async def state(
        self, vm: str, job_id: str, key: str, queue: str = 'batch'
    ) -> str:
        """Return a job's phase as a VM reports it, or the status code."""
        url = f'/{queue}/{job_id}'
        credential = self._owner_of(job_id, key)
        reply = await self.call(vm, 'GET', url, credential)
        if reply.status != OK:
            return str(reply.status)
        phase = str(reply.fields['state'])
        self.cell.audit.check_phase(job_id, phase)
        return phase

    async def cancel(
        self, vm: str, job_id: str, key: str, queue: str = 'batch'
    ) -> CallReply:
        """Cancel a job."""
        submitted = self.cell.audit.jobs[job_id]
        url = f'/{queue}/{job_id}'
        credential = self._owner_of(job_id, key)
        reply = await self.call(vm, 'DELETE', url, credential)
        submitted.cancel_asked = True
        if reply.status in {OK, GONE} and submitted.cancelled_ms < 0:
            submitted.cancelled_ms = self.cell.now_ms()
        return reply

    async def call(
        self,
        vm: str,
        method: str,
        url: str,
        credential: Credential,
        raw: bytes = b'',
        body_delay_s: float = 0,
    ) -> CallReply:
        """Make one call; an empty key is not sent."""
        headers = {
            'Host': ROUTE_HOST,
            'X-Deadline-Milliseconds': str(DEADLINE_MS),
        }
        if credential.key:
            headers[KEY_HEADER] = credential.key
        request = CallerRequest(method, url, headers, raw, body_delay_s)
        sent_ms = self.cell.now_ms()
        reply = await self._send(vm, request)
        self.statuses[reply.status] += 1
        if not self._queue(url.split('/')[1]).is_public:
            self._report(vm, credential, sent_ms, reply.status)
        return reply

    def _owner_of(self, job_id: str, key: str) -> Credential:
        return Credential(self.cell.audit.jobs[job_id].tenant, key)

    def _report(
        self, vm: str, credential: Credential, sent_ms: int, status: int
    ) -> None:
        since_ms = sent_ms - self.cell.shape.bounds.config_apply_ms
        call = ObservedCall(
            vm,
            credential.key,
            credential.tenant,
            status,
            sent_ms,
            self.cell.now_ms(),
            self.cell.is_in_contact(vm, since_ms),
        )
        self.cell.audit.tenants.check_call(call)

    async def _send(self, vm: str, request: CallerRequest) -> CallReply:
        entry = self.cell.entries[vm]
        handling: Any = entry.ingress.handle(request)  # type: ignore[arg-type]
        task = self.cell.call_in_vm(vm, handling)
        await asyncio.wait({task}, timeout=CALL_TIMEOUT_S)
        if not task.done() or task.cancelled():
            return CallReply(NO_RESPONSE, {}, {})
        response = task.result()
        fields = json.loads(response.body) if response.body else {}
        return CallReply(response.status, fields, dict(response.headers))

    def _queue(self, name: str) -> QueueShape:
        for queue in self.cell.shape.queues:
            if queue.name == name:
                return queue
        raise ValueError(f'the cell has no queue {name}')
