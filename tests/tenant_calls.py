"""Call the ingress of a VM on the platform stand-in, with keys of tenants."""

import asyncio
from typing import Any

import orjson

from lycheerelay_standins.platform import PlatformCell
from platform_days import job, step

HOST = 'cell.example'
REVOCATION_MS = 5000
# Tenants of the first version, with their keys.
KEYS = {'ada': ('key-of-ada', 'second-of-ada'), 'bob': ('key-of-bob',)}
ADA, BOB = 'key-of-ada', 'key-of-bob'


class FakeRequest:
    """Request of a caller; its body arrives once `sent` is set."""

    def __init__(self, method: str, path: str, key: str, body: bytes) -> None:
        """Create a request whose body has arrived."""
        self.method = method
        self.path = path
        self.headers = {'Host': HOST, **({'X-Api-Key': key} if key else {})}
        self.content_length = len(body)
        self.content = self
        self.protocol = None
        self.body = body
        self.sent = asyncio.Event()
        self.sent.set()

    async def readany(self) -> bytes:
        """Return the body, and nothing once it was read."""
        await self.sent.wait()
        piece = self.body
        self.body = b''
        return piece


def publish(
    cell: PlatformCell,
    public: tuple[str, ...] = ('open',),
    **keys: tuple[str, ...],
) -> None:
    """Write the next version with two queues, of which some are public."""
    cell.version += 1
    routes = [
        {
            'name': name,
            'host': HOST,
            'pathPrefix': f'/{name}/',
            'service': 'cpu',
            'maxAttempts': 3,
            'public': name in public,
        }
        for name in ('batch', 'open')
    ]
    tenants = [
        {'name': name, 'apiKeys': held, 'weight': 1}
        for name, held in keys.items()
    ]
    config = {
        'version': cell.version,
        'routes': routes,
        'services': [{'name': 'cpu'}],
        'limits': {'maxBodyBytes': 262144},
        'tenants': tenants,
    }
    cell.store.put('keyed.op', 'config', config)


async def begin(cell: PlatformCell, *, strict: bool = True) -> None:
    """Publish the tenants, and set the bound on the age at every VM."""
    if strict:
        for entry in cell.entries.values():
            entry.config.freshness.revocation_ms = REVOCATION_MS
    publish(cell, **KEYS)
    await asyncio.sleep(3)


def request(
    method: str, job_id: str, key: str = '', queue: str = 'batch'
) -> FakeRequest:
    """Return a request; a submission has a body of one step."""
    body = orjson.dumps(job(step(1))) if method == 'POST' else b''
    return FakeRequest(method, f'/{queue}/{job_id}', key, body)


async def call(
    cell: PlatformCell, vm: str, sent: FakeRequest
) -> tuple[int, dict[str, Any]]:
    """Handle a request at a VM; return the status and the JSON fields."""
    response: Any = await cell.entries[vm].ingress.handle(sent)  # type: ignore[arg-type]
    fields = orjson.loads(response.body)
    fields['retry_after'] = response.headers.get('Retry-After')
    return response.status, fields


async def status(cell: PlatformCell, vm: str, sent: FakeRequest) -> int:
    """Handle a request at a VM and return the status."""
    return (await call(cell, vm, sent))[0]


def other_vm(cell: PlatformCell) -> str:
    """Return a VM that is not the owner."""
    return next(vm for vm in sorted(cell.entries) if vm != cell.owner())
