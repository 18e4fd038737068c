"""Check that a service follows its configured number of replicas."""

from cell_parts import start_cell, wait_until
from lycheerelay._policy import (
    Policy,
    PoolPolicy,
    ServicePolicy,
    TeamPolicy,
    WorkloadPolicy,
)

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


def test_service_runs_grows_and_goes_by_configuration():
    with start_cell() as cell:
        node, server = cell.add_node()
        node.configure(policy_of(1, 2, payload=LONG))

        def running():
            listed = cell.call(server, 'GET', '/v1/teams/t/jobs?state=running')
            return sum(line['tasks'] for line in listed.body['jobs'])

        wait_until(lambda: running() == 2, 20)
        node.configure(policy_of(2, 4, payload=LONG))
        wait_until(lambda: running() == 4, 20)
        node.configure(policy_of(3, 1, payload=LONG))
        wait_until(lambda: running() == 1, 20)
        node.configure(policy_of(4, 0))
        wait_until(lambda: running() == 0, 20)
        reply = cell.submit(server, 'a.svc-web-9-1', workload='web')
        assert (reply.status, reply.body['code']) == (400, 200)
