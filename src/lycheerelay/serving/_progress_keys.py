"""Name the records in the stream of progress.

The progress of a job is kept under its id. The owner keeps records of its own in the
same stream; a job whose id is the key of one of them has its progress under another
key, which no id of a job can be.
"""

from typing import Final

# Earlier versions write this key at the start of each term.
LEGACY_FENCE_KEY: Final = 'fence'
# The last term of an earlier version whose records have been examined.
JUDGED_KEY: Final = 'judged'
TERM_KEY: Final = 'term'
# The deletion of this key, which no record has, tells whether the store takes any
# record.
PROBE_KEY: Final = 'probe'
KNOWN_WORKERS_KEY: Final = 'workers'
INSTANCES_KEY: Final = 'instances'
SILENT_KEY: Final = 'silent_workers'
ANSWERED_KEY: Final = 'answered_workers'
LIST_KEYS: Final = (
    KNOWN_WORKERS_KEY,
    INSTANCES_KEY,
    SILENT_KEY,
    ANSWERED_KEY,
)

OWNER_KEYS: Final = frozenset(
    (LEGACY_FENCE_KEY, JUDGED_KEY, TERM_KEY, PROBE_KEY, *LIST_KEYS)
)
# Ids of jobs have no slash.
ESCAPE_PREFIX: Final = 'job/'


def progress_key(job_id: str) -> str:
    """Return the key of the progress of a job."""
    return f'{ESCAPE_PREFIX}{job_id}' if job_id in OWNER_KEYS else job_id


def job_id_of(key: str) -> str:
    """Return the id of the job whose progress has a key."""
    return key.removeprefix(ESCAPE_PREFIX)
