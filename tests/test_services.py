"""Keep services up by file: grown, shrunk, replaced and removed."""

from cell_parts import start_cell, wait_until
from lycheerelay._jobs import JobSpec, JobState, Kind, TaskState
from lycheerelay._policy import (
    Policy,
    PoolPolicy,
    ServicePolicy,
    TeamPolicy,
    WorkloadPolicy,
)
from lycheerelay._services import plan_services
from lycheerelay._state import JobBook, ShardState, TaskBook

LONG = '{"run_ms": 600000}'


def policy_of(version, replicas, **shape):
    service = ServicePolicy('web', 't', 'web', replicas, **shape)
    return Policy(
        version,
        teams=(TeamPolicy('t'),),
        workloads=(WorkloadPolicy('web', 'service', 'desk'),),
        services=(service,) if replicas else (),
        pools=(PoolPolicy('desk'),),
    )


def state_of(policy, *jobs):
    state = ShardState('a', 'desk', 'e1', policy)
    state.jobs.update((job.spec.job_id, job) for job in jobs)
    return state


def job_of(job_id, replicas, task_state=TaskState.RUNNING, **fields):
    spec = JobSpec(job_id, 't', 'web', Kind.SERVICE, replicas)
    spec = spec._replace(expected_run_ms=86_400_000)
    tasks = [TaskBook(task_state) for _ in range(replicas)]
    return JobBook(spec, fields.pop('accepted_ms', 0), tasks, **fields)


def test_missing_service_is_submitted_once():
    policy = policy_of(4, 3)
    (spec,) = plan_services(state_of(policy), 0).submits
    assert (spec.job_id, spec.tasks, spec.kind) == (
        'a.svc-web-4-1',
        3,
        'service',
    )
    up = state_of(policy, job_of(spec.job_id, 3))
    assert plan_services(up, 0) == ((), ())


def test_grown_service_keeps_the_old_job_until_the_new_one_runs():
    policy, old = policy_of(5, 4), job_of('a.svc-web-4-1', 3)
    plan = plan_services(state_of(policy, old), 0)
    assert [spec.tasks for spec in plan.submits] == [4]
    assert plan.cancels == ()
    new = job_of('a.svc-web-5-1', 4, TaskState.QUEUED, accepted_ms=9)
    assert plan_services(state_of(policy, old, new), 10) == ((), ())
    assert plan_services(state_of(policy, old, new), 60_010).cancels == (
        'a.svc-web-4-1',
    )
    new = job_of('a.svc-web-5-1', 4, accepted_ms=9)
    assert plan_services(state_of(policy, old, new), 10).cancels == (
        'a.svc-web-4-1',
    )


def test_ended_service_is_submitted_again_after_a_delay():
    ended = job_of(
        'a.svc-web-4-1',
        3,
        TaskState.FAILED,
        state=JobState.FAILED,
        settled_ms=1000,
    )
    state = state_of(policy_of(4, 3), ended)
    assert plan_services(state, 20_000) == ((), ())
    (spec,) = plan_services(state, 31_000).submits
    assert spec.job_id == 'a.svc-web-4-2'


def test_removed_service_is_cancelled_and_other_jobs_are_left_alone():
    mine = job_of('a.svc-web-4-1', 3)
    callers = job_of('a.mine', 3)
    plan = plan_services(state_of(policy_of(5, 0), mine, callers), 0)
    assert plan == ((), ('a.svc-web-4-1',))


def test_service_runs_grows_and_goes_by_configuration():
    with start_cell() as cell:
        node, server = cell.add_node()
        node.configure(policy_of(1, 2, payload=LONG))

        def running():
            listed = cell.call(server, 'GET', '/v1/teams/t/jobs?state=running')
            return [line['tasks'] for line in listed.body['jobs']]

        wait_until(lambda: running() == [2], 20)
        node.configure(policy_of(2, 4, payload=LONG))
        wait_until(lambda: running() == [4], 20)
        node.configure(policy_of(3, 0))
        wait_until(lambda: running() == [], 20)
        reply = cell.submit(server, 'a.svc-web-9-1', workload='web')
        assert (reply.status, reply.body['code']) == (400, 200)
