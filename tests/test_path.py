"""Test the job API end to end over HTTP, in one process."""

import json
import time

import pytest

from cell_parts import start_cell
from lycheerelay._http import HttpCaller


@pytest.fixture
def cell():
    with start_cell() as parts:
        server = parts.add_node()[1]
        yield f'http://{server.address}', parts.worker


def submit(caller, base, job_id, **fields):
    body = {'job_id': job_id, 'team': 't', 'workload': 'desk', 'kind': 'batch'}
    body.update(fields)
    for _ in range(50):
        reply = caller.call('POST', f'{base}/v1/jobs', body, 5000).unwrap()
        if reply.status != 503:
            return reply
        time.sleep(0.1)
    return reply


def test_job_runs_once_and_answers(cell):
    base, worker = cell
    caller = HttpCaller()
    payload = json.dumps({'run_ms': 30, 'answer': 'ok 17'})
    reply = submit(caller, base, 'a.j1', payload=payload, tasks=3)
    assert reply.status == 202
    url = f'{base}/v1/jobs/a.j1?wait_ms=8000'
    view = caller.call('GET', url, timeout_ms=9000).unwrap().body
    assert view['state'] == 'done'
    assert [task['answer'] for task in view['tasks']] == ['ok 17'] * 3
    assert sorted(worker.starts.values()) == [1, 1, 1]
    again = submit(caller, base, 'a.j1', payload=payload, tasks=3)
    assert again.status == 202
    other = submit(caller, base, 'a.j1', payload=payload, tasks=2)
    assert (other.status, other.body['code']) == (409, 203)


def test_wrong_field_is_named(cell):
    base, _ = cell
    reply = submit(HttpCaller(), base, 'a.j2', tasks='two')
    assert reply.status == 400
    assert 'tasks' in reply.body['detail']
    assert reply.body['not_run'] is True
