"""Submit, watch and cancel jobs from the command line."""

import argparse
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any, Final

from result import Err

from ._cli_entries import add_client_options, add_entry_option, entries_of
from ._cli_parts import (
    add_json_flag,
    command,
    exit_status_of,
    fail,
    print_json,
    print_table,
)
from ._client import Client, ClientSettings
from ._clock import SystemClock
from ._codec import to_json
from ._codes import Code, Refusal
from ._http import HttpCaller
from ._jobs import JobSpec, JobState
from ._options import field_types
from ._views import JobView

DEFAULT_WAIT_MS: Final = 600_000
DUMP_TIMEOUT_MS: Final = 30_000
UNITS: Final = {
    'cores_milli': 'thousandths of a core for each task',
    'memory_mb': 'megabytes for each task',
    'accelerators': 'accelerators for each task',
    'connections': 'connections for each task',
    'expected_run_ms': 'expected run time in milliseconds',
    'deadline_ms': 'deadline in milliseconds since the Unix epoch, 0 for none',
    'tasks': 'number of tasks',
    'payload': 'text handed to each task',
    'kind': 'service, batch, or gang (all tasks start together)',
}


def _describe_submit(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--job-id',
        default='',
        help='id of the job; repeat a submission under its id '
        '(default: a fresh one)',
    )
    for name, kind in field_types(JobSpec).items():
        if name != 'job_id':
            _add_field(parser, name, kind)
    parser.add_argument(
        '--payload-file',
        type=Path,
        help='file to take the payload from',
    )
    add_client_options(parser)
    add_json_flag(parser)


def _add_field(parser: argparse.ArgumentParser, name: str, kind: Any) -> None:
    flag = f'--{name.replace("_", "-")}'
    summary = UNITS.get(name, name)
    required = name not in JobSpec._field_defaults
    default = JobSpec._field_defaults.get(name)
    if not required:
        summary = f'{summary} (default: {default!r})'
    if kind is bool:
        action = argparse.BooleanOptionalAction
        parser.add_argument(flag, action=action, default=default, help=summary)
        return
    parser.add_argument(
        flag,
        type=kind,
        required=required,
        default=default,
        help=summary,
    )


@command('submit', 'submit a job', _describe_submit)
def run_submit(arguments: argparse.Namespace) -> int:
    """Submit a job and print its id."""
    client = client_of(arguments)
    fields = {name: getattr(arguments, name) for name in JobSpec._fields}
    if arguments.payload_file is not None:
        fields['payload'] = arguments.payload_file.read_text('utf-8')
    if not fields['job_id']:
        handed = client.new_job_id()
        if isinstance(handed, Err):
            return fail(handed.err_value)
        fields['job_id'] = handed.ok_value
    sent = client.submit(JobSpec(**fields))
    if isinstance(sent, Err):
        # The id is needed to ask again without running the job twice.
        print(f'job {fields["job_id"]}', file=sys.stderr)
        return fail(sent.err_value)
    if arguments.json:
        print_json(sent.ok_value)
    else:
        print(sent.ok_value.job_id)
    return exit_status_of(to_json(sent.ok_value))


