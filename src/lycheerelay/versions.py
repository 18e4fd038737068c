"""Store one versioned configuration in a log with several writers."""

from ._config_publish import Published, PublishRequest, publish
from ._config_reader import read_to_end
from ._versions import (
    FileChange,
    FileVersion,
    Outcome,
    Publication,
    Snapshot,
    Verdict,
    VersionedConfig,
    decode_entry,
    encode_entry,
    fold,
    restore,
    skip_to,
    snapshot_of,
)

__all__ = (
    'FileChange',
    'FileVersion',
    'Outcome',
    'Publication',
    'PublishRequest',
    'Published',
    'Snapshot',
    'Verdict',
    'VersionedConfig',
    'decode_entry',
    'encode_entry',
    'fold',
    'publish',
    'read_to_end',
    'restore',
    'skip_to',
    'snapshot_of',
)
