"""Submit, inspect and cancel jobs from the command line."""

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
FIELD_HELP: Final = {
    'cores_milli': 'thousandths of a core for each task',
    'memory_mb': 'megabytes for each task',
    'accelerators': 'accelerators for each task',
    'connections': 'connections for each task',
    'expected_run_ms': 'expected run time in milliseconds',
    'deadline_ms': 'deadline in milliseconds since the Unix epoch, 0 for none',
    'tasks': 'number of tasks',
    'payload': 'text passed to each task',
    'kind': 'service, batch, or gang (all tasks start together)',
}


def _add_submit_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--job-id',
        default='',
        help='id of the job; use the same id to repeat a submission '
        '(default: a new id)',
    )
    for name, kind in field_types(JobSpec).items():
        if name != 'job_id':
            _add_field_argument(parser, name, kind)
    parser.add_argument(
        '--payload-file',
        type=Path,
        help='file to read the payload from',
    )
    add_client_options(parser)
    add_json_flag(parser)


def _add_field_argument(
    parser: argparse.ArgumentParser, name: str, kind: Any
) -> None:
    flag = f'--{name.replace("_", "-")}'
    summary = FIELD_HELP.get(name, name)
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


@command('submit', 'submit a job', _add_submit_arguments)
def run_submit(arguments: argparse.Namespace) -> int:
    """Submit a job and print its id."""
    client = client_of(arguments)
    fields = {name: getattr(arguments, name) for name in JobSpec._fields}
    if arguments.payload_file is not None:
        fields['payload'] = arguments.payload_file.read_text('utf-8')
    if not fields['job_id']:
        issued = client.new_job_id()
        if isinstance(issued, Err):
            return fail(issued.err_value)
        fields['job_id'] = issued.ok_value
    submitted = client.submit(JobSpec(**fields))
    if isinstance(submitted, Err):
        # With the id, the caller can retry without running the job twice.
        print(f'job {fields["job_id"]}', file=sys.stderr)
        return fail(submitted.err_value)
    if arguments.json:
        print_json(submitted.ok_value)
    else:
        print(submitted.ok_value.job_id)
    return exit_status_of(to_json(submitted.ok_value))


def _add_status_arguments(parser: argparse.ArgumentParser) -> None:
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


@command('status', 'show a job, or the jobs of a team', _add_status_arguments)
def run_status(arguments: argparse.Namespace) -> int:
    """Show a job, or the newest jobs of a team."""
    if bool(arguments.job_id) == bool(arguments.team):
        detail = 'status: expected either a job id or --team'
        return fail(Refusal(Code.BAD_FIELD, detail))
    if arguments.team:
        return _list_team(arguments)
    outcome = client_of(arguments).read(arguments.job_id)
    if isinstance(outcome, Err):
        return fail(outcome.err_value)
    return _show_job(arguments, outcome.ok_value)


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
        print('there are more jobs; raise --limit')
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


def _add_wait_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('job_id', help='id of the job')
    parser.add_argument(
        '--timeout-ms',
        type=int,
        default=DEFAULT_WAIT_MS,
        help='how long to wait, in milliseconds (default: %(default)s)',
    )
    add_client_options(parser)
    add_json_flag(parser)


@command('wait', 'wait until a job is complete', _add_wait_arguments)
def run_wait(arguments: argparse.Namespace) -> int:
    """Wait until a job is complete and show it."""
    outcome = client_of(arguments).wait(
        arguments.job_id,
        arguments.timeout_ms,
        _show_progress if sys.stderr.isatty() else None,
    )
    if isinstance(outcome, Err):
        return fail(outcome.err_value)
    return _show_job(arguments, outcome.ok_value)


def _show_progress(view: JobView) -> None:
    counts = Counter(task.state for task in view.tasks)
    parts = (f'{count} {state}' for state, count in sorted(counts.items()))
    print(f'{view.job_id}: {", ".join(parts)}', file=sys.stderr)


def _add_job_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('job_id', help='id of the job')
    add_client_options(parser)
    add_json_flag(parser)


@command('cancel', 'cancel a job', _add_job_arguments)
def run_cancel(arguments: argparse.Namespace) -> int:
    """Cancel a job."""
    cancelled = client_of(arguments).cancel(arguments.job_id)
    if isinstance(cancelled, Err):
        return fail(cancelled.err_value)
    if arguments.json:
        print_json(cancelled.ok_value)
    else:
        print(f'{cancelled.ok_value.job_id}: the cancellation is recorded')
    return 0


@command(
    'explain', 'explain why a job waits, moved or ended', _add_job_arguments
)
def run_explain(arguments: argparse.Namespace) -> int:
    """Explain the state of a job."""
    explanation = client_of(arguments).explain(arguments.job_id)
    if isinstance(explanation, Err):
        return fail(explanation.err_value)
    if arguments.json:
        print_json(explanation.ok_value)
        return 0
    print(f'{explanation.ok_value.job_id}: {explanation.ok_value.state}')
    rows = (
        (int(reason.code), reason.text)
        for reason in explanation.ok_value.reasons
    )
    print_table(('CODE', 'REASON'), rows)
    return 0


@command('dump', 'print the state of one entry VM as JSON', add_entry_option)
def run_dump(arguments: argparse.Namespace) -> int:
    """Print the state of the first entry VM given."""
    addresses = entries_of(arguments)
    if not addresses:
        return fail(Refusal(Code.BAD_SETTING, 'no entry VM address is given'))
    url = f'http://{addresses[0]}/dump'
    reply = HttpCaller().call('GET', url, timeout_ms=DUMP_TIMEOUT_MS)
    if isinstance(reply, Err):
        detail = f'entry VM {addresses[0]}: {reply.err_value.reason}'
        return fail(Refusal(Code.UNREACHABLE, detail))
    print(json.dumps(reply.ok_value.body, indent=2, sort_keys=True))
    return 0


def client_of(arguments: argparse.Namespace) -> Client:
    """Return a client of the entry VMs given in the arguments."""
    clock = SystemClock()
    settings = ClientSettings(
        entries_of(arguments),
        patience_ms=arguments.patience_ms,
        seed=clock.now_ms(),
    )
    return Client(settings, clock)
