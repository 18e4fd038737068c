"""Split the time of each job by cause."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import chain
from typing import Final, NamedTuple

from .._registry import Registry
from ._causes import Cause, JobProgress, cause_of
from ._lines import LogLine

COMPLETED: Final = 'completed'
# Verdicts of submissions that were refused for what others use.
CAUSE_OF_VERDICT: Final = {'over_rate': Cause.SHARE, 'busy': Cause.BUSY}
# Ends that a later run of the task has to make up for.
FAILED_ENDS: Final = frozenset(('failed', 'stopped', 'lapsed', 'broken'))


class Interval(NamedTuple):
    """Span of a job's time with one cause; times in ms since 1970."""

    from_ms: int
    to_ms: int
    cause: Cause


@dataclass(slots=True)
class JobTimeline:
    """Track one job; `verdict` is the answer to its submission.

    `lines` holds the time, VM and text of each line about the job.
    """

    job_id: str
    queue: str = ''
    pool: str = ''
    tenant: str = ''
    verdict: str = ''
    phase: str = ''
    begun_ms: int = -1
    ended_ms: int = -1
    intervals: list[Interval] = field(default_factory=list)
    lines: list[tuple[int, str, str]] = field(default_factory=list)
    progress: JobProgress = field(default_factory=JobProgress)

    def advance(self, at_ms: int) -> None:
        """Add the time since the last line to what the job waited for."""
        if self.begun_ms < 0:
            self.begun_ms = at_ms
        if 0 <= self.ended_ms < at_ms:
            interval = Interval(self.ended_ms, at_ms, cause_of(self.progress))
            self.intervals.append(interval)
        self.ended_ms = max(self.ended_ms, at_ms)

    @property
    def is_complete(self) -> bool:
        """Return whether the job's lines tell all of its time."""
        if self.phase == COMPLETED:
            return not self.progress.has_gaps
        return bool(self.phase) and self.progress.opened

    def spent_ms(self) -> dict[Cause, int]:
        """Return the time by cause."""
        spent: dict[Cause, int] = {}
        for interval in self.intervals:
            took_ms = interval.to_ms - interval.from_ms
            spent[interval.cause] = spent.get(interval.cause, 0) + took_ms
        return spent


class TenantHold(NamedTuple):
    """Reason for which work of a tenant is held back.

    `subject` is a resource for the quota, a pool for the share.
    """

    tenant: str
    cause: Cause
    subject: str


# Lines of an owner that begin and end a hold, and the field with its subject. An end
# without a subject ends all holds of that cause.
HOLD_LINES: Final = {
    'quota_reached': (Cause.QUOTA, 'resource', True),
    'quota_available': (Cause.QUOTA, '', False),
    'share_reached': (Cause.SHARE, 'pool', True),
    'share_left': (Cause.SHARE, 'pool', False),
}
# Fields that name the job of a line, where they are not the usual ones. A refused
# caller is logged with the job, its record or only the queue.
JOB_FIELDS: Final = {'caller_refused': ('job', 'what')}
RECORD_PREFIX: Final = 'job/'
# Lines about a tenant name a step only as an example.
TENANT_LINES: Final = frozenset(HOLD_LINES)
# A new owner logs the holds that it finds again.
RESET_LINE: Final = 'takeover_loaded'


