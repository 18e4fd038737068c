"""Follow whether records can be kept, and restate jobs."""

from ._events import KeepingChanged
from ._handlers import FOLDS, HANDLERS, Commands
from ._images import restore_job
from ._records import JobImage
from ._state import ShardState


@HANDLERS.register(KeepingChanged)
def on_keeping(
    state: ShardState,
    event: KeepingChanged,
    now_ms: int,
) -> Commands:
    """Remember whether new jobs can be kept."""
    state.can_keep = event.possible
    yield from ()


@FOLDS.register(JobImage)
def fold_image(
    state: ShardState,
    record: JobImage,
    now_ms: int,
) -> Commands:
    """Take over a restated job that is not known yet."""
    if record.spec.job_id not in state.jobs:
        restore_job(state, record)
    yield from ()
