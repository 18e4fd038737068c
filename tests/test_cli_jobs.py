"""Test the sub-commands that submit, inspect and cancel jobs."""

import json

import pytest

from cell_parts import start_cell, wait_until
from lycheerelay.cli import main


@pytest.fixture(scope='module')
def entry():
    with start_cell() as cell:
        server = cell.add_node()[1]
        cell.submit_ready(server, 'a.first', 10)
        yield server.address


@pytest.fixture
def run(entry, capsys):
    def run_command(*arguments):
        status = main([*arguments, '--entry', entry])
        printed = capsys.readouterr()
        return status, printed.out, printed.err

    return run_command


def submit(run, payload, *more):
    fields = ('--team', 't', '--workload', 'desk', '--kind', 'batch')
    text = json.dumps(payload)
    return run('submit', *fields, '--payload', text, *more)


def test_submit_wait_and_status(run):
    status, out, _ = submit(run, {'run_ms': 20, 'answer': 'swept'})
    assert status == 0
    job_id = out.strip()
    assert job_id.startswith('a.')
    status, out, _ = run('wait', job_id, '--json')
    assert (status, json.loads(out)['tasks'][0]['answer']) == (0, 'swept')
    status, out, _ = run('status', job_id)
    assert (status, 'swept' in out, 'WORKER' in out) == (0, True, True)
    status, out, _ = run('status', '--team', 't')
    assert (status, job_id in out) == (0, True)


def test_failed_job_sets_the_exit_status(run):
    failing = {'run_ms': 1, 'exit_code': 3}
    submit(run, failing, '--job-id', 'a.failing', '--no-idempotent')
    status, out, _ = run('wait', 'a.failing', '--timeout-ms', '20000')
    assert (status, 'failed (400)' in out) == (8, True)


def test_conflict_wait_timeout_and_cancel(run):
    long = {'run_ms': 600_000}
    assert submit(run, long, '--job-id', 'a.long')[0] == 0
    other = submit(run, long, '--job-id', 'a.long', '--tasks', '2')
    assert (other[0], 'error 203' in other[2]) == (4, True)
    status, _, err = run('wait', 'a.long', '--timeout-ms', '1')
    assert (status, 'error 501' in err) == (11, True)
    assert run('cancel', 'a.long')[0] == 0
    assert run('wait', 'a.long')[0] == 10


def test_waiting_job_is_explained(run):
    wide = ('--tasks', '2', '--cores-milli', '16000')
    assert submit(run, {'run_ms': 60_000}, '--job-id', 'a.wide', *wide)[0] == 0
    wait_until(lambda: ' tasks on w1' in run('explain', 'a.wide')[1])
    status, out, _ = run('explain', 'a.wide')
    assert (status, '1 of 2 tasks on w1' in out) == (0, True)
    assert run('cancel', 'a.wide')[0] == 0
    assert run('explain', 'a.none')[0] == 3


def test_invalid_arguments_are_refused(run):
    assert run('status')[0] == 2
    status, _, err = submit(run, {}, '--tasks', '0')
    assert (status, 'tasks: got 0' in err) == (2, True)
    assert run('status', 'a.none')[0] == 3


def test_dump_prints_sorted_json(run):
    status, out, _ = run('dump')
    shown = json.loads(out)
    assert (status, shown['settings']['name']) == (0, 'e1')
    assert list(shown) == sorted(shown)
