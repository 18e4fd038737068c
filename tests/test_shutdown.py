"""Test the shutdown of an entry VM with requests in flight."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from cell_parts import start_cell, wait_until
from lycheerelay._shutdown import shut_down
from lycheerelay._web import Response, WebServer, route


def test_requests_in_flight_are_answered():
    with start_cell() as cell, ThreadPoolExecutor(8) as threads:
        node, server = cell.add_node()
        cell.submit_ready(server, 'a.long', 60_000)
        append = cell.log.append
        release = threading.Event()

        def slow_append(request):
            release.wait(10)
            return append(request)

        cell.log.append = slow_append
        read = threads.submit(
            cell.call,
            server,
            'GET',
            '/v1/jobs/a.long?wait_ms=15000',
        )
        wait_until(lambda: server.in_flight == 1)
        stopped = threads.submit(shut_down, node, server)
        view = read.result(10).body
        assert (view['complete'], view['code']) == (False, 101)
        release.set()
        assert stopped.result(20).answered


def test_submission_in_flight_is_accepted_and_later_ones_are_refused():
    with start_cell() as cell, ThreadPoolExecutor(8) as threads:
        node, server = cell.add_node()
        cell.submit_ready(server, 'a.first', 10)
        node.settings = node.settings._replace(drain_notice_ms=500)
        journal_append = node.parts.journal.append
        delayed = []
        node.parts.journal.append = delayed.append
        sent = threads.submit(cell.submit, server, 'a.flying')
        wait_until(lambda: delayed)
        stopped = threads.submit(shut_down, node, server)
        wait_until(lambda: node.draining)
        ready = cell.call(server, 'GET', '/readyz')
        assert (ready.status, ready.body['code']) == (503, 303)
        late = cell.submit(server, 'a.late')
        assert (late.status, late.body['code']) == (503, 303)
        assert late.body['not_run'] is False
        node.parts.journal.append = journal_append
        for record in delayed:
            journal_append(record)
        assert sent.result(10).status == 202
        assert stopped.result(20).answered
        assert not node.thread.is_alive()


def test_drain_times_out_when_a_request_hangs():
    release = threading.Event()

    def hang(request):
        release.wait(10)
        return Response(200, {'code': 0})

    server = WebServer('127.0.0.1', 0, (route('GET', '/x', hang),))
    server.start()
    with start_cell() as cell, ThreadPoolExecutor(1) as threads:
        hanging = threads.submit(cell.call, server, 'GET', '/x')
        wait_until(lambda: server.in_flight == 1)
        assert server.drain(50) is False
        release.set()
        assert hanging.result(10).status == 200
        assert server.drain(5000) is True
    server.stop()


def test_idle_connections_do_not_delay_the_stop():
    with start_cell() as cell:
        server = WebServer(
            '127.0.0.1',
            0,
            (route('GET', '/x', lambda request: Response(200, {'code': 0})),),
        )
        server.start()
        cell.call(server, 'GET', '/x')
        started = time.monotonic()
        server.stop()
        # Without waking the accept loop this takes half a second.
        assert time.monotonic() - started < 5
        assert not server.thread.is_alive()
