"""Records of jobs that are too large for one, or that can't be kept at all."""

from ._intake import fail_unrecordable_job
from ._progress_parts import merge_progress, part_numbers, split_progress

__all__ = (
    'fail_unrecordable_job',
    'merge_progress',
    'part_numbers',
    'split_progress',
)