def _describe_status(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('job_id', nargs='?', help='id of one job')
    parser.add_argument('--team', help='list the newest jobs of a team')
    parser.add_argument(
        '--state',
        default='',
        choices=[state.value for state in JobState],
        help='with --team: only jobs in this state (default: any)',
    )
    parser.add_argument(
        '--limit',
        type=int,
        default=100,
        help='with --team: number of jobs (default: %(default)s)',
    )
    add_client_options(parser)
    add_json_flag(parser)


@command('status', 'show a job, or the jobs of a team', _describe_status)
def run_status(arguments: argparse.Namespace) -> int:
    """Show a job, or the newest jobs of a team."""
    if bool(arguments.job_id) == bool(arguments.team):
        detail = 'status: expected either a job id or --team'
        return fail(Refusal(Code.BAD_FIELD, detail))
    if arguments.team:
        return _list_team(arguments)
    seen = client_of(arguments).read(arguments.job_id)
    if isinstance(seen, Err):
        return fail(seen.err_value)
    return _show_job(arguments, seen.ok_value)


def _list_team(arguments: argparse.Namespace) -> int:
    listed = client_of(arguments).list_team(
        arguments.team,
        arguments.state,
        arguments.limit,
    )
    if isinstance(listed, Err):
        return fail(listed.err_value)
    if arguments.json:
        print_json(listed.ok_value)
        return 0
    rows = (
        (line.job_id, line.workload, line.kind.value, line.state, line.tasks)
        for line in listed.ok_value.jobs
    )
    print_table(('JOB', 'WORKLOAD', 'KIND', 'STATE', 'TASKS'), rows)
    if listed.ok_value.more:
        print('there are more; raise --limit')
    return 0


def _show_job(arguments: argparse.Namespace, view: JobView) -> int:
    if arguments.json:
        print_json(view)
    else:
        print(f'{view.job_id}: {view.state} ({view.code}) {view.detail}')
        rows = (
            (index, task.state, task.attempt, task.worker, task.answer)
            for index, task in enumerate(view.tasks)
        )
        print_table(('TASK', 'STATE', 'ATTEMPT', 'WORKER', 'ANSWER'), rows)
    return exit_status_of(to_json(view))


def _describe_wait(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('job_id', help='id of the job')
    parser.add_argument(
        '--timeout-ms',
        type=int,
        default=DEFAULT_WAIT_MS,
        help='how long to wait, in milliseconds (default: %(default)s)',
    )
    add_client_options(parser)
    add_json_flag(parser)


@command('wait', 'wait for the complete answer of a job', _describe_wait)
def run_wait(arguments: argparse.Namespace) -> int:
    """Wait for a job and show its answer."""
    seen = client_of(arguments).wait(
        arguments.job_id,
        arguments.timeout_ms,
        _show_progress if sys.stderr.isatty() else None,
    )
    if isinstance(seen, Err):
        return fail(seen.err_value)
    return _show_job(arguments, seen.ok_value)


def _show_progress(view: JobView) -> None:
    counts = Counter(task.state for task in view.tasks)
    parts = (f'{count} {state}' for state, count in sorted(counts.items()))
    print(f'{view.job_id}: {", ".join(parts)}', file=sys.stderr)


def _describe_one(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('job_id', help='id of the job')
    add_client_options(parser)
    add_json_flag(parser)


@command('cancel', 'cancel a job', _describe_one)
def run_cancel(arguments: argparse.Namespace) -> int:
    """Cancel a job."""
    done = client_of(arguments).cancel(arguments.job_id)
    if isinstance(done, Err):
        return fail(done.err_value)
    if arguments.json:
        print_json(done.ok_value)
    else:
        print(f'{done.ok_value.job_id}: the cancellation is kept')
    return 0


@command('explain', 'say why a job waits, moved or ended', _describe_one)
def run_explain(arguments: argparse.Namespace) -> int:
    """Print the reasons for a job's state."""
    told = client_of(arguments).explain(arguments.job_id)
    if isinstance(told, Err):
        return fail(told.err_value)
    if arguments.json:
        print_json(told.ok_value)
        return 0
    print(f'{told.ok_value.job_id}: {told.ok_value.state}')
    rows = ((int(why.code), why.text) for why in told.ok_value.reasons)
    print_table(('CODE', 'REASON'), rows)
    return 0


@command('dump', 'print the state of one entry VM as JSON', add_entry_option)
def run_dump(arguments: argparse.Namespace) -> int:
    """Print the state of the first entry VM that is named."""
    addresses = entries_of(arguments)
    if not addresses:
        return fail(Refusal(Code.BAD_SETTING, 'no entry VM is named'))
    url = f'http://{addresses[0]}/dump'
    reply = HttpCaller().call('GET', url, timeout_ms=DUMP_TIMEOUT_MS)
    if isinstance(reply, Err):
        detail = f'entry VM {addresses[0]}: {reply.err_value.reason}'
        return fail(Refusal(Code.UNREACHABLE, detail))
    print(json.dumps(reply.ok_value.body, indent=2, sort_keys=True))
    return 0


def client_of(arguments: argparse.Namespace) -> Client:
    """Return a client of the entry VMs that the arguments name."""
    clock = SystemClock()
    settings = ClientSettings(
        entries_of(arguments),
        patience_ms=arguments.patience_ms,
        seed=clock.now_ms(),
    )
    return Client(settings, clock)
