"""Read, play and write golden session files.

A file starts with a description and a blank line. Each event is one line,
`TIME EVENT JSON`, followed by the commands that the core returns, indented.
`TIME Recorded RECORD JSON` delivers any record; `TIME read back` delivers
the records that the core appended since, in order. After the last event, the
state of every job is listed under `end`. Fields with default values are
omitted.
"""

import json
from pathlib import Path
from typing import NamedTuple

from lycheerelay import _commands, _events
from lycheerelay._codec import from_json, to_json
from lycheerelay._commands import Append, Command, StartTask
from lycheerelay._core import step
from lycheerelay._events import Event, Recorded
from lycheerelay._jobs import AttemptKey, parse_attempt
from lycheerelay._record_codec import RECORD_TYPES
from lycheerelay._records import Record
from lycheerelay._state import JobInfo, ShardState

FOLDER = Path(__file__).parent / 'sessions'
READ_BACK = 'read back'
INDENT = '  '
END = 'end'


class Session(NamedTuple):
    """Hold the description and the input lines of one file."""

    description: str
    inputs: tuple[str, ...]


def read_session(text: str) -> Session:
    """Parse a file without its expected commands and job states."""
    description, _, body = text.partition('\n\n')
    inputs = []
    for line in body.splitlines():
        if line == END:
            break
        if line and not line.startswith(INDENT):
            inputs.append(line)
    return Session(description, tuple(inputs))


def play(session: Session) -> str:
    """Return the whole file with the commands that the core returns now."""
    state = ShardState('a', 'desk', 'e1')
    unread: list[Record] = []
    lines = []
    for line in session.inputs:
        if line.startswith('#'):
            lines.append(f'\n{line}')
            continue
        lines.append(line)
        time_text, _, rest = line.partition(' ')
        for event in _events_of(rest, unread):
            _, commands = step(state, event, int(time_text))
            unread += [
                command.record
                for command in commands
                if isinstance(command, Append)
            ]
            lines += [INDENT + show(state, command) for command in commands]
    parts = [session.description, '', *lines, '', END]
    parts += [INDENT + show_job(job) for job in state.jobs.values()]
    return '\n'.join(parts) + '\n'


def _events_of(rest: str, unread: list[Record]) -> list[Event]:
    if rest == READ_BACK:
        events = [Recorded(record) for record in unread]
        unread.clear()
        return events
    name, _, raw = rest.partition(' ')
    if name == Recorded.__name__:
        name, _, raw = raw.partition(' ')
        return [Recorded(_parse(RECORD_TYPES[name], raw))]
    return [_parse(getattr(_events, name), raw)]


def _parse(kind: type, raw: str):
    return from_json(kind, _expand(json.loads(raw or '{}'))).unwrap()


def _expand(raw):
    if isinstance(raw, list):
        return [_expand(part) for part in raw]
    if not isinstance(raw, dict):
        return raw
    full = {name: _expand(part) for name, part in raw.items()}
    if isinstance(full.get('key'), str):
        full['key'] = to_json(parse_attempt(full['key']))
    return full


def show(state: ShardState, command: Command) -> str:
    """Format a command as one line."""
    if isinstance(command, Append):
        record = command.record
        return f'Append {type(record).__name__} {_dumps(_compact(record))}'
    fields = _compact(command)
    if isinstance(command, StartTask):
        job = state.jobs.get(command.key.job_id)
        if job is not None and job.spec == command.spec:
            fields['spec'] = 'as accepted'
    assert type(command) is getattr(_commands, type(command).__name__)
    return f'{type(command).__name__} {_dumps(fields)}'


def show_job(job: JobInfo) -> str:
    """Format a job's state as one line."""
    tasks = ' '.join(
        f'{task.state.value}#{task.attempt}@{task.worker or "-"}'
        for task in job.tasks
    )
    detail = f' "{job.detail}"' if job.detail else ''
    return f'{job.spec.job_id} {job.state.value} {job.code}{detail}: {tasks}'


def _compact(item):
    if isinstance(item, AttemptKey):
        return item.to_text()
    if isinstance(item, tuple) and hasattr(item, '_fields'):
        defaults = item._field_defaults
        return {
            name: _compact(value)
            for name, value in zip(item._fields, item, strict=True)
            if name not in defaults or value != defaults[name]
        }
    if isinstance(item, tuple | list):
        return [_compact(part) for part in item]
    return to_json(item)


def _dumps(fields) -> str:
    return json.dumps(fields, separators=(', ', ': '))
