"""Track whether records can be stored, and append job images."""

import itertools
from typing import Final

from ._commands import Append, Restated
from ._events import DurabilityChanged, RestateAsked
from ._handlers import EVENT_HANDLERS, RECORD_HANDLERS, Commands
from ._job_images import has_record_in_flight, image_of, restore_job
from ._records import JobImage, TermTaken
from ._state import RestateRound, ShardState

MAX_IMAGES_PER_TICK: Final = 50


@EVENT_HANDLERS.register(DurabilityChanged)
def on_durability_changed(
    state: ShardState,
    event: DurabilityChanged,
    now_ms: int,
) -> Commands:
    """Store whether new jobs can be recorded."""
    state.can_keep = event.possible
    yield from ()


@EVENT_HANDLERS.register(RestateAsked)
def on_restate_asked(
    state: ShardState,
    event: RestateAsked,
    now_ms: int,
) -> Commands:
    """Start a restate round; the term is appended before the jobs."""
    if not state.is_owner or state.restating is not None:
        return
    state.restating = RestateRound(
        event.round_offset,
        dict.fromkeys(state.jobs),
    )
    yield Append(TermTaken(state.pool, state.term, state.node, now_ms))


def restate(state: ShardState) -> Commands:
    """Append images of some jobs of the round in progress."""
    current = state.restating
    if current is None:
        return
    if not state.is_owner:
        state.restating = None
        return
    for job_id in tuple(itertools.islice(current.waiting, MAX_IMAGES_PER_TICK)):
        yield from _restate_job(state, current, job_id)
    if not current.waiting and not current.sent:
        state.restating = None
        yield Restated(state.pool, current.offset)


def _restate_job(
    state: ShardState,
    current: RestateRound,
    job_id: str,
) -> Commands:
    job = state.jobs.get(job_id)
    current.waiting.pop(job_id)
    if job is None:
        return
    if has_record_in_flight(state, job):
        # A record in flight precedes the image in the log but is missing from
        # it. A reader that starts at the image would lose the record, so the
        # job goes back to the end of the round.
        current.waiting[job_id] = None
        return
    current.sent[job_id] = None
    yield Append(image_of(state, job))


@RECORD_HANDLERS.register(JobImage)
def apply_image(
    state: ShardState,
    record: JobImage,
    now_ms: int,
) -> Commands:
    """Add a job from its image, unless the job is known already."""
    job_id = record.spec.job_id
    if job_id not in state.jobs:
        restore_job(state, record)
    if state.restating is not None:
        state.restating.sent.pop(job_id, None)
    yield from ()
