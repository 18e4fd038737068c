"""Check the runs on workers against the guarantees to callers."""

from dataclasses import dataclass, field
from typing import Any, Final, final

from ._audit_tenants import TenantAudit, step_demand

MAX_START_AFTER_CANCEL_MS: Final = 3000
# A task that crashes its workers may be given up after this many crashes, and may
# be started less than this many times after the last of them.
CRASHES_TO_GIVE_UP: Final = 2
CRASHES_TO_LIMIT: Final = 3
MAX_STARTS_AFTER_LIMIT: Final = 3


@dataclass
class SubmittedJob:
    """A job as submitted, and what its caller learned about it.

    `deadly` holds the tasks, as `STEP.MEMBER`, that crash their workers, and
    `failing` those that fail wherever they run. `tenant` is empty for jobs of
    public queues.
    """

    body: dict[str, Any]
    pool: str
    max_attempts: int
    accepted: bool = False
    outcome_unknown: bool = False
    cancelled_ms: int = -1
    cancel_asked: bool = False
    work_ms: int = 500
    deadly: frozenset[str] = frozenset()
    failing: frozenset[str] = frozenset()
    tenant: str = ''
    queue: str = ''


@dataclass
class ObservedRun:
    """A run as its worker saw it.

    `expired` is set if its lease expired before its end was acknowledged.
    """

    name: str
    number: int
    worker: str
    started_ms: int
    ended_ms: int = -1
    outcome: str = ''
    is_acknowledged: bool = False
    expired: bool = False


