"""Follow whether records can be kept, and restate jobs."""

import itertools
from typing import Final

from ._commands import Append, Restated
from ._events import DurabilityChanged, RestateAsked
from ._handlers import FOLDS, HANDLERS, Commands
from ._images import image_of, is_at_rest, restore_job
from ._records import JobImage, TermTaken
from ._state import RestateRound, ShardState

IMAGES_PER_TICK: Final = 50


@HANDLERS.register(DurabilityChanged)
def on_durability_changed(
    state: ShardState,
    event: DurabilityChanged,
    now_ms: int,
) -> Commands:
    """Remember whether new jobs can be kept."""
    state.can_keep = event.possible
    yield from ()


@HANDLERS.register(RestateAsked)
def on_restate_asked(
    state: ShardState,
    event: RestateAsked,
    now_ms: int,
) -> Commands:
    """Start a round; the term is restated first."""
    if not state.is_owner or state.restating is not None:
        return
    state.restating = RestateRound(
        event.round_offset,
        dict.fromkeys(state.jobs),
    )
    yield Append(TermTaken(state.pool, state.term, state.node, now_ms))


def restate(state: ShardState) -> Commands:
    """Restate some jobs of the round in progress."""
    current = state.restating
    if current is None:
        return
    if not state.is_owner:
        state.restating = None
        return
    for job_id in tuple(itertools.islice(current.waiting, IMAGES_PER_TICK)):
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
    if not is_at_rest(state, job):
        # A record on its way would be missing from the image and would come
        # before it, so the job takes its turn again later.
        current.waiting[job_id] = None
        return
    current.sent[job_id] = None
    yield Append(image_of(state, job))


@FOLDS.register(JobImage)
def fold_image(
    state: ShardState,
    record: JobImage,
    now_ms: int,
) -> Commands:
    """Take over a restated job that is not known yet."""
    job_id = record.spec.job_id
    if job_id not in state.jobs:
        restore_job(state, record)
    if state.restating is not None:
        state.restating.sent.pop(job_id, None)
    yield from ()
