"""Read the settings file of the platform."""

import os
import tomllib
from pathlib import Path
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from .._clock import MS_PER_SECOND
from ..serving import GROUP_TTL_MS, StoreLimits
from ..serving.connections import MachineLimits

SETTINGS_PATH_VARIABLE: Final = 'LYCHEERELAY_CONFIG'


class PlatformSettings(NamedTuple):
    """Settings of one entry VM process; times in ms."""

    vm: str
    domain: str
    host: str
    callers_address: str
    ready_address: str
    internal_port: int
    store_address: str
    advisor_address: str
    lease_ms: int
    status_ms: int
    stop_grace_ms: int
    group_ttl_ms: int
    cores: float = 1
    link_mbps: float = 1000
    strict_revocation: bool = False
    revocation_ms: int = 0
    quota_window_ms: int = 0
    store_limits: StoreLimits = StoreLimits()
    machine: MachineLimits = MachineLimits()


def read_settings() -> Result[PlatformSettings, str]:
    """Return the settings, or a description of the error."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE, '')
    if not path:
        return Err(f'{SETTINGS_PATH_VARIABLE} is not set')
    try:
        return Ok(_decode_settings(tomllib.loads(Path(path).read_text())))
    except OSError as error:
        return Err(f'{path}: {error.strerror}')
    except KeyError as error:
        return Err(f'{path}: {error.args[0]} is missing')
    except (ValueError, TypeError, IndexError) as error:
        return Err(f'{path}: {error}')


def _decode_settings(fields: dict[str, Any]) -> PlatformSettings:
    bounds = fields['bounds']
    limits = fields.get('limits', {})
    return PlatformSettings(
        vm=fields['nodeName'],
        domain=fields['zone'],
        host=fields['ip'],
        callers_address=fields['listen']['front'],
        ready_address=fields['listen']['ready'],
        internal_port=int(fields['internalPortRange'][0]),
        store_address=fields['platform']['address'],
        advisor_address=fields.get('placementAdvisor', ''),
        # Limit of the platform on the time that a run may go without renewal.
        lease_ms=int(bounds['maxHoldMs']),
        status_ms=int(bounds['status_s'] * MS_PER_SECOND),
        stop_grace_ms=int(bounds['graceS'] * MS_PER_SECOND),
        # The store refuses memberships shorter than its minimum.
        group_ttl_ms=max(
            GROUP_TTL_MS,
            int(fields['platform'].get('minTtlMs', 0)),
        ),
        # The process uses a single core and gets this share of it.
        cores=float(limits.get('cpuShare', 1)),
        link_mbps=float(limits.get('linkMbps', 1000)),
        strict_revocation=bool(bounds.get('strictRevocation', False)),
        revocation_ms=int(bounds.get('revocationMs') or 0),
        quota_window_ms=int((bounds.get('quotaWindowS') or 0) * MS_PER_SECOND),
        store_limits=_decode_store_limits(fields['platform']),
        machine=_decode_machine_limits(limits),
    )


def _decode_machine_limits(fields: dict[str, Any]) -> MachineLimits:
    return MachineLimits(
        int(fields.get('memoryMb') or 0),
        int(fields.get('fileDescriptors') or 0),
    )


def _decode_store_limits(fields: dict[str, Any]) -> StoreLimits:
    # A field that is missing or 0 has its default.
    defaults = StoreLimits()
    return StoreLimits(
        int(fields.get('recordBytes') or defaults.record_bytes),
        int(fields.get('requestBytes') or defaults.request_bytes),
    )