@final
@dataclass
class Audit:
    """Collect violations of the guarantees in `broken`.

    A violation starts with its rule: UNASKED (run that was not requested),
    TWICE (task that ran twice), ORDER (step before its dependency), ROUTE
    (wrong worker), LIMIT (capacity exceeded), BUDGET (too many attempts),
    LOST and MIXED (wrong state shown to a caller). `tenants` adds CONFIG and
    QUOTA.
    """

    jobs: dict[str, SubmittedJob] = field(default_factory=dict)
    runs: dict[str, list[ObservedRun]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    checkpoints: dict[str, set[str]] = field(default_factory=dict)
    alone: int = 0
    tenants: TenantAudit = field(init=False)

    def __post_init__(self) -> None:
        """Collect the violations of the tenants' rules in the same list."""
        self.tenants = TenantAudit(self.broken)

    def report_violation(self, rule: str, text: str) -> None:
        """Record a violation of a rule."""
        self.broken.append(f'{rule}: {text}')

    def check_start(
        self,
        worker: Any,
        request: dict[str, Any],
        now_ms: int,
    ) -> ObservedRun:
        """Check a start that a worker executes, and record the run."""
        name = request['task']
        job_id, _, step_text, _ = name.rsplit('.', 3)
        job = self.jobs.get(job_id)
        run = ObservedRun(name, request['run'], worker.worker_id, now_ms)
        earlier = self.runs.setdefault(name, [])
        if job is None:
            self.report_violation('UNASKED', f'{name} was never submitted')
        else:
            step = job.body['steps'][int(step_text)]
            self._check_request(worker, request, job, step, now_ms)
            self._check_single_execution(run, earlier, step)
            self._check_crashes(run, earlier, job)
            if job.tenant:
                self.tenants.check_start(
                    run, job.tenant, step_demand(step), now_ms
                )
        earlier.append(run)
        return run

    def _check_request(
        self,
        worker: Any,
        request: dict[str, Any],
        job: SubmittedJob,
        step: dict[str, Any],
        now_ms: int,
    ) -> None:
        name = request['task']
        job_id, occurrence, step_text, _ = name.rsplit('.', 3)
        if request['spec'] != job.body['spec']:
            self.report_violation('UNASKED', f'{name} has another spec')
        checkpoint = request.get('checkpoint', '')
        scope = name.rsplit('.', 1)[0] if step.get('gang') else name
        if checkpoint and checkpoint not in self.checkpoints.get(scope, ()):
            self.report_violation(
                'UNASKED', f'{name} has a checkpoint of another task'
            )
        if 0 <= job.cancelled_ms < now_ms - MAX_START_AFTER_CANCEL_MS:
            self.report_violation(
                'UNASKED', f'{name} started long after its cancellation'
            )
        if worker.pool != job.pool:
            self.report_violation(
                'ROUTE', f'{name} started in pool {worker.pool}'
            )
        for number in step.get('after', ()):
            if not self._step_done(job_id, occurrence, number, job):
                self.report_violation(
                    'ORDER', f'{name} started before step {number} was done'
                )
        limit = step.get('antiAffinity', 0)
        prefix = f'{job_id}.{occurrence}.{step_text}.'
        if limit and limit <= sum(
            run[0].startswith(prefix) for run in worker.runs
        ):
            self.report_violation('ROUTE', f'{name} exceeds its spread limit')
        failures = [
            run
            for run in self.runs.get(name, ())
            if run.outcome == 'failed' and run.is_acknowledged
        ]
        if len(failures) >= job.max_attempts and not step.get('longRunning'):
            self.report_violation(
                'BUDGET', f'{name} started after {len(failures)} failures'
            )

    def is_deadly(self, name: str) -> bool:
        """Return whether a task crashes the workers that start it."""
        job_id, _, step, member = name.rsplit('.', 3)
        job = self.jobs.get(job_id)
        return job is not None and f'{step}.{member}' in job.deadly

    def is_failing(self, name: str) -> bool:
        """Return whether a task fails on whichever worker starts it."""
        job_id, _, step, member = name.rsplit('.', 3)
        job = self.jobs.get(job_id)
        return job is not None and f'{step}.{member}' in job.failing

    def _check_crashes(
        self, run: ObservedRun, earlier: list[ObservedRun], job: SubmittedJob
    ) -> None:
        if not self.is_deadly(run.name):
            return
        crashed_ms = sorted(
            other.ended_ms for other in earlier if other.outcome == 'crashed'
        )
        if len(crashed_ms) < CRASHES_TO_LIMIT:
            return
        limit_ms = crashed_ms[CRASHES_TO_LIMIT - 1]
        later = sum(other.started_ms > limit_ms for other in earlier)
        if later + 1 >= MAX_STARTS_AFTER_LIMIT:
            self.report_violation(
                'BUDGET', f'{run.name} started {later + 1} times more'
            )

    def _check_single_execution(
        self,
        run: ObservedRun,
        earlier: list[ObservedRun],
        step: dict[str, Any],
    ) -> None:
        if step.get('speculative'):
            return
        for other in earlier:
            if other.ended_ms < 0:
                text = f'{run.name} #{run.number} on {run.worker} while'
                self.report_violation(
                    'TWICE',
                    f'{text} #{other.number} runs on {other.worker}',
                )
            if (
                other.outcome == 'done'
                and other.is_acknowledged
                and not other.expired
            ):
                self.report_violation(
                    'TWICE', f'{run.name} started after it was done'
                )

    def _step_done(
        self,
        job_id: str,
        occurrence: str,
        number: int,
        job: SubmittedJob,
    ) -> bool:
        step = job.body['steps'][number]
        prefix = f'{job_id}.{occurrence}.{number}.'
        done = [
            any(
                run.outcome == 'done'
                for run in self.runs.get(f'{prefix}{member}', ())
            )
            for member in range(step['count'])
        ]
        return any(done) if step.get('gang') else all(done)

    def acknowledge_end(self, run: ObservedRun) -> None:
        """Process the scheduler's acknowledgement of an end."""
        if run.is_acknowledged:
            return
        run.is_acknowledged = True
        if run.outcome != 'done' or run.expired:
            return
        later = [
            other
            for other in self.runs[run.name]
            if other.started_ms > run.ended_ms
        ]
        job_id, _, step_text, _ = run.name.rsplit('.', 3)
        step = self.jobs[job_id].body['steps'][int(step_text)]
        if later and not step.get('speculative'):
            self.report_violation(
                'TWICE',
                f'{run.name} had restarted when its end was acknowledged',
            )

    def check_phase(self, job_id: str, phase: str) -> None:
        """Check a phase that was returned to a caller."""
        job = self.jobs.get(job_id)
        if job is None:
            self.report_violation(
                'MIXED', f'{job_id} is shown but was never submitted'
            )
            return
        if phase == 'completed':
            for number, _ in enumerate(job.body['steps']):
                if not self._step_done(job_id, '0', number, job):
                    self.report_violation(
                        'MIXED', f'{job_id} is completed before all its steps'
                    )
        if phase == 'cancelled' and not job.cancel_asked:
            self.report_violation(
                'LOST', f'{job_id} was cancelled without a request'
            )
        if phase == 'failed' and not self._has_exhausted_attempts(job_id, job):
            self.report_violation('LOST', f'{job_id} failed with attempts left')

    def _has_exhausted_attempts(self, job_id: str, job: SubmittedJob) -> bool:
        has_failed = any(
            self._count_failures(job_id, number, step) >= job.max_attempts
            for number, step in enumerate(job.body['steps'])
        )
        return has_failed or any(
            self.is_deadly(name) and _count_crashes(runs) >= CRASHES_TO_GIVE_UP
            for name, runs in self.runs.items()
            if name.startswith(f'{job_id}.')
        )

    def _count_failures(
        self, job_id: str, number: int, step: dict[str, Any]
    ) -> int:
        """Count the failed runs of the task with the most, or of the gang."""
        failed = [
            {run.number for run in runs if run.outcome == 'failed'}
            for name, runs in self.runs.items()
            if name.startswith(f'{job_id}.')
            and name.rsplit('.', 3)[2] == f'{number}'
        ]
        if step.get('gang'):
            return len(set().union(*failed))
        return max((len(numbers) for numbers in failed), default=0)


def _count_crashes(runs: list[ObservedRun]) -> int:
    return sum(run.outcome == 'crashed' for run in runs)
