"""Test the metrics and the formats of log lines."""

import contextlib
import io
import json
import logging
import os

import pytest
import urllib3

from cell_parts import start_cell, wait_until
from lycheerelay._logging import LogFormat, set_up_logging
from lycheerelay.serving import _event_log


def amounts(text):
    lines = (line for line in text.splitlines() if not line.startswith('#'))
    pairs = (line.rsplit(' ', 1) for line in lines if line)
    return {name: float(amount) for name, amount in pairs}


def test_metrics_count_job_events():
    with start_cell() as cell:
        server = cell.add_node()[1]
        cell.submit_ready(server, 'a.one', 10, tasks=2, urgent=True)
        cell.call(server, 'GET', '/v1/jobs/a.one?wait_ms=9000')
        cell.submit(server, 'a.one', tasks=3)
        cell.submit(server, 'a.two', tasks=0)
        cell.submit_ready(server, 'a.long', 60_000, cores_milli=4000)
        wait_until(lambda: sum(cell.worker.starts.values()) == 3)
        url = f'http://{server.address}/metrics'
        reply = urllib3.request('GET', url)
        seen = amounts(reply.data.decode())
    assert seen['lycheerelay_decisions_total'] == 3
    assert seen['lycheerelay_wait_seconds_count{urgent="true"}'] == 2
    assert seen['lycheerelay_refused_total{code="203"}'] == 1
    assert seen['lycheerelay_settled_total{code="102"}'] == 1
    assert seen['lycheerelay_answers_total{code="200"}'] == 1
    packed = 'lycheerelay_packed_ratio{pool="desk",resource="cores_milli"}'
    assert seen[packed] == 0.25
    assert seen['lycheerelay_owns{pool="desk"}'] == 1
    assert seen['lycheerelay_resident_bytes'] > 1e6


def line_of(log_format, *arguments, **extra):
    stream = io.StringIO()
    root = logging.getLogger()
    before, level = root.handlers[:], root.level
    try:
        set_up_logging(log_format, stream=stream)
        logging.getLogger('lycheerelay._x').info(*arguments, extra=extra)
    finally:
        root.handlers[:] = before
        root.setLevel(level)
    return stream.getvalue()


def test_key_value_lines_quote_values_with_spaces():
    line = line_of(LogFormat.KEY_VALUE, 'term %s taken', 7, pool='p', why='a b')
    assert line.count('\n') == 1
    assert ' level=info part=x message="term 7 taken" pool=p why="a b"' in line


def test_json_lines_hold_the_extra_fields():
    line = line_of(LogFormat.JSON, 'taken\nover', term=7)
    fields = json.loads(line)
    assert (fields['message'], fields['term']) == ('taken\nover', 7)


def test_a_slow_reader_of_the_log_gets_whole_lines(monkeypatch):
    """The rest of a partly written line is kept when lines are dropped.

    Otherwise the truncated line runs into the next one. The lines are longer
    than PIPE_BUF, so that a nearly full pipe takes a part of one.
    """
    monkeypatch.setattr(_event_log, 'MAX_PENDING_LINES', 3)
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    handler = _event_log.BoundedHandler(writer)
    lines = {f'{number:03} {"x" * 6000}' for number in range(30)}
    for line in sorted(lines):
        handler.emit(logging.makeLogRecord({'msg': line}))
    if not handler.dropped:
        pytest.fail('the pipe took every line')
    output = read_available(reader)
    handler.emit(logging.makeLogRecord({'msg': 'last'}))
    output += read_available(reader)
    os.close(reader)
    os.close(writer)
    *received, last = output.decode().splitlines()
    assert set(received) <= lines
    assert last == 'last'


def read_available(reader):
    """Return the bytes that a non-blocking pipe holds."""
    content = b''
    with contextlib.suppress(BlockingIOError):
        while chunk := os.read(reader, 65536):
            content += chunk
    return content