class TenantHolds:
    """Apply lines about tenants to their jobs."""

    def __init__(self) -> None:
        """Start without holds."""
        self.held: set[TenantHold] = set()
        self.jobs: dict[str, dict[str, JobTimeline]] = {}

    def follow(self, timeline: JobTimeline) -> None:
        """Tell a job what holds its tenant back until the job has ended."""
        if not timeline.tenant:
            return
        jobs = self.jobs.setdefault(timeline.tenant, {})
        if timeline.phase:
            jobs.pop(timeline.job_id, None)
            return
        jobs[timeline.job_id] = timeline
        timeline.progress.held_by = self._causes(timeline)

    def apply(self, line: LogLine) -> None:
        """Apply the begin or end of a hold to the open jobs of the tenant."""
        if line.message == RESET_LINE:
            self.held.clear()
            for jobs in self.jobs.values():
                self._update(jobs.values(), line)
        if line.message not in HOLD_LINES:
            return
        cause, name, begins = HOLD_LINES[line.message]
        tenant = str(line.fields.get('tenant', ''))
        hold = TenantHold(tenant, cause, str(line.fields.get(name, '')))
        if begins:
            self.held.add(hold)
        else:
            self.held = {
                other for other in self.held if not _is_ended(other, hold)
            }
        self._update(self.jobs.get(tenant, {}).values(), line)

    def _update(self, jobs: Iterable[JobTimeline], line: LogLine) -> None:
        for timeline in jobs:
            timeline.advance(line.at_ms)
            timeline.progress.held_by = self._causes(timeline)
            timeline.lines.append((line.at_ms, line.vm, line.message))

    def _causes(self, timeline: JobTimeline) -> set[Cause]:
        return {
            hold.cause
            for hold in self.held
            if hold.tenant == timeline.tenant
            and (hold.cause is Cause.QUOTA or hold.subject == timeline.pool)
        }


def _is_ended(hold: TenantHold, end: TenantHold) -> bool:
    is_same = hold[:2] == end[:2]
    return is_same and end.subject in {'', hold.subject}


Handler = Callable[[JobTimeline, LogLine], None]
HANDLERS: Final[Registry[str, Handler]] = Registry('log message')


def build_timelines(lines: Iterable[LogLine]) -> dict[str, JobTimeline]:
    """Return the timeline of each job, by id; lines may come in any order."""
    timelines: dict[str, JobTimeline] = {}
    holds = TenantHolds()
    ordered = sorted(lines, key=lambda line: line.at_ms)
    for line in chain.from_iterable(map(_split_by_run, ordered)):
        holds.apply(line)
        job_id = _job_of(line)
        if job_id is None:
            continue
        timeline = timelines.setdefault(job_id, JobTimeline(job_id))
        if line.message in HANDLERS and not timeline.phase:
            _begin_span(timeline, line)
            timeline.advance(line.at_ms)
            HANDLERS[line.message](timeline, line)
            holds.follow(timeline)
        timeline.lines.append((line.at_ms, line.vm, line.message))
    return timelines


def _split_by_run(line: LogLine) -> Iterable[LogLine]:
    """Return a line for each run of a line that names several."""
    runs = line.fields.get('runs')
    if not isinstance(runs, list):
        return (line,)
    return [line._replace(fields={**line.fields, 'run': run}) for run in runs]


def _job_of(line: LogLine) -> str | None:
    if line.message in TENANT_LINES:
        return None
    for name in JOB_FIELDS.get(line.message, ('job', 'run', 'step')):
        text = line.fields.get(name)
        if isinstance(text, str):
            return text.removeprefix(RECORD_PREFIX).partition('.')[0]
    return None


def _begin_span(timeline: JobTimeline, line: LogLine) -> None:
    """Apply when that began which the line reports as finished."""
    took_ms = line.fields.get('took_ms', 0)
    if not isinstance(took_ms, int):
        return
    if line.message == 'advice_received':
        timeline.advance(line.at_ms - took_ms)
        timeline.progress.needs_advice = True
    elif line.fields.get('what') == 'submit' and timeline.begun_ms < 0:
        timeline.advance(line.at_ms - took_ms)


@HANDLERS.register('request')
def apply_request(timeline: JobTimeline, line: LogLine) -> None:
    """Apply the answer to a submission."""
    if line.fields.get('what') != 'submit':
        return
    timeline.queue = str(line.fields.get('queue', ''))
    timeline.verdict = str(line.fields.get('verdict', ''))
    progress = timeline.progress
    progress.accepted |= timeline.verdict == 'ok'
    if progress.accepted:
        progress.refused_by = None
    else:
        cause = CAUSE_OF_VERDICT.get(timeline.verdict)
        progress.refused_by = cause or progress.refused_by


