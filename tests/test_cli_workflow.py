"""Test the workflow sub-command."""

import json
import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any

import pytest

from lycheerelay.cli import main

EXAMPLES = Path(__file__).parent.parent / 'examples' / 'workflows'
JOB = str(EXAMPLES / 'nightly.json')
CELL = str(EXAMPLES / 'cell.json')


class Entry(BaseHTTPRequestHandler):
    """Answer like an entry VM and record the requests."""

    requests: list[tuple[str, str, Any]] = []
    answers: list[dict[str, Any]] = []
    keys: list[str | None] = []

    def answer(self) -> None:
        """Record the request and send the next scripted answer."""
        size = int(self.headers.get('Content-Length', 0))
        raw = self.rfile.read(size)
        self.keys.append(self.headers.get('X-Api-Key'))
        self.requests.append(
            (self.command, self.path, json.loads(raw) if raw else None),
        )
        body = json.dumps(self.answers.pop(0)).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_GET = do_POST = do_DELETE = answer

    def log_message(self, *_: object) -> None:
        """Suppress the log output of the server."""


@pytest.fixture
def entry() -> Iterator[str]:
    """Serve on a free port and return the address."""
    server = HTTPServer(('127.0.0.1', 0), Entry)
    Entry.requests = []
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f'127.0.0.1:{server.server_port}'
    server.shutdown()
    server.server_close()
    thread.join()


def test_rehearsal_prints_the_documented_table(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The printed table matches the one in the documentation."""
    assert main(['workflow', 'rehearse', JOB, '--cell', CELL]) == 0
    table = capsys.readouterr().out
    page = Path(__file__).parent.parent / 'docs' / 'workflows.md'
    assert table in page.read_text()


def test_rehearsal_of_a_step_that_never_fits(
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
) -> None:
    """A step that fits no worker is shown without times."""
    body = json.loads(Path(JOB).read_text())
    body['steps'][0]['cores_milli'] = 50_000
    path = tmp_path / 'job.json'
    path.write_text(json.dumps(body))
    arguments = ['workflow', 'rehearse', str(path), '--cell', CELL, '--json']
    assert main(arguments) == 0
    lines = json.loads(capsys.readouterr().out)
    assert [line['begun_ms'] for line in lines] == [None, None, None]


def test_error_names_the_invalid_document(
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
) -> None:
    """The error names the file and the field."""
    path = tmp_path / 'job.json'
    path.write_text('{"job_id": "a", "queue": "q", "steps": [{"width": 1}]}')
    assert main(['workflow', 'check', str(path)]) == 2
    printed = capsys.readouterr().err
    assert printed == (
        f'error 200: {path}: steps[0].expected_ms: '
        'got nothing, expected a value\n'
    )
    assert main(['workflow', 'check', str(tmp_path / 'none')]) == 2
    assert main(['workflow', 'rehearse', JOB]) == 2
    assert main(['workflow', 'submit', JOB]) == 2


def test_jobs_are_submitted_shown_and_cancelled(
    entry: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A request is retried at the next entry VM after NO_OWNER."""
    Entry.answers = [
        {'code': 304, 'detail': 'no owner'},
        {'code': 100, 'job_id': 'nightly'},
        {'code': 400, 'job_id': 'nightly', 'state': 'failed'},
        {'code': 0, 'job_id': 'nightly'},
        {'code': 202, 'detail': 'The id is not known here.'},
    ]
    twice = ['--entry', entry, '--entry', entry]
    assert main(['workflow', 'submit', JOB, *twice]) == 0
    assert main(['workflow', 'show', 'nightly', *twice]) == 8
    assert main(['workflow', 'cancel', 'nightly', *twice]) == 0
    assert main(['workflow', 'show', 'other', *twice]) == 3
    document = json.loads(Path(JOB).read_text())
    posted = [sent for sent in Entry.requests if sent[0] == 'POST']
    assert [path for _, path, _ in posted] == ['/v1/workflows'] * 2
    assert posted[0][2]['steps'][1]['gang'] is True
    assert posted[0][2]['payload'] == document['payload']
    printed = capsys.readouterr()
    assert 'nightly: failed (400)' in printed.out
    assert printed.err == 'error 202: The id is not known here.\n'


def test_a_reply_without_detail_is_retried(
    entry: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A code that is retried elsewhere may come without a detail text."""
    Entry.answers = [{'code': 304}, {'code': 100, 'job_id': 'nightly'}]
    twice = ['--entry', entry, '--entry', entry]
    assert main(['workflow', 'submit', JOB, *twice]) == 0
    assert capsys.readouterr().out.startswith('nightly: ')


def test_the_key_is_sent_and_not_printed(
    entry: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against keys in error messages, and against calls without one."""
    Entry.answers = [{'code': 204}]
    Entry.keys = []
    shown = ['workflow', 'show', 'nightly', '--entry', entry]
    monkeypatch.setenv('LYCHEERELAY_API_KEY', 'secret-key')
    assert main(shown) == 2
    monkeypatch.setenv('LYCHEERELAY_API_KEY', 'secret-key\n')
    assert main(shown) == 2
    assert Entry.keys == ['secret-key']
    printed = capsys.readouterr()
    assert 'secret-key' not in printed.out + printed.err
    assert 'LYCHEERELAY_API_KEY: expected printable' in printed.err
