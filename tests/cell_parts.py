"""Start a small cell of stand-ins and entry VMs in the test process."""

import json
import time
from contextlib import ExitStack, contextmanager

from lycheerelay._cli import start_node
from lycheerelay._clock import SystemClock
from lycheerelay._events import WorkerSpec
from lycheerelay._http import HttpCaller
from lycheerelay._resources import Resources
from lycheerelay._settings import NodeSettings
from lycheerelay._web import WebServer
from lycheerelay_standins.standins import (
    LogStandIn,
    VmListStandIn,
    WorkerStandIn,
)

CAPACITY = Resources(16_000, 65_536, 0, 8, 64)


class Cell:
    """A running cell with one worker, a log and a VM list."""

    def __init__(self, stack, pool):
        self.stack = stack
        self.log, self.vms = LogStandIn(), VmListStandIn()
        self.worker = WorkerStandIn(CAPACITY, 'boot-1', SystemClock())
        self.caller = HttpCaller()
        worker = self.serve(self.worker)
        stack.callback(self.end_polls)
        self.log_address = self.serve(self.log)
        self.vms_address = self.serve(self.vms)
        self.vms.list_worker(
            WorkerSpec('w1', pool, 'a', 'r1', worker, CAPACITY),
        )

    def serve(self, part):
        server = WebServer('127.0.0.1', 0, part.routes())
        server.start()
        self.stack.callback(server.stop)
        return server.address

    def end_polls(self):
        """Answer the worker's long polls, since its server waits for them."""
        with self.worker.changed:
            self.worker.table.publish_change()

    def add_node(self, name='e1', needs_config=False, **options):
        node, server = start_node(
            NodeSettings(
                name,
                'a',
                'tt-central',
                '127.0.0.1:0',
                self.log_address,
                self.vms_address,
                config_poll_ms=100,
                drain_notice_ms=0,
                **options,
            ),
            needs_config,
        )
        self.stack.callback(node.stop)
        self.stack.callback(server.stop)
        return node, server

    def call(self, server, method, path, body=None):
        url = f'http://{server.address}{path}'
        return self.caller.call(method, url, body, 15_000).unwrap()

    def submit(self, server, job_id, **fields):
        body = {
            'job_id': job_id,
            'team': 't',
            'workload': 'desk',
            'kind': 'batch',
            **fields,
        }
        return self.call(server, 'POST', '/v1/jobs', body)

    def submit_ready(self, server, job_id, run_ms, **fields):
        payload = json.dumps({'run_ms': run_ms, 'answer': f'of {job_id}'})
        wait_until(
            lambda: (
                self.submit(server, job_id, payload=payload, **fields).status
                == 202
            ),
        )


@contextmanager
def start_cell(pool='desk'):
    with ExitStack() as stack:
        yield Cell(stack, pool)


def wait_until(condition, seconds=10):
    until = time.monotonic() + seconds
    while not condition() and time.monotonic() < until:
        time.sleep(0.02)
    assert condition()
