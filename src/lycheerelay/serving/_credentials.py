"""Decide which tenant makes a call.

Load: callers send missing, mistyped and revoked keys, and versions that revoke
keys arrive at this VM and at the owner at different times.
"""

from collections.abc import Mapping
from enum import Enum, unique
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from ..workflow import WorkflowSpec
from ._queues import Queue, QueueTable, digest_of

# Enough to tell the keys of a configuration apart, too few to derive a key.
SHORT_DIGEST_CHARS: Final = 8


@unique
class RefusalCause(Enum):
    """Causes for which a call is refused before it runs."""

    MISSING_KEY = 'missing_key'
    UNKNOWN_KEY = 'unknown_key'
    CONFIG_TOO_OLD = 'config_too_old'


class Identity(NamedTuple):
    """Tenant of a call, and the key and version that prove it.

    `tenant` is None if there are no tenants, so that the call may access every
    job. An empty name stands for a call without a key, which may access jobs
    without a tenant and those of `queue`, the public queue that it came through.
    `digest` is the SHA-256 digest of the key, in hexadecimal.
    """

    tenant: str | None = None
    digest: str = ''
    version: int = 0
    queue: str = ''

    def may_access(self, spec: WorkflowSpec) -> bool:
        """Return whether a job is visible to the call.

        A job without a tenant came through a public queue, or was accepted
        before there were tenants. A queue that became public may have jobs of
        tenants, whose callers send no key any more.
        """
        if self.tenant is None or spec.tenant in {'', self.tenant}:
            return True
        return bool(self.queue) and spec.queue == self.queue


EVERYONE: Final = Identity()
KEYLESS: Final = Identity(tenant='')


class Refusal(NamedTuple):
    """Cause of a refusal, and what may be logged of the caller."""

    cause: RefusalCause
    short_digest: str = ''
    tenant: str = ''


Identification = Result[Identity, Refusal]


def identify(
    table: QueueTable, queue: Queue | None, key: str, *, is_current: bool
) -> Identification:
    """Return the identity of a call to a queue, or why it is refused.

    `is_current` says whether the configuration is new enough to trust its keys.
    Without a queue, the call names a job only, which may have no tenant.
    """
    if not table.requires_keys:
        return Ok(EVERYONE)
    if queue is not None and queue.is_public:
        return Ok(KEYLESS._replace(queue=queue.policy.name))
    if not key:
        missing = Refusal(RefusalCause.MISSING_KEY)
        return Ok(KEYLESS) if queue is None else Err(missing)
    raw_digest = digest_of(key)
    digest = raw_digest.hex()
    tenant = table.tenants_by_key.get(raw_digest)
    name = '' if tenant is None else tenant.name
    refusal = Refusal(RefusalCause.UNKNOWN_KEY, shorten(digest), name)
    if not is_current:
        # A newer version may have added an unknown key as well.
        return Err(refusal._replace(cause=RefusalCause.CONFIG_TOO_OLD))
    if tenant is None:
        return Err(refusal)
    return Ok(Identity(name, digest, table.version))


def is_revoked(identity: Identity, table: QueueTable | None) -> bool:
    """Return whether a table as new as the identity lacks its key."""
    if not identity.digest or table is None:
        return False
    if table.version < identity.version:
        return False
    holder = table.tenants_by_key.get(bytes.fromhex(identity.digest))
    return holder is None or holder.name != identity.tenant


def shorten(digest: str) -> str:
    """Return the start of a digest, which identifies a key in logs."""
    return digest[:SHORT_DIGEST_CHARS]


def encode_identity(identity: Identity) -> dict[str, Any]:
    """Return the fields of an internal call; none for an unchecked one."""
    if identity.tenant is None:
        return {}
    return {
        'tenant': identity.tenant,
        'key_digest': identity.digest,
        'version': identity.version,
        'queue_of_call': identity.queue,
    }


def decode_identity(fields: Mapping[str, Any]) -> Identity:
    """Return the identity in an internal call.

    VMs of earlier versions send none; their calls are not checked. Raise
    ValueError if the digest is malformed.
    """
    tenant = fields.get('tenant')
    if tenant is None:
        return EVERYONE
    digest = str(fields['key_digest'])
    bytes.fromhex(digest)
    queue = str(fields.get('queue_of_call', ''))
    return Identity(str(tenant), digest, int(fields['version']), queue)