@HANDLERS.register('caller_refused')
def apply_refusal(timeline: JobTimeline, line: LogLine) -> None:
    """Apply that a call was refused for its key."""
    if not timeline.progress.accepted:
        timeline.progress.refused_by = Cause.KEY


@HANDLERS.register('connection_closed')
def apply_closed(timeline: JobTimeline, line: LogLine) -> None:
    """Apply that the connection of a call was closed for room or a limit."""
    if not timeline.progress.accepted:
        timeline.progress.refused_by = Cause.CONNECTION


@HANDLERS.register('submission_not_begun')
def apply_not_begun(timeline: JobTimeline, line: LogLine) -> None:
    """Apply that a job waited for its turn until its caller's timeout."""
    if not timeline.progress.accepted:
        timeline.progress.refused_by = Cause.BUSY


@HANDLERS.register('job_opened')
def apply_opened(timeline: JobTimeline, line: LogLine) -> None:
    """Apply that an owner knows the job; after a takeover, its runs too."""
    progress = timeline.progress
    timeline.queue = str(line.fields.get('queue', timeline.queue))
    timeline.pool = str(line.fields.get('pool', timeline.pool))
    timeline.tenant = str(line.fields.get('tenant', timeline.tenant))
    progress.accepted = True
    progress.refused_by = None
    progress.opened = True
    progress.widths = tuple(line.fields.get('widths', ()))


@HANDLERS.register('advice_received')
def apply_advice(timeline: JobTimeline, line: LogLine) -> None:
    """Apply a reply of the advisor about a step."""
    if line.fields.get('allowed'):
        timeline.progress.advised.add(str(line.fields.get('step')))


@HANDLERS.register('runs_started')
def apply_starts(timeline: JobTimeline, line: LogLine) -> None:
    """Apply a decision to start runs."""
    step = line.fields['step']
    progress = timeline.progress
    for member, number in zip(
        line.fields['members'], line.fields['numbers'], strict=True
    ):
        progress.unrecorded.add(f'{step}.{member}#{number}')
        progress.lost.discard(f'{step}.{member}')


@HANDLERS.register('starts_recorded')
def apply_recorded(timeline: JobTimeline, line: LogLine) -> None:
    """Apply that the assignments are durable and the orders are sent."""
    progress = timeline.progress
    progress.running |= progress.unrecorded
    progress.unrecorded.clear()


@HANDLERS.register('run_ended')
def apply_end(timeline: JobTimeline, line: LogLine) -> None:
    """Apply the end of a run as its worker listed it."""
    run = str(line.fields['run'])
    task = run.partition('#')[0]
    progress = timeline.progress
    progress.running.discard(run)
    progress.unrecorded.discard(run)
    if line.fields.get('how') == 'done':
        progress.done.add(task)
    elif line.fields.get('how') in FAILED_ENDS:
        progress.lost.add(task)


@HANDLERS.register('runs_lost')
@HANDLERS.register('run_over')
def apply_loss(timeline: JobTimeline, line: LogLine) -> None:
    """Apply that a run is lost with its worker or was never started."""
    run = str(line.fields['run'])
    timeline.progress.running.discard(run)
    timeline.progress.lost.add(run.partition('#')[0])


@HANDLERS.register('crash_counted')
def apply_crash(timeline: JobTimeline, line: LogLine) -> None:
    """Apply that a task may have crashed its worker, and has a trial."""
    task = str(line.fields['run']).partition('#')[0]
    timeline.progress.suspected.add(task)


@HANDLERS.register('task_cleared')
def apply_clearing(timeline: JobTimeline, line: LogLine) -> None:
    """Apply that a task has outlasted the crashes of its workers."""
    task = str(line.fields['run']).partition('#')[0]
    timeline.progress.suspected.discard(task)


@HANDLERS.register('job_settled')
def apply_settled(timeline: JobTimeline, line: LogLine) -> None:
    """Apply that the job is over, though not yet durably."""
    timeline.progress.settled = True


@HANDLERS.register('job_recorded')
def apply_durable(timeline: JobTimeline, line: LogLine) -> None:
    """Apply the durable end, which callers are told from now on."""
    timeline.phase = str(line.fields.get('phase', ''))
