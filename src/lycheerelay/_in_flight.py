"""Track records that were appended but not yet read back from the log."""

from ._records import Accepted, JobImage, Record, TermTaken
from ._state import ShardState


def record_sent(state: ShardState, record: Record) -> None:
    """Track a record of a job until it is read back."""
    job_id = _job_id(record)
    if job_id:
        state.on_way.setdefault(job_id, []).append(record)


def record_arrived(state: ShardState, record: Record) -> None:
    """Stop tracking a record that was read back.

    Records that another node appended are ignored.
    """
    job_id = _job_id(record)
    sent = state.on_way.get(job_id)
    if sent is None or record not in sent:
        return
    sent.remove(record)
    if not sent:
        state.on_way.pop(job_id)


def _job_id(record: Record) -> str:
    if isinstance(record, TermTaken):
        return ''
    if isinstance(record, Accepted | JobImage):
        return record.spec.job_id
    return record.job_id
