"""Inject faults into a running cell and check its guarantees.

The cell has three failure domains with seven entry VM processes, and stand-ins
for the platform, all on loopback. Under load, entry VMs are killed, replaced,
paused and disconnected from the platform; the log stops, slows down and loses
replies; workers pause, refuse calls, lose replies and reboot.
"""

import argparse
import collections
import json
import math
import shutil
import threading
import time
from pathlib import Path

from fault_cell import FaultCell, make_scratch_folder
from fault_injector import Injector
from fault_load import Load

CALLER_COUNT = 10


class ConfigWatch:
    """Publish configuration versions and detect entry VMs that roll back."""

    def __init__(self, cell):
        self.cell = cell
        self.highest = {}
        self.rollbacks = []
        self.published = 0
        self.stopping = threading.Event()
        self.threads = (
            threading.Thread(target=self.publish, daemon=True),
            threading.Thread(target=self.watch, daemon=True),
        )

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(20)

    def publish(self):
        number = 1
        while not self.stopping.wait(6):
            number += 1
            if self.cell.publish(number) == 0:
                self.published += 1

    def watch(self):
        while not self.stopping.wait(0.2):
            for vm in self.cell.vms:
                if not vm.is_paused:
                    self.poll(vm)

    def poll(self, vm):
        if self.cell.get(vm, '/readyz', 300) is None:
            return
        body = self.cell.get(vm, '/internal/config?above=1000000000', 300)
        if body is None:
            return
        version = body['in_force']
        if version < self.highest.get(vm.name, 0):
            self.rollbacks.append((vm.name, self.highest[vm.name], version))
        self.highest[vm.name] = max(version, self.highest.get(vm.name, 0))


def evaluate(load, ledger, injector, watch):
    """Compare the answers to the callers with the records of the workers."""
    starts = collections.defaultdict(set)
    repeated = []
    for attempt, count in ledger['starts'].items():
        job_id, index, _ = attempt.rsplit(':', 2)
        starts[job_id, index].add(attempt)
        if count > 1:
            repeated.append(attempt)
    started_jobs = {job_id for job_id, _ in starts}
    non_idempotent = {
        job.job_id for job in load.jobs if not job.body['idempotent']
    }
    rerun = [
        key
        for key, attempts in starts.items()
        if key[0] in non_idempotent and len(attempts) > 1
    ]
    accepted = [job for job in load.jobs if job.accepted_at is not None]
    answered = [job for job in accepted if job.answer is not None]
    false_not_run = [
        job.job_id
        for job in load.jobs
        if job.not_run and job.job_id in started_jobs
    ]
    false_not_run += [
        job.job_id
        for job in answered
        if job.answer['state'] == 'refused' and job.job_id in started_jobs
    ]
    states = collections.Counter(job.answer['state'] for job in answered)
    wrong = [
        job.job_id
        for job in answered
        if job.answer['state'] == 'done'
        and any(task['answer'] != job.job_id for task in job.answer['tasks'])
    ]
    changed = load.changed_answers(1)
    takeovers = sorted(injector.takeovers)
    details = {
        'lost': [job.job_id for job in accepted if job.answer is None],
        'two_live': ledger['two_live'],
        'repeated': repeated,
        'rerun_non_idempotent': rerun,
        'overbooked': ledger['overbooked'],
        'false_not_run': false_not_run,
        'config_reverts': watch.rollbacks,
        'wrong': wrong,
        'changed': changed,
        'missed_takeovers': injector.missed,
        'unknown': [
            job.job_id for job in answered if job.answer['state'] == 'unknown'
        ],
        'history': injector.history,
    }
    figures = {
        'submitted': len(load.jobs),
        'accepted': len(accepted),
        'answered': len(answered),
        'lost': len(accepted) - len(answered),
        'doubled': len(ledger['two_live']) + len(repeated) + len(rerun),
        'overbooked': len(ledger['overbooked']),
        'false_not_run': len(false_not_run),
        'config_reverts': len(watch.rollbacks),
        'unknown': states.get('unknown', 0),
        'wrong': len(wrong),
        'answers_changed': len(changed),
        'held': sum(job.held for job in accepted),
        'not_run': sum(job.not_run for job in load.jobs),
        'never_accepted': sum(
            job.accepted_at is None and not job.not_run for job in load.jobs
        ),
        'states': dict(states),
        'config_published': watch.published,
        'takeovers': len(takeovers),
        'takeover_p50_ms': percentile(takeovers, 0.5),
        'takeover_p99_ms': percentile(takeovers, 0.99),
        'takeover_hindered': len(injector.impaired_takeovers),
        'takeover_hindered_max_ms': max(injector.impaired_takeovers, default=0),
        'takeover_missed': len(injector.missed),
        'faults': dict(injector.counts),
        'faults_total': sum(injector.counts.values()),
    }
    return figures, details


def percentile(ordered, share):
    if not ordered:
        return 0
    return ordered[min(math.ceil(len(ordered) * share), len(ordered)) - 1]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=225)
    parser.add_argument('--pace-s', type=float, default=0.75)
    parser.add_argument('--drain-s', type=float, default=90)
    parser.add_argument('--quick', action='store_true', help='about 40 s')
    parser.add_argument('--details', type=Path, help='write a JSON file')
    arguments = parser.parse_args()
    if arguments.quick:
        arguments.seconds = 18
        arguments.drain_s = 60
    started = time.monotonic()
    folder = make_scratch_folder()
    cell = FaultCell(folder)
    try:
        cell.start()
        load = Load(cell, CALLER_COUNT, arguments.seed)
        watch = ConfigWatch(cell)
        injector = Injector(cell, arguments.seed)
        load.start()
        watch.start()
        time.sleep(2)
        injector.run(arguments.seconds / 2, arguments.pace_s)
        injector.kill_everything()
        injector.run(arguments.seconds / 2, arguments.pace_s)
        injector.wait_for_restores()
        load.stop()
        load.drain(arguments.drain_s, arguments.seed)
        watch.stop()
        figures, details = evaluate(load, cell.ledger(), injector, watch)
        if arguments.details:
            details['open_views'] = open_views(cell, load)
            details['records'] = {
                domain: cell.records(domain) for domain in 'abc'
            }
            details['started_ms'] = cell.ledger()['started_ms']
    finally:
        cell.stop()
    figures['seed'] = arguments.seed
    figures['took_s'] = round(time.monotonic() - started)
    if arguments.details:
        details['folder'] = str(folder)
        arguments.details.write_text(json.dumps(details, indent=1))
    else:
        shutil.rmtree(folder)
    print(json.dumps(figures))


def open_views(cell, load):
    from lycheerelay._http import HttpCaller

    caller = HttpCaller()
    return [
        [
            job.job_id,
            job.body,
            [
                load.view(job, vm, caller)
                for vm in cell.vms
                if vm.domain == job.job_id[0]
            ],
        ]
        for job in load.open_jobs()[:20]
    ]


if __name__ == '__main__':
    main()
