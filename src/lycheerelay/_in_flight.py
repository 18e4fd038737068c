"""Track records between their append and their return from the log."""

from ._records import Accepted, JobImage, Record, TermTaken
from ._state import ShardState


def record_sent(state: ShardState, record: Record) -> None:
    """Remember a record about a job until it comes back."""
    job_id = _job_id(record)
    if job_id:
        state.on_way.setdefault(job_id, []).append(record)


def record_arrived(state: ShardState, record: Record) -> None:
    """Forget a record that came back; others' records change nothing."""
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
