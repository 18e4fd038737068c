"""Drive the core in virtual time with a simulated log and workers."""

from dataclasses import dataclass, field

from lycheerelay._commands import (
    Append,
    ReplyRefused,
    StartTask,
    StopTask,
)
from lycheerelay._core import step
from lycheerelay._events import (
    CancelRequested,
    Configured,
    LeaseHeld,
    LeaseLost,
    Recorded,
    SubmitRequested,
    TaskReport,
    TasksReported,
    Tick,
    WorkerListed,
    WorkerSpec,
    WorkerUnlisted,
)
from lycheerelay._jobs import JobSpec, Kind, TaskState
from lycheerelay._policy import Limits, Policy
from lycheerelay._records import Intended, TermTaken
from lycheerelay._resources import Resources
from lycheerelay._state import ShardState

PLAIN = Resources(16_000, 65_536, 0, 8, 64)
SCARCE = Resources(32_000, 131_072, 8, 8, 64)
RUN_MS = 3000


def job(job_id, kind='batch', **fields):
    return JobSpec(
        job_id,
        fields.pop('team', 't0'),
        'desk',
        Kind(kind),
        **fields,
    )


@dataclass
class SimulatedWorker:
    """Simulate a worker and track what really runs on it."""

    spec: WorkerSpec
    free: Resources
    boot: str = 'b0'
    tasks: dict = field(default_factory=dict)
    void: set = field(default_factory=set)


class Cell:
    """Simulate a core, the records in flight to it and four workers."""

    def __init__(self, policy=None, shapes=(PLAIN, PLAIN, PLAIN, SCARCE)):
        self.state = ShardState('a', 'desk', 'e1')
        self.now_ms = 1000
        self.unread = []
        self.specs = {}
        self.announced = []
        self.preempted = []
        self.refusals = []
        self.workers = {}
        limits = Limits(patience_ms=5000, retry_base_ms=1, retry_max_ms=2)
        self.step(Configured(policy or Policy(1, limits=limits)))
        for number, shape in enumerate(shapes):
            name = f'w{number}'
            rack = f'r{number % 2}'
            spec = WorkerSpec(name, 'desk', 'a', rack, f'{name}:1', shape)
            self.workers[name] = SimulatedWorker(spec, shape)
            self.step(WorkerListed(spec))
        self.step(Recorded(TermTaken('desk', 1, 'e1', self.now_ms)))
        for name in self.workers:
            self.grant_lease(name)

    def step(self, event):
        _, commands = step(self.state, event, self.now_ms)
        for command in commands:
            self.execute(command)

    def execute(self, command):
        if isinstance(command, Append):
            self.unread.append(command.record)
            if isinstance(command.record, Intended):
                self.announced.append(command.record)
        elif isinstance(command, StartTask):
            self.start(command)
        elif isinstance(command, StopTask):
            self.stop(command)
        elif isinstance(command, ReplyRefused):
            self.refusals.append(command.refusal)

    def start(self, command):
        worker = self.workers[command.worker]
        key = command.key
        if key in worker.tasks or key in worker.void:
            return
        if command.boot and command.boot != worker.boot:
            return
        demand = command.spec.demand
        worker.tasks[key] = (demand, TaskState.RUNNING, self.now_ms + RUN_MS)
        worker.free = worker.free.minus(demand)

    def stop(self, command):
        worker = self.workers[command.worker]
        if command.checkpoint and command.key in worker.tasks:
            self.preempted.append(command.key)
        end = TaskState.STOPPED
        if command.checkpoint:
            end = TaskState.CHECKPOINTED
        if command.key in worker.tasks:
            self.end(worker, command.key, end)
        else:
            worker.void.add(command.key)

    def end(self, worker, key, state):
        demand, old, _ = worker.tasks[key]
        if old is TaskState.RUNNING:
            worker.tasks[key] = (demand, state, 0)
            worker.free = worker.free.plus(demand)

    def submit(self, **fields):
        spec = job(f'a.j{len(self.specs)}', **fields)
        before = len(self.refusals)
        self.specs[spec.job_id] = spec
        self.step(SubmitRequested(len(self.specs), spec))
        return spec if len(self.refusals) == before else None

    def is_over(self, job_id):
        info = self.state.jobs.get(job_id)
        return info is not None and info.is_final

    def tick(self, _):
        self.now_ms += 20
        self.step(Tick())

    def lapse_time(self, _):
        self.now_ms += 30_000
        self.step(Tick())

    def settle(self, _):
        self.read_back(0)
        self.tick(0)
        self.read_back(0)

    def read_one(self, _):
        if self.unread:
            self.step(Recorded(self.unread.pop(0)))

    def read_back(self, _):
        while self.unread:
            self.step(Recorded(self.unread.pop(0)))

    def pick(self, number):
        return list(self.workers.values())[number % len(self.workers)]

    def report(self, number):
        """End and report every task on a worker."""
        worker = self.pick(number)
        for key in worker.tasks:
            self.end(worker, key, TaskState.DONE)
        self.send_reports(worker)

    def report_late(self, number):
        """Report the current states of the tasks on a worker."""
        self.send_reports(self.pick(number))

    def send_reports(self, worker):
        reports = self.table(worker)
        for key, entry in tuple(worker.tasks.items()):
            if entry[1] is not TaskState.RUNNING:
                worker.tasks.pop(key)
        name = worker.spec.name
        self.step(TasksReported(name, worker.boot, False, reports))

    def table(self, worker):
        return tuple(
            TaskReport(key, entry[1]) for key, entry in worker.tasks.items()
        )

    def run_for(self, span_ms):
        self.now_ms += span_ms
        for worker in self.workers.values():
            for key, entry in worker.tasks.items():
                if entry[2] <= self.now_ms:
                    self.end(worker, key, TaskState.DONE)
            self.send_reports(worker)
        self.read_back(0)

    def cancel(self, number):
        names = list(self.specs)
        if names:
            self.step(CancelRequested(0, names[number % len(names)]))

    def lose_lease(self, number):
        self.step(LeaseLost(self.pick(number).spec.name))

    def hold_lease(self, number):
        self.grant_lease(self.pick(number).spec.name)

    def grant_lease(self, name):
        worker = self.workers[name]
        table = self.table(worker)
        self.step(LeaseHeld(name, self.state.term, worker.boot, False, table))

    def reboot(self, number):
        worker = self.pick(number)
        worker.boot += '+'
        worker.tasks.clear()
        worker.void.clear()
        worker.free = worker.spec.capacity
        self.lose_lease(number)
        self.hold_lease(number)

    def unlist(self, number):
        self.step(WorkerUnlisted(self.pick(number).spec.name))

    def list(self, number):
        self.step(WorkerListed(self.pick(number).spec))
