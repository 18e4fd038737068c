"""Open jobs with other work in between, and release what is finished."""

from ._intake import add_job, make_first_steps, make_job
from ._schedules import forget_finished_occurrences

__all__ = (
    'add_job',
    'forget_finished_occurrences',
    'make_first_steps',
    'make_job',
)
