"""Submit mixed jobs through all entry VMs and keep their answers."""

import json
import random
import secrets
import threading
import time

from lycheerelay._http import HttpCaller

SUBMIT_TIMEOUT_S = 45
READ_TIMEOUT_S = 30
MAX_PAUSE_S = 0.15
DUPLICATE_SUBMIT_SHARE = 0.1
CANCEL_SHARE = 0.08
DOMAINS = ('a', 'b', 'c')


class Job:
    """Track what the caller knows about one job."""

    def __init__(self, body):
        self.body = body
        self.job_id = body['job_id']
        self.accepted_at = None
        self.not_run = False
        self.held = False
        self.cancelled = False
        self.refused = None
        self.answer = None

    def apply_reply(self, reply):
        """Apply a reply to the submission and return whether it is final."""
        if reply.is_err():
            return False
        status, body = reply.ok_value
        if status in {200, 202}:
            self.accepted_at = time.monotonic()
            self.held = bool(body.get('held'))
            return True
        if body and body.get('not_run'):
            self.not_run = True
            self.refused = body
            return True
        return False


class Load:
    """Run a fixed number of concurrent callers."""

    def __init__(self, cell, callers, seed):
        self.cell = cell
        self.jobs = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(
                target=self.run,
                args=(random.Random(seed * 1000 + number),),
                daemon=True,
            )
            for number in range(callers)
        ]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(SUBMIT_TIMEOUT_S + READ_TIMEOUT_S)

    def run(self, rng):
        caller = HttpCaller()
        while not self.stopping.is_set():
            job = Job(make_body(rng))
            with self.lock:
                self.jobs.append(job)
            if rng.random() < DUPLICATE_SUBMIT_SHARE:
                self.submit_duplicate(job, rng)
            self.submit(job, rng, caller)
            if job.accepted_at is not None:
                if rng.random() < CANCEL_SHARE:
                    self.cancel(job, rng, caller)
                self.read(job, rng, caller, READ_TIMEOUT_S)
            self.stopping.wait(rng.uniform(0, MAX_PAUSE_S))

    def submit(self, job, rng, caller):
        until = time.monotonic() + SUBMIT_TIMEOUT_S
        while time.monotonic() < until:
            vm = rng.choice(self.cell.vms)
            url = f'http://{vm.address}/v1/jobs'
            if job.apply_reply(caller.call('POST', url, job.body, 5000)):
                return
            time.sleep(rng.uniform(0.1, 0.5))

    def submit_duplicate(self, job, rng):
        vm = rng.choice(self.cell.vms)
        url = f'http://{vm.address}/v1/jobs'
        threading.Thread(
            target=HttpCaller().call,
            args=('POST', url, job.body, 5000),
            daemon=True,
        ).start()

    def cancel(self, job, rng, caller):
        job.cancelled = True
        vm = rng.choice(self.cell.vms)
        url = f'http://{vm.address}/v1/jobs/{job.job_id}/cancel'
        caller.call('POST', url, {}, 5000)

    def read(self, job, rng, caller, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            view = self.view(job, rng.choice(self.cell.vms), caller, 3000)
            if view is not None and view['complete']:
                job.answer = view
                return
            time.sleep(rng.uniform(0.05, 0.3))

    def view(self, job, vm, caller, wait_ms=0):
        path = f'/v1/jobs/{job.job_id}?wait_ms={wait_ms}'
        url = f'http://{vm.address}{path}'
        reply = caller.call('GET', url, timeout_ms=wait_ms + 3000)
        if reply.is_err() or reply.ok_value.status != 200:
            return None
        return reply.ok_value.body

    def open_jobs(self):
        return [
            job
            for job in self.jobs
            if job.accepted_at is not None and job.answer is None
        ]

    def drain(self, timeout_s, seed):
        """Read open jobs until all are answered or the timeout expires."""
        rng = random.Random(seed)
        caller = HttpCaller()
        until = time.monotonic() + timeout_s
        while self.open_jobs() and time.monotonic() < until:
            for job in self.open_jobs():
                self.read(job, rng, caller, 0.01)
            time.sleep(0.2)

    def changed_answers(self, seed):
        """Read each answer again from a random VM; return those that differ."""
        rng = random.Random(seed)
        caller = HttpCaller()
        changed = []
        for job in self.jobs:
            if job.answer is None:
                continue
            vms = [vm for vm in self.cell.vms if job.job_id[0] == vm.domain]
            view = self.view(job, rng.choice(vms), caller)
            if view is not None and view != job.answer:
                changed.append((job.job_id, job.answer, view))
        return changed


def make_body(rng):
    workload, kind, tasks, accelerators = rng.choice(
        (
            ('sweep', 'batch', 1, 0),
            ('sweep', 'batch', 1, 0),
            ('sweep', 'batch', 3, 0),
            ('extract', 'batch', 2, 1),
            ('solve', 'gang', 2, 1),
            ('solve', 'gang', 3, 2),
        ),
    )
    job_id = f'{rng.choice(DOMAINS)}.{secrets.token_hex(6)}'
    run_ms = rng.choice((20, 100, 300, 1000, 2500))
    return {
        'job_id': job_id,
        'team': 't',
        'workload': workload,
        'kind': kind,
        'tasks': tasks,
        'accelerators': accelerators,
        'cores_milli': rng.choice((500, 1000, 4000)),
        'memory_mb': rng.choice((256, 2048)),
        'expected_run_ms': run_ms,
        'idempotent': rng.random() < 0.6,
        'urgent': rng.random() < 0.1,
        'payload': json.dumps({'run_ms': run_ms, 'answer': job_id}),
    }
