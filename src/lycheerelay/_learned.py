"""Summarize the resource use and run times of tasks."""

from dataclasses import dataclass
from typing import Final

PEAK_DECAY_DIVISOR: Final = 8
MEAN_GAIN_DIVISOR: Final = 8
DEVIATION_GAIN_DIVISOR: Final = 4
LONG_RUN_DEVIATIONS: Final = 4


@dataclass(slots=True)
class LearnedUsage:
    """Hold decaying peaks of use, and mean and deviation of run times.

    Sources: Rzadca et al., "Autopilot: workload autoscaling at Google",
    EuroSys 2020 (decaying peaks of use); Jacobson, "Congestion avoidance
    and control", SIGCOMM 1988 (mean and deviation).
    """

    cores_milli: int = 0
    memory_mb: int = 0
    mean_run_ms: int = 0
    deviation_ms: int = 0
    runs: int = 0

    @property
    def long_run_ms(self) -> int:
        """Return a run time in ms that few tasks exceed."""
        return self.mean_run_ms + LONG_RUN_DEVIATIONS * self.deviation_ms

    def record_use(self, cores_milli: int, memory_mb: int) -> None:
        """Raise the peaks at once to a higher use."""
        self.cores_milli = max(self.cores_milli, cores_milli)
        self.memory_mb = max(self.memory_mb, memory_mb)

    def record_end(self, run_ms: int, cores_milli: int, memory_mb: int) -> None:
        """Decay the peaks towards the use of a task and learn its run time.

        A task without a report of its memory use does not change the peaks.
        """
        if memory_mb:
            self.cores_milli = _decay(self.cores_milli, cores_milli)
            self.memory_mb = _decay(self.memory_mb, memory_mb)
        self.runs += 1
        if self.runs == 1:
            self.mean_run_ms = run_ms
            self.deviation_ms = run_ms // 2
            return
        error_ms = run_ms - self.mean_run_ms
        self.mean_run_ms += error_ms // MEAN_GAIN_DIVISOR
        growth_ms = abs(error_ms) - self.deviation_ms
        self.deviation_ms += growth_ms // DEVIATION_GAIN_DIVISOR


def _decay(peak: int, used: int) -> int:
    return max(used, peak - (peak - used) // PEAK_DECAY_DIVISOR)
