"""Test that the API answers every request with a result code."""

import json
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from cell_parts import start_cell, wait_until
from lycheerelay._codes import CODES
from lycheerelay._web import WebServer, route


@pytest.fixture(scope='module')
def served():
    with start_cell() as cell:
        yield cell, cell.add_node(http_threads=4)[1]


def raw(server, text):
    host, _, port = server.address.rpartition(':')
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(text)
        answer = b''
        while part := connection.recv(65_536):
            answer += part
    head, _, body = answer.partition(b'\r\n\r\n')
    return head.decode(), json.loads(body)


@pytest.mark.parametrize(
    ('fields', 'named'),
    [
        ({'tasks': 0}, 'tasks: got 0, expected a whole number from 1'),
        ({'tasks': 100_000}, 'tasks'),
        ({'memory_mb': -1}, 'memory_mb'),
        ({'team': 'a b'}, 'team'),
        ({'kind': 'crowd'}, 'one of: service, batch, gang'),
        ({'prioritty': 1}, 'prioritty'),
        ({'urgent': 1}, 'urgent'),
    ],
)
def test_invalid_field_is_named(served, fields, named):
    cell, server = served
    reply = cell.submit(server, 'a.wrong', **fields)
    assert (reply.status, reply.body['code']) == (400, 200)
    assert named in reply.body['detail']
    assert reply.body['not_run'] is True


@pytest.mark.parametrize('job_id', ['a', 'a.b.c', 'a:0:1.x', '.x', 'a.' * 99])
def test_invalid_job_id_is_refused(served, job_id):
    cell, server = served
    assert cell.submit(server, job_id).body['code'] == 200


def test_large_payload_and_body_are_refused(served):
    cell, server = served
    reply = cell.submit(server, 'a.large', payload='x' * 70_000)
    assert (reply.status, reply.body['code']) == (413, 201)
    reply = cell.submit(server, 'a.large', payload='x' * 1_200_000)
    assert (reply.status, reply.body['code']) == (413, 201)


@pytest.mark.parametrize(
    'query',
    ['wait_ms=x', 'wait_ms=-1', 'wait_ms=%C2%B2', 'wait_ms=' + '9' * 40],
)
def test_invalid_query_is_refused(served, query):
    cell, server = served
    reply = cell.call(server, 'GET', f'/v1/jobs/a.none?{query}')
    assert (reply.status, reply.body['code']) == (400, 200)


@pytest.mark.parametrize(
    'head',
    [
        'Content-Length: -5',
        'Content-Length: 1_0',
        'Transfer-Encoding: chunked',
    ],
)
def test_invalid_headers_get_a_result_code(served, head):
    _, server = served
    text = f'POST /v1/jobs HTTP/1.1\r\nHost: x\r\n{head}\r\n'
    close = '' if 'chunked' in head else 'Connection: close\r\n'
    head, body = raw(server, f'{text}{close}\r\n0\r\n\r\n'.encode())
    assert ' 400 ' in head.splitlines()[0]
    assert body['code'] == 200


@pytest.mark.parametrize('body', [b'{', b'[' * 100_000, b'\xff', b'[]', b''])
def test_invalid_bodies_get_a_result_code(served, body):
    _, server = served
    head = f'POST /v1/jobs HTTP/1.0\r\nContent-Length: {len(body)}\r\n\r\n'
    head, answer = raw(server, head.encode() + body)
    assert ' 400 ' in head.splitlines()[0]
    assert answer['code'] == 200


def test_failing_handler_answers_with_internal_error():
    def fail(request):
        raise ZeroDivisionError

    server = WebServer('127.0.0.1', 0, (route('GET', '/x', fail),))
    server.start()
    head, body = raw(server, b'GET /x HTTP/1.0\r\n\r\n')
    server.stop()
    assert ' 500 ' in head.splitlines()[0]
    assert (body['code'], body['not_run']) == (502, False)


def test_responses_have_code_state_and_list(served):
    cell, server = served
    cell.submit_ready(server, 'a.one', 20, team='editors')
    view = cell.call(server, 'GET', '/v1/jobs/a.one?wait_ms=9000').body
    assert (view['state'], view['code'], view['complete']) == (
        'done',
        102,
        True,
    )
    assert view['tasks'][0]['answer'] == 'of a.one'
    cell.submit_ready(server, 'a.two', 5000, team='editors')
    path = '/v1/teams/editors/jobs'
    listed = cell.call(server, 'GET', f'{path}?limit=1').body
    assert [line['job_id'] for line in listed['jobs']] == ['a.two']
    assert listed['more'] is True
    listed = cell.call(server, 'GET', f'{path}?state=done').body
    assert [line['job_id'] for line in listed['jobs']] == ['a.one']
    assert cell.call(server, 'GET', f'{path}?state=no').body['code'] == 200
    cancelled = cell.call(server, 'POST', '/v1/jobs/a.two/cancel')
    assert cancelled.body['code'] == 103
    view = cell.call(server, 'GET', '/v1/jobs/a.two?wait_ms=9000').body
    assert (view['state'], view['code']) == ('cancelled', 103)


def test_read_waits_for_a_job_unknown_to_the_replica(served):
    cell, server = served
    cell.submit_ready(server, 'a.before', 1)
    with ThreadPoolExecutor(1) as threads:
        path = '/v1/jobs/a.after?wait_ms=9000'
        read = threads.submit(cell.call, server, 'GET', path)
        wait_until(lambda: server.in_flight == 1)
        cell.submit_ready(server, 'a.after', 20)
        assert read.result(15).body['state'] == 'done'


def test_unknown_job_is_not_found(served):
    cell, server = served
    reply = cell.call(server, 'GET', '/v1/jobs/a.none?wait_ms=9000')
    assert (reply.status, reply.body['code']) == (404, 202)
    assert reply.body['retry_after_ms'] > 0
    reply = cell.call(server, 'POST', '/v1/jobs/a.none/cancel')
    assert reply.body['code'] == 202


def test_dump_hides_job_contents(served):
    cell, server = served
    cell.submit_ready(server, 'a.kept', 1, team='dump')
    cell.call(server, 'GET', '/v1/jobs/a.kept?wait_ms=9000')
    shown = cell.call(server, 'GET', '/dump').body
    job = shown['pools']['desk']['jobs']['a.kept']
    assert job['state'] == 'done'
    assert job['spec']['payload'].startswith('<')
    assert 'of a.kept' not in json.dumps(shown)
    worker = shown['pools']['desk']['workers']['w1']
    assert worker['spec']['pool'] == 'desk'
    assert 'ledger' not in worker


def test_every_code_has_a_text():
    assert all(info.text for info in CODES.values())
