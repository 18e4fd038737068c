"""Summarize timelines by queue and by second."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from .._clock import MS_PER_SECOND
from ._causes import Cause
from ._timeline import JobTimeline


class CauseTime(NamedTuple):
    """Time that the jobs of a group spent on one cause, in ms."""

    cause: Cause
    jobs: int
    p50_ms: int
    p99_ms: int
    total_ms: int


class QueueSummary(NamedTuple):
    """Jobs of one queue: how they were answered and what they waited for.

    `open_jobs` and `gap_jobs` are accepted jobs without a final phase, and those
    with missing lines; the causes leave both out.
    """

    queue: str
    verdicts: dict[str, int]
    phases: dict[str, int]
    open_jobs: int
    gap_jobs: int
    causes: tuple[CauseTime, ...]


class SecondSummary(NamedTuple):
    """Jobs of one queue that began in one second of the log.

    The times are those of the `traced` jobs, whose lines are complete.
    """

    second: int
    queue: str
    jobs: int
    refused: int
    traced: int
    p50_ms: int
    p99_ms: int
    longest_cause: str


def summarize(
    timelines: Iterable[JobTimeline],
) -> tuple[list[QueueSummary], list[SecondSummary]]:
    """Return the rows of both tables; jobs without a queue are left out."""
    queues: dict[str, list[JobTimeline]] = {}
    for timeline in timelines:
        if timeline.queue:
            queues.setdefault(timeline.queue, []).append(timeline)
    first_ms = min(
        (each.begun_ms for group in queues.values() for each in group),
        default=0,
    )
    by_queue = [
        _queue_row(queue, group) for queue, group in sorted(queues.items())
    ]
    by_second = [
        row
        for queue, group in sorted(queues.items())
        for row in _second_rows(queue, group, first_ms)
    ]
    return by_queue, by_second


def _queue_row(queue: str, group: list[JobTimeline]) -> QueueSummary:
    accepted = [each for each in group if each.progress.accepted]
    return QueueSummary(
        queue,
        dict(Counter(each.verdict or 'unknown' for each in group)),
        dict(Counter(each.phase for each in accepted if each.phase)),
        sum(not each.phase for each in accepted),
        sum(bool(each.phase) and not each.is_complete for each in accepted),
        tuple(_cause_rows(accepted)),
    )


def _cause_rows(group: list[JobTimeline]) -> list[CauseTime]:
    times: dict[Cause, list[int]] = {}
    spans = (each.spent_ms() for each in group if each.is_complete)
    for spent_by_cause in spans:
        for cause, spent_ms in spent_by_cause.items():
            times.setdefault(cause, []).append(spent_ms)
    rows = [
        CauseTime(
            cause,
            len(spent),
            percentile(spent, 0.5),
            percentile(spent, 0.99),
            sum(spent),
        )
        for cause, spent in times.items()
    ]
    return sorted(rows, key=lambda row: -row.total_ms)


def _second_rows(
    queue: str, group: list[JobTimeline], first_ms: int
) -> list[SecondSummary]:
    seconds: dict[int, list[JobTimeline]] = {}
    for timeline in group:
        second = (timeline.begun_ms - first_ms) // MS_PER_SECOND
        seconds.setdefault(second, []).append(timeline)
    return [
        _second_row(second, queue, seconds[second])
        for second in sorted(seconds)
    ]


def _second_row(
    second: int, queue: str, group: list[JobTimeline]
) -> SecondSummary:
    accepted = [each for each in group if each.progress.accepted]
    took_ms = [
        each.ended_ms - each.begun_ms for each in accepted if each.is_complete
    ]
    causes = _cause_rows(accepted)
    return SecondSummary(
        second,
        queue,
        len(group),
        len(group) - len(accepted),
        len(took_ms),
        percentile(took_ms, 0.5),
        percentile(took_ms, 0.99),
        causes[0].cause.value if causes else '',
    )


def percentile(values: list[int], share: float) -> int:
    """Return the value at a share of the sorted values; 0 without values."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
