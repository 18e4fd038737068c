"""Check, submit, show, cancel and rehearse workflows."""

import argparse
import json
import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, Final

from result import Err, Ok, Result

from ._cli_entries import add_client_options, entries_of
from ._cli_parts import (
    add_json_flag,
    command,
    exit_status_of,
    fail,
    print_json,
    print_table,
)
from ._codec import Json, to_json
from ._codes import CODES, Code, Refusal
from ._http import HttpCaller
from ._job_document import JobDocument, read_document
from ._registry import Registry
from .rehearsal import CellDocument, StepLine, read_cell, rehearse

# Another entry VM may serve the same request.
RETRY_ELSEWHERE: Final = frozenset(
    (
        Code.UNREACHABLE,
        Code.NO_OWNER,
        Code.NOT_READY,
        Code.CONFIG_TOO_OLD,
    )
)
# The API key is not an option, since options appear in lists of processes.
KEY_VARIABLE: Final = 'LYCHEERELAY_API_KEY'
KEY_HEADER: Final = 'x-api-key'

Action = Callable[[argparse.Namespace], int]
ACTIONS: Final[Registry[str, Action]] = Registry('workflow action')


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'action',
        choices=('check', 'submit', 'show', 'cancel', 'rehearse'),
        help='check, submit: a job document; show, cancel: a job; '
        'rehearse: simulate documents on the cell given by --cell, '
        'without a cluster',
    )
    parser.add_argument(
        'names',
        nargs='+',
        metavar='FILE_OR_ID',
        help='JSON files of job documents, or ids of jobs',
    )
    parser.add_argument(
        '--cell',
        type=Path,
        metavar='FILE',
        help='with rehearse: JSON file of queues and workers',
    )
    add_client_options(parser)
    add_json_flag(parser)
    parser.epilog = f'The API key of a tenant is read from ${KEY_VARIABLE}.'


@command('workflow', 'manage and rehearse workflows', _add_arguments)
def run_workflow(arguments: argparse.Namespace) -> int:
    """Run one workflow action."""
    return ACTIONS[arguments.action](arguments)


@ACTIONS.register('check')
def check(arguments: argparse.Namespace) -> int:
    """Validate job documents."""
    for name in arguments.names:
        parsed = _load_json(Path(name), read_document)
        if isinstance(parsed, Err):
            return fail(parsed.err_value)
        print(f'{name}: {len(parsed.ok_value.steps)} steps')
    return 0


@ACTIONS.register('submit')
def submit(arguments: argparse.Namespace) -> int:
    """Submit job documents in order until one fails."""
    for name in arguments.names:
        parsed = _load_json(Path(name), read_document)
        if isinstance(parsed, Err):
            return fail(parsed.err_value)
        document: JobDocument = parsed.ok_value
        status = _send_and_print(
            arguments, 'POST', '/v1/workflows', to_json(document)
        )
        if status:
            return status
    return 0


@ACTIONS.register('show')
def show(arguments: argparse.Namespace) -> int:
    """Show jobs; the exit status is that of the last one."""
    return _send_each(arguments, 'GET')


@ACTIONS.register('cancel')
def cancel(arguments: argparse.Namespace) -> int:
    """Cancel jobs; the exit status is that of the last one."""
    return _send_each(arguments, 'DELETE')


@ACTIONS.register('rehearse')
def run_rehearsal(arguments: argparse.Namespace) -> int:
    """Simulate documents on a described cell and print when steps ran."""
    if arguments.cell is None:
        detail = '--cell: got nothing, expected a file of queues and workers'
        return fail(Refusal(Code.BAD_SETTING, detail))
    cell = _load_json(arguments.cell, read_cell)
    if isinstance(cell, Err):
        return fail(cell.err_value)
    documents = []
    for name in arguments.names:
        parsed = _load_json(Path(name), read_document)
        if isinstance(parsed, Err):
            return fail(parsed.err_value)
        documents.append(parsed.ok_value)
    return _print_rehearsal(arguments, cell.ok_value, documents)


