"""Check that job images replace the older records of the log.

Guards against a reader that starts after the expired records and misses a job
or a record that was in flight while its job's image was appended.
"""

from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from lycheerelay._commands import Append, Restated
from lycheerelay._compaction import Marks, MarkStream
from lycheerelay._core import step
from lycheerelay._events import (
    CancelRequested,
    Recorded,
    RestateAsked,
    SubmitRequested,
    Tick,
)
from lycheerelay._jobs import JobSpec, Kind, TaskState
from lycheerelay._log_client import LogEntry, LogPage
from lycheerelay._records import Ended, Intended, Start, TermTaken
from lycheerelay._state import ShardState


class Replicas:
    """Drive an owner whose records are read back only on request."""

    def __init__(self):
        self.owner = ShardState('a', 'p', 'e1')
        self.stream = []
        self.read = 0
        self.commands = []
        self.append(TermTaken('p', 1, 'e1', 0))
        self.flush()

    def append(self, record):
        self.stream.append(record)

    def step(self, event, now_ms=0):
        _, commands = step(self.owner, event, now_ms)
        for command in commands:
            if isinstance(command, Append):
                self.append(command.record)
        self.commands.extend(commands)

    def flush(self, count=10**6):
        while self.read < len(self.stream) and count > 0:
            record = self.stream[self.read]
            self.read += 1
            count -= 1
            self.step(Recorded(record))

    def submit(self, number):
        spec = JobSpec(f'a.{number}', 't', 'w', Kind.BATCH, payload='x')
        self.step(SubmitRequested(number, spec))

    def cold(self, start):
        state = ShardState('a', 'p', 'e2')
        for record in self.stream[start:]:
            step(state, Recorded(record), 0)
        return state


def summary(state):
    return {
        job_id: (job.spec, job.state, job.code, job.cancel_asked, job.tasks)
        for job_id, job in state.jobs.items()
    }


def run_round(replicas):
    start = replicas.read
    replicas.step(RestateAsked(start))
    while replicas.owner.restating is not None:
        replicas.step(Tick())
        replicas.flush()
    assert Restated('p', start) in replicas.commands
    return start


def test_new_reader_needs_only_the_round_of_images():
    replicas = Replicas()
    for number in range(120):
        replicas.submit(number)
    replicas.flush()
    replicas.step(CancelRequested(500, 'a.3'))
    replicas.flush()
    start = run_round(replicas)
    cold = replicas.cold(start)
    assert cold.term == 1
    assert cold.owner == 'e1'
    assert len(cold.jobs) == 120
    assert summary(cold) == summary(replicas.owner)


def test_record_in_flight_delays_the_image_of_its_job():
    replicas = Replicas()
    replicas.submit(1)
    replicas.flush()
    replicas.append(Intended('p', 1, 'a.1', (Start(0, 1, 'w1', 'b'),), 5))
    replicas.flush()
    replicas.step(RestateAsked(replicas.read))
    start = len(replicas.stream)
    replicas.step(CancelRequested(9, 'a.1'))
    replicas.step(Tick())
    images = [
        record
        for record in replicas.stream[start:]
        if type(record).__name__ == 'JobImage'
    ]
    assert images == []
    while replicas.owner.restating is not None:
        replicas.flush()
        replicas.step(Tick())
    cold = replicas.cold(start)
    assert cold.jobs['a.1'].cancel_asked


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    actions=st.lists(
        st.tuples(
            st.sampled_from(
                ['submit', 'cancel', 'intend', 'end', 'flush', 'tick'],
            ),
            st.integers(0, 8),
        ),
        max_size=60,
    ),
    cut=st.integers(0, 59),
)
def test_image_and_history_tell_the_same(actions, cut):
    replicas = Replicas()
    start = None
    for position, (action, number) in enumerate(actions):
        if position == cut:
            replicas.flush()
            start = replicas.read
            replicas.step(RestateAsked(start))
        job_id = f'a.{number}'
        if action == 'submit':
            replicas.submit(number)
        elif action == 'cancel':
            replicas.step(CancelRequested(100 + position, job_id))
        elif action == 'intend':
            starts = (Start(0, 1, 'w1', 'b'),)
            replicas.append(Intended('p', 1, job_id, starts, 5))
        elif action == 'end':
            replicas.append(
                Ended('p', job_id, 0, 1, TaskState.DONE, 0, 'ok', 6),
            )
        elif action == 'flush':
            replicas.flush(number)
        else:
            replicas.step(Tick())
    if start is None:
        return
    while replicas.owner.restating is not None:
        replicas.step(Tick())
        replicas.flush()
    replicas.flush()
    assert summary(replicas.cold(start)) == summary(replicas.owner)


def test_marks_start_where_every_known_pool_is_complete():
    marks = Marks({}, ())
    assert marks.start_offset() == 0
    marks = marks.moved('p', 70, {'p', 'q'})
    assert marks.start_offset() == 0
    marks = marks.moved('q', 50, {'p', 'q'})
    assert marks.start_offset() == 50


def test_newest_marks_are_read_back():
    entries = []

    def append(stream, value, timeout_ms=0):
        entries.append(value)
        return Ok(len(entries) - 1)

    def read(stream, start, timeout_ms=0):
        page = tuple(
            LogEntry(position, entries[position])
            for position in range(min(start, len(entries)), len(entries))
        )
        return Ok(LogPage(page, 0, len(entries)))

    stream = MarkStream(SimpleNamespace(append=append, read=read), 'a')
    assert stream.read_last() == Marks({}, ())
    assert stream.write(Marks({'p': 3}, ('p',)))
    assert stream.write(Marks({'p': 9}, ('p',)))
    assert stream.read_last() == Marks({'p': 9}, ('p',))
