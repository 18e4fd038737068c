"""Check every promise after each step of random histories.

Guards against lost jobs, duplicate runs, overcommitted workers and changed
results when nodes, workers, messages and the log fail in any combination.
"""

import os

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from fake_domain import NODES, WORKERS, FakeDomain
from lycheerelay._events import WorkerListed, WorkerUnlisted
from lycheerelay._jobs import JobSpec, Kind

EXAMPLES = int(os.environ.get('PROMISES_EXAMPLES', '200'))
STEPS = int(os.environ.get('PROMISES_STEPS', '50'))
LONG_ROUND_MS = 4_000
nodes = st.sampled_from(NODES)
workers = st.sampled_from(WORKERS)
jumps_ms = st.sampled_from((100, 3_000, 9_500, 30_000, 63_000, 130_000))


specs = st.tuples(
    st.sampled_from(Kind),
    st.integers(1, 3),
    st.sampled_from((500, 1_500, 4_000)),
    st.booleans(),
    st.booleans(),
    st.sampled_from((0, 0, 0, 20_000)),
).map(
    lambda drawn: JobSpec(
        '',
        't',
        'desk',
        drawn[0],
        drawn[1],
        drawn[2],
        idempotent=drawn[3],
        checkpointable=drawn[4],
        deadline_ms=drawn[5],
    ),
)


class Promises(RuleBasedStateMachine):
    """Mix work with faults of every kind; most rules also advance time."""

    def __init__(self) -> None:
        super().__init__()
        self.world = FakeDomain()

    @initialize(loads=st.lists(specs, min_size=2, max_size=5))
    def begin(self, loads):
        self.world.rounds(1)
        self.world.nodes['e1'].claim()
        self.world.rounds(3)
        for spec in loads:
            self.submit(spec)
        self.world.rounds(2)

    @rule(spec=specs, count=st.integers(0, 4))
    def submit_and_work(self, spec, count):
        self.submit(spec)
        self.world.rounds(count)

    def submit(self, spec):
        serial = len(self.world.requested) + 1
        due_ms = spec.deadline_ms and self.world.now_ms + spec.deadline_ms
        spec = spec._replace(job_id=f'a.j{serial}', deadline_ms=due_ms)
        for node in self.world.active_nodes():
            self.world.submit(node, spec)

    @rule(pick=st.integers(0, 99), count=st.integers(0, 2))
    def cancel(self, pick, count):
        known = list(self.world.requested)
        for node in self.world.active_nodes()[:1]:
            self.world.cancel(node, known[pick % len(known)])
        self.world.rounds(count)

    @rule(
        codes=st.lists(st.sampled_from((0, 0, 7)), max_size=4),
        count=st.integers(1, 6),
    )
    def finish_and_work(self, codes, count):
        live = [
            (worker, entry)
            for worker in self.world.workers.values()
            for entry in worker.live()
        ]
        for code, (worker, entry) in zip(codes, live, strict=False):
            worker.finish(entry, code)
        self.world.rounds(count)

    @rule(jump_ms=jumps_ms, node=nodes)
    def skip_time(self, jump_ms, node):
        self.world.clock.advance(jump_ms)
        self.world.nodes[node].work()

    @rule(count=st.sampled_from((3, 16, 36)))
    def work_on(self, count):
        self.world.rounds(count, LONG_ROUND_MS)

    @rule(node=nodes, other=st.sampled_from((*WORKERS, 'log')))
    def cut(self, node, other):
        self.world.cuts.add(frozenset((node, other)))
        self.world.rounds(1)

    @rule(node=nodes, others=st.sets(st.sampled_from(WORKERS), max_size=3))
    def isolate(self, node, others):
        for other in (*others, 'log'):
            self.world.cuts.add(frozenset((node, other)))
        self.world.rounds(1)

    @rule(worker=workers, count=st.sampled_from((0, 0, 16)))
    def cut_worker(self, worker, count):
        for node in NODES:
            self.world.cuts.add(frozenset((node, worker)))
        self.world.rounds(1)
        self.world.rounds(count, LONG_ROUND_MS)

    @rule()
    def heal(self):
        self.world.cuts.clear()
        self.world.rounds(2)

    @rule(node=nodes, jump_ms=jumps_ms)
    def pause(self, node, jump_ms):
        self.world.nodes[node].paused = True
        self.world.rounds(2, jump_ms)

    @rule(node=nodes)
    def resume(self, node):
        self.world.nodes[node].paused = False
        self.world.nodes[node].work()

    @rule(node=nodes, is_back=st.booleans())
    def kill(self, node, is_back):
        self.world.nodes[node].kill()
        if is_back:
            self.world.rounds(1)
            self.world.nodes[node].restart()
            self.world.rounds(1)
            self.world.nodes[node].claim()

    @rule(node=nodes, count=st.integers(0, 3))
    def claim(self, node, count):
        found = self.world.nodes[node]
        if not found.alive:
            found.restart()
        if not found.paused:
            found.claim()
            found.work()
        self.world.rounds(count)

    @rule(worker=workers, count=st.integers(0, 2))
    def reboot(self, worker, count):
        self.world.workers[worker].reboot()
        self.world.rounds(count)

    @rule(worker=workers, leaving=st.booleans())
    def leave(self, worker, leaving):
        self.world.workers[worker].leaving = leaving
        self.world.rounds(1)

    @rule(worker=workers, is_listed=st.booleans())
    def change_list(self, worker, is_listed):
        for spec in self.world.specs:
            if spec.name == worker and is_listed:
                self.world.notify_nodes(WorkerListed(spec))
        if not is_listed:
            self.world.notify_nodes(WorkerUnlisted(worker))
        self.world.rounds(1)

    @rule(count=st.integers(1, 6))
    def drop(self, count):
        self.world.drops = count
        self.world.rounds(1)

    @rule(is_twice=st.booleans())
    def repeat(self, is_twice):
        self.world.repeats_messages = is_twice
        self.world.rounds(1)

    @rule(count=st.integers(1, 4))
    def delay(self, count):
        self.world.delays_messages = True
        self.world.rounds(count)
        self.world.delays_messages = False

    @precondition(lambda self: self.world.delayed_messages)
    @rule(picks=st.lists(st.integers(0, 999), min_size=1, max_size=12))
    def deliver(self, picks):
        for pick in picks:
            if self.world.delayed_messages:
                position = pick % len(self.world.delayed_messages)
                self.world.deliver(position, repeat=pick % 5 == 0)

    @invariant()
    def promises_hold(self):
        self.world.check()

    def teardown(self):
        self.world.drain()


def run_promises(seed_number: int | None = None) -> None:
    """Run histories of one seed; without a seed they are always the same."""
    machine = Promises
    if seed_number is not None:
        machine = seed(seed_number)(type('Seeded', (Promises,), {}))
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS,
            derandomize=seed_number is None,
            deadline=None,
            database=None,
            phases=(Phase.generate,),
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_promises_hold():
    run_promises()