def _print_rehearsal(
    arguments: argparse.Namespace,
    cell: CellDocument,
    documents: list[JobDocument],
) -> int:
    rehearsed = rehearse(cell, documents)
    if isinstance(rehearsed, Err):
        return fail(rehearsed.err_value.refusal())
    lines: tuple[StepLine, ...] = rehearsed.ok_value
    if arguments.json:
        print_json(lines)
        return 0
    header = ('JOB', 'RUN', 'STEP', 'TASKS', 'FIRST MS', 'LAST MS', 'WORKERS')
    print_table(header, _table_rows(lines))
    return 0


def _table_rows(lines: tuple[StepLine, ...]) -> Iterator[tuple[object, ...]]:
    for line in lines:
        begun, ended = line.begun_ms, line.ended_ms
        yield (
            line.job_id,
            line.occurrence,
            line.step,
            line.tasks,
            '-' if begun is None else begun,
            '-' if ended is None else ended,
            ' '.join(line.workers) or '-',
        )


def _load_json(
    path: Path,
    reader: Callable[[Json], Result[Any, Any]],
) -> Result[Any, Refusal]:
    try:
        body = json.loads(path.read_text('utf-8'))
    except OSError as error:
        return Err(Refusal(Code.BAD_FIELD, f'{path}: {error.strerror}'))
    except ValueError as error:
        return Err(Refusal(Code.BAD_FIELD, f'{path}: not JSON: {error}'))
    parsed = reader(body)
    if isinstance(parsed, Err):
        refusal = parsed.err_value.refusal()
        return Err(refusal._replace(detail=f'{path}: {refusal.detail}'))
    return Ok(parsed.ok_value)


def _send_each(arguments: argparse.Namespace, method: str) -> int:
    status = 0
    for name in arguments.names:
        status = _send_and_print(
            arguments, method, f'/v1/workflows/{name}', None
        )
    return status


def _send_and_print(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    body: Json,
) -> int:
    outcome = _send(arguments, method, path, body)
    if isinstance(outcome, Err):
        return fail(outcome.err_value)
    fields = outcome.ok_value
    code = Code(fields['code'])
    if 'job_id' not in fields:
        return fail(_refusal_of(code, fields))
    if arguments.json:
        print_json(fields)
    else:
        state = fields.get('state', CODES[code].text)
        print(f'{fields["job_id"]}: {state} ({int(code)})')
    return exit_status_of(fields)


def _refusal_of(code: Code, fields: dict[str, Any]) -> Refusal:
    return Refusal(code, fields.get('detail', CODES[code].text))


def _send(
    arguments: argparse.Namespace,
    method: str,
    path: str,
    body: Json,
) -> Result[dict[str, Any], Refusal]:
    headers = _key_headers()
    if isinstance(headers, Err):
        return headers
    caller = HttpCaller()
    refusal = Refusal(Code.BAD_SETTING, 'no entry VM address is given')
    for address in entries_of(arguments):
        url = f'http://{address}{path}'
        reply = caller.call(
            method, url, body, arguments.patience_ms, headers.ok_value
        )
        if isinstance(reply, Err):
            detail = f'entry VM {address}: {reply.err_value.reason}'
            refusal = Refusal(Code.UNREACHABLE, detail)
            continue
        fields = reply.ok_value.body
        if not isinstance(fields, dict) or 'code' not in fields:
            detail = f'entry VM {address}: status {reply.ok_value.status}'
            return Err(Refusal(Code.INTERNAL, detail))
        code = Code(fields['code'])
        if code not in RETRY_ELSEWHERE:
            return Ok(fields)
        refusal = _refusal_of(code, fields)
    return Err(refusal)


def _key_headers() -> Result[dict[str, str], Refusal]:
    key = os.environ.get(KEY_VARIABLE, '')
    if not key:
        return Ok({})
    if not key.isascii() or not key.isprintable() or ' ' in key:
        # The key itself stays out of the message.
        detail = f'{KEY_VARIABLE}: expected printable ASCII without spaces'
        return Err(Refusal(Code.BAD_SETTING, detail))
    return Ok({KEY_HEADER: key})
