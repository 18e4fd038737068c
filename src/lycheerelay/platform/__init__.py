"""Adapter between the users' platform and the scheduler."""

from ._decode import decode_config, decode_job, decode_worker
from ._entry import Entry
from ._serve import main
from ._settings import PlatformSettings

__all__ = (
    'Entry',
    'PlatformSettings',
    'decode_config',
    'decode_job',
    'decode_worker',
    'main',
)
