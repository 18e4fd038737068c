"""Test that the path benchmark detects wrong, lost and duplicate work.

An `evaluate` that misses them would report a faulty cell as correct.
"""

import importlib.util
import json
import sys
from pathlib import Path

import pytest

BENCHMARKS = Path(__file__).parent.parent / 'benchmarks'


@pytest.fixture(scope='module')
def bench():
    sys.path.insert(0, str(BENCHMARKS))
    spec = importlib.util.spec_from_file_location(
        'path_bench',
        BENCHMARKS / 'path.py',
    )
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    sys.path.remove(str(BENCHMARKS))
    return module


def job(job_id, **fields):
    payload = json.dumps({'answer': f'answer of {job_id}'})
    body = {'job_id': job_id, 'kind': 'batch', 'tasks': 1, 'payload': payload}
    return body | fields


def outcome(bench, job_id, answer=None, status=202, **body):
    view = {
        'job_id': job_id,
        'state': 'done',
        'tasks': [{'answer': answer or f'answer of {job_id}'}],
    }
    return bench.Outcome(job_id, 0, status, body, view)


def ledger(**starts):
    attempts = {f'a.{name}:0:1': count for name, count in starts.items()}
    return {
        'starts': attempts,
        'started_ms': dict(zip(attempts, range(5, 99, 7), strict=False)),
        'two_live': [],
        'overbooked': [],
    }


def figures(bench, jobs, outcomes, *ledgers):
    result = bench.evaluate(jobs, outcomes, ledgers)
    return result['wrong'], result['doubled'], result['lost']


def test_right_answers_and_true_refusals_pass(bench):
    jobs = [job('a.j'), job('a.k'), job('a.big', cores_milli=64_000)]
    refusal = bench.Outcome(
        'a.big', 0, 422, {'code': 300, 'not_run': True}, None
    )
    outcomes = [outcome(bench, 'a.j'), outcome(bench, 'a.k'), refusal]
    assert figures(bench, jobs, outcomes, ledger(j=1, k=1)) == (0, 0, 0)
    ran = ledger(j=1, k=1, big=1)
    assert figures(bench, jobs, outcomes, ran) == (1, 0, 0)


def test_swapped_answer_is_wrong(bench):
    jobs = [job('a.j'), job('a.k')]
    outcomes = [
        outcome(bench, 'a.j', 'answer of a.k'),
        outcome(bench, 'a.k'),
    ]
    assert figures(bench, jobs, outcomes, ledger(j=1, k=1)) == (1, 0, 0)


def test_second_start_counts_as_doubled_and_no_answer_as_lost(bench):
    jobs = [job('a.j'), job('a.k')]
    unanswered = outcome(bench, 'a.k')._replace(view=None)
    outcomes = [outcome(bench, 'a.j'), unanswered]
    found = figures(bench, jobs, outcomes, ledger(j=1), ledger(j=1, k=1))
    assert found == (0, 1, 1)


def test_answer_without_a_start_is_wrong(bench):
    jobs = [job('a.j'), job('a.k')]
    outcomes = [outcome(bench, 'a.j'), outcome(bench, 'a.k')]
    assert figures(bench, jobs, outcomes, ledger(j=1, x=1)) == (1, 0, 0)
