"""Encode and decode the records of cancellations.

The store keeps the newest record of a key. A cancellation of a job that is not known
has the caller's scope in its key, so that one who turns out not to have access to the
job does not replace the cancellation of one who has. Earlier versions read only
those without a scope.
"""

import hashlib
from typing import Final

import orjson

from ._credentials import EVERYONE, KEYLESS, Identity

CANCEL_PREFIX: Final = 'cancel/'
SCOPED_PREFIX: Final = 'cancel-by/'
SCOPE_DIGITS: Final = 16


def cancel_key(job_id: str, identity: Identity = EVERYONE) -> str:
    """Return the key of a cancellation by a caller who may lack access to the job."""
    if identity.tenant is None:
        return f'{CANCEL_PREFIX}{job_id}'
    caller = orjson.dumps([identity.tenant, identity.queue])
    scope = hashlib.sha256(caller).hexdigest()[:SCOPE_DIGITS]
    return f'{SCOPED_PREFIX}{scope}/{job_id}'


def job_of_cancellation(key: str) -> str:
    """Return the job in the key of a cancellation, or an empty string."""
    if key.startswith(SCOPED_PREFIX):
        return key.removeprefix(SCOPED_PREFIX).partition('/')[2]
    return key.removeprefix(CANCEL_PREFIX) if is_unscoped(key) else ''


def is_unscoped(key: str) -> bool:
    """Return whether a key is that of the cancellation of a known job."""
    return key.startswith(CANCEL_PREFIX)


def encode_cancellation(identity: Identity) -> bytes:
    """Return the payload of a cancellation.

    The owner checks the tenant again when it reads the record, since the caller
    may be answered while no owner serves.
    """
    if identity.tenant is None:
        return b'{}'
    return orjson.dumps({'tenant': identity.tenant, 'queue': identity.queue})


def decode_cancellation(payload: bytes | None) -> Identity:
    """Return who cancels; a payload without a tenant may cancel any job."""
    try:
        fields = orjson.loads(payload or b'{}')
    except ValueError:
        return KEYLESS
    if not isinstance(fields, dict):
        return KEYLESS
    tenant = fields.get('tenant')
    if tenant is None:
        return EVERYONE
    return Identity(str(tenant), queue=str(fields.get('queue', '')))
