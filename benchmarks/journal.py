"""Measure group commit, cold start and the drain after a log outage.

Runs for about a minute against a log stand-in on loopback. Prints tables and,
on the last line, one JSON object.
"""

import argparse
import json
import statistics
import threading
import time
from collections.abc import Iterator
from typing import Any

from result import Err, Result

from lycheerelay._clock import SystemClock
from lycheerelay._core import step
from lycheerelay._events import Recorded
from lycheerelay._http import CallError, HttpCaller
from lycheerelay._jobs import JobSpec, JobState, Kind, TaskState
from lycheerelay._journal import Journal, JournalSettings
from lycheerelay._log_client import LogClient
from lycheerelay._record_codec import Batch, encode_batches
from lycheerelay._records import (
    CancelAsked,
    JobImage,
    Record,
    TaskImage,
    TermTaken,
)
from lycheerelay._standby_messages import StandbyReply, StandbyRequest
from lycheerelay._state import ShardState
from lycheerelay._web import WebServer
from lycheerelay_standins.standins import LogStandIn

COMMIT_DURATION_S = 5
RATES_PER_S = (64, 192, 960)
LIVE_JOB_COUNTS = (300, 600, 1200, 2400, 4800)
HELD_RECORD_COUNTS = (5_000, 10_000, 20_000, 40_000)
RECORDS_PER_HELD_BATCH = 10
MS_PER_S = 1000


class NoStandby:
    """Provide no standby for replication."""

    def names(self) -> tuple[str, ...]:
        """Return no names."""
        return ()

    def all_names(self) -> tuple[str, ...]:
        """Return no names."""
        return ()

    def hold(
        self,
        name: str,
        request: StandbyRequest,
    ) -> Result[StandbyReply, Any]:
        """Return an error."""
        return Err(CallError(name, 'no standby'))


def open_journal(
    address: str,
    stream: str,
    deliver: Any,
) -> Journal:
    """Return a journal that uses the log stand-in."""
    return Journal(
        LogClient(HttpCaller(), address),
        NoStandby(),
        JournalSettings(stream, 'e1', 'e1@1'),
        SystemClock(),
        deliver,
    )


def measure_commit(address: str, log: LogStandIn, rate: int) -> dict[str, Any]:
    """Append records at a rate and time how long each takes to be read back."""
    sent: dict[str, float] = {}
    waits: list[float] = []

    def deliver(record: Record, held: bool) -> None:
        if isinstance(record, CancelAsked):
            waits.append(time.perf_counter() - sent[record.job_id])

    journal = open_journal(address, f'commit-{rate}', deliver)
    journal.start()
    total = rate * COMMIT_DURATION_S
    started = time.perf_counter()
    appends = log.appends
    for number in range(total):
        pause = started + number / rate - time.perf_counter()
        if pause > 0:
            time.sleep(pause)
        job_id = f'a.{number}'
        sent[job_id] = time.perf_counter()
        journal.append(CancelAsked('p', job_id, number))
    deadline = time.perf_counter() + 10
    while len(waits) < total and time.perf_counter() < deadline:
        time.sleep(0.01)
    spent = time.perf_counter() - started
    journal.stop()
    percentiles = statistics.quantiles(waits, n=100)
    return {
        'records_per_s': rate,
        'returned': len(waits),
        'offered': total,
        'appends_per_s': round((log.appends - appends) / spent, 1),
        'wait_p50_ms': round(percentiles[49] * MS_PER_S, 1),
        'wait_p99_ms': round(percentiles[98] * MS_PER_S, 1),
    }


def job_images(count: int) -> Iterator[JobImage]:
    """Yield the images of running jobs."""
    for number in range(count):
        spec = JobSpec(f'a.{number}', 'team', 'w', Kind.BATCH, payload='x' * 64)
        task = TaskImage(TaskState.RUNNING, 1, f'w{number % 196}', 'boot')
        yield JobImage(
            'p', spec, 0, JobState.RUNNING.value, 0, '', False, 0, (task,)
        )


def measure_cold_start(
    address: str,
    log: LogStandIn,
    jobs: int,
) -> dict[str, Any]:
    """Time how long a starting entry VM takes to read images of live jobs."""
    stream = f'cold-{jobs}'
    records = [TermTaken('p', 1, 'e9', 0), *job_images(jobs)]
    entries = log.streams.setdefault(stream, [])
    for number, start in enumerate(range(0, len(records), 50), 1):
        batch = Batch('e9@1', number, tuple(records[start : start + 50]))
        entries.append(json.loads(json.dumps(encode_batches([batch]))))
    state = ShardState('a', 'p', 'e1')
    started = time.perf_counter()
    journal = open_journal(
        address,
        stream,
        lambda record, held: step(state, Recorded(record, held), 0),
    )
    journal.read_to_end()
    spent = time.perf_counter() - started
    assert len(state.jobs) == jobs
    return {
        'live_jobs': jobs,
        'ready_ms': round(spent * MS_PER_S, 1),
        'bytes_read': journal.log.caller.received_bytes,  # type: ignore
    }


def measure_drain(address: str, log: LogStandIn, held: int) -> dict[str, Any]:
    """Time the drain of records that were replicated to the standby."""
    seen = threading.Semaphore(0)
    journal = open_journal(
        address,
        f'drain-{held}',
        lambda record, held: seen.release(),
    )
    batches = held // RECORDS_PER_HELD_BATCH
    for number in range(1, batches + 1):
        records = tuple(
            CancelAsked('p', f'a.{number}.{part}', number)
            for part in range(RECORDS_PER_HELD_BATCH)
        )
        kept = Batch('e1@1', number, records, held=True)
        journal.outbox.add(kept)
        journal.apply(kept, held=True)
    journal.number = batches
    appends = log.appends
    started = time.perf_counter()
    journal.start()
    deadline = started + 60
    while journal.outbox.batches and time.perf_counter() < deadline:
        time.sleep(0.01)
    spent = time.perf_counter() - started
    journal.stop()
    return {
        'held_records': held,
        'left': journal.outbox.records,
        'drain_ms': round(spent * MS_PER_S, 1),
        'appends': log.appends - appends,
        'appends_per_s': round((log.appends - appends) / spent, 1),
    }


def print_table(title: str, rows: list[dict[str, Any]]) -> None:
    """Print one table."""
    print(title)
    print('  '.join(f'{name:>14}' for name in rows[0]))
    for row in rows:
        print('  '.join(f'{cell!s:>14}' for cell in row.values()))


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    log = LogStandIn()
    server = WebServer('127.0.0.1', 0, log.routes())
    server.start()
    address = server.address
    commit = [measure_commit(address, log, rate) for rate in RATES_PER_S]
    print_table('group commit', commit)
    cold = [measure_cold_start(address, log, jobs) for jobs in LIVE_JOB_COUNTS]
    print_table('cold start', cold)
    drain = [measure_drain(address, log, held) for held in HELD_RECORD_COUNTS]
    print_table('drain', drain)
    server.stop()
    print(json.dumps({'commit': commit, 'cold_start': cold, 'drain': drain}))


if __name__ == '__main__':
    main()
