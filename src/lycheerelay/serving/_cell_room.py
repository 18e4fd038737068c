"""Decide whether the owner's memory has room for another large job.

Load: jobs of thousands of steps come one after the other, each inside all limits, and
the owner holds all of them until they are over.
"""

from typing import Final, NamedTuple, final

from ._connection_limits import BYTES_PER_MB, DEFAULT_MEMORY_MB

# Jobs with fewer steps are not asked for.
LARGE_JOB_STEPS: Final = 500
# Memory that the owner needs for a step of an open job.
STEP_BYTES: Final = 1500
# Part of the memory of a process that the steps of open jobs may take.
MEMORY_PARTS: Final = 4
# Time from an admission until the owner has read the job, at most.
ADMISSION_MS: Final = 10_000


class Admission(NamedTuple):
    """Steps of a job that was admitted and is not read yet; time in ms."""

    steps: int
    expires_ms: int


@final
class CellRoom:
    """Admit large jobs while their steps fit in the memory of the owner."""

    def __init__(self, memory_mb: int) -> None:
        """Take the memory of the process; 0 stands for the default."""
        memory_bytes = (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        self.max_steps = memory_bytes // MEMORY_PARTS // STEP_BYTES
        self.admissions: dict[str, Admission] = {}

    def admit(
        self, job_id: str, steps: int, held: dict[str, int], now_ms: int
    ) -> bool:
        """Return whether a job may be stored, and keep room for it.

        `held` has the steps of each job that the owner holds. A job that is too
        large for the memory is admitted alone.
        """
        for name, admission in tuple(self.admissions.items()):
            if name in held or admission.expires_ms <= now_ms:
                self.admissions.pop(name)
        others = sum(held.values()) + sum(
            admission.steps
            for name, admission in self.admissions.items()
            if name != job_id
        )
        if others and others + steps > self.max_steps:
            return False
        self.admissions[job_id] = Admission(steps, now_ms + ADMISSION_MS)
        return True
