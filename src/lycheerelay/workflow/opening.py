"""Open a job with other work between its steps."""

from ._intake import add_job, make_first_steps, make_job

__all__ = ('add_job', 'make_first_steps', 'make_job')
