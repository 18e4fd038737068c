"""Show what tenants use and why their jobs wait."""

import argparse
from collections.abc import Callable, Iterator
from typing import Any, Final

from result import Err, Ok, Result

from ._cli_entries import add_client_options, entries_of
from ._cli_parts import add_json_flag, command, fail, print_json, print_table
from ._clock import MS_PER_SECOND
from ._codes import Code, Refusal
from ._http import HttpCaller
from ._registry import Registry

CORES_MILLI: Final = 1000
NO_LIMIT: Final = '-'
RESOURCE_UNITS: Final = {
    'cores_milli': ('cores', CORES_MILLI),
    'memory_mb': ('MB of memory', 1),
    'accelerators': ('accelerators', 1),
}
HEADER: Final = (
    'TENANT',
    'WEIGHT',
    'RATE/S',
    'CORES',
    'QUOTA',
    'SHARE',
    'FAIR',
    'WAITING',
    'OVER RATE',
    'HELD BY',
)

Row = dict[str, Any]
Sentence = Callable[[Row, Row, str], str]
SENTENCES: Final[Registry[str, Sentence]] = Registry('cause')


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'name', nargs='?', help='tell why the jobs of this tenant wait'
    )
    add_client_options(parser)
    add_json_flag(parser)


@command('tenants', 'show tenants and why their jobs wait', _add_arguments)
def run_tenants(arguments: argparse.Namespace) -> int:
    """Print a table of all tenants, or why one of them waits."""
    found = _dump_of_owner(arguments)
    if isinstance(found, Err):
        return fail(found.err_value)
    dump = found.ok_value
    rows: list[Row] = dump['tenants']
    if arguments.name:
        rows = [row for row in rows if row['tenant'] == arguments.name]
        if not rows:
            detail = f'tenant {arguments.name}: not known to the owner'
            return fail(Refusal(Code.NOT_FOUND, detail))
    if arguments.json:
        print_json(rows)
    elif arguments.name:
        for sentence in explain_tenant(rows[0], dump['now_ms']):
            print(sentence)
    elif rows:
        print_table(HEADER, map(_table_row, rows))
    else:
        print('the configuration in force has no tenants')
    return 0


def explain_tenant(row: Row, now_ms: int) -> Iterator[str]:
    """Yield a sentence for each cause for which jobs of a tenant wait."""
    for hold in row['held']:
        yield SENTENCES[hold['cause']](row, hold, _since(hold, now_ms))
    for refusal in row['refused']:
        yield _refusal_sentence(row, refusal, _since(refusal, now_ms))
    if not row['held'] and not row['refused']:
        yield f'{row["tenant"]}: no job waits'


@SENTENCES.register('quota')
def explain_quota(row: Row, hold: Row, since: str) -> str:
    """Tell that the quota leaves no room for more."""
    unit, divisor = RESOURCE_UNITS[hold['subject']]
    used = row['used'][hold['subject']] / divisor
    quota = row['quota'][hold['subject']] / divisor
    return (
        f'quota: {hold["jobs"]} jobs wait since {since}; {used:g} of '
        f'{quota:g} {unit} are in use, which leaves no room for their next task'
    )


@SENTENCES.register('gang')
def explain_gang(row: Row, hold: Row, since: str) -> str:
    """Tell that an earlier gang of the tenant is to start first."""
    return (
        f'gang: {hold["jobs"]} jobs wait since {since} in pool '
        f'{hold["subject"]}; what the quota leaves is kept for an earlier gang '
        f'of the tenant'
    )


@SENTENCES.register('share')
def explain_share(row: Row, hold: Row, since: str) -> str:
    """Tell that tenants below their share come first."""
    return (
        f'share: {hold["jobs"]} jobs wait since {since} in pool '
        f'{hold["subject"]}; the tenant uses more than its weighted share there, '
        f'so tenants below theirs come first (in the whole cell it uses '
        f'{row["share"]:.3f}, its share is {row["fair_share"]:.3f})'
    )


@SENTENCES.register('capacity')
def explain_capacity(row: Row, hold: Row, since: str) -> str:
    """Tell that the jobs wait like those of any tenant."""
    return (
        f'capacity: {hold["jobs"]} jobs wait since {since} in pool '
        f'{hold["subject"]}, within quota and share; "lycheerelay trace" shows '
        f'what each of them waits for'
    )


@SENTENCES.register('removed')
def explain_removed(row: Row, hold: Row, since: str) -> str:
    """Tell that the configuration does not have the tenant."""
    return (
        f'removed: {hold["jobs"]} jobs wait since {since}; the configuration in '
        f'force does not have the tenant, so nothing of it starts'
    )


def _refusal_sentence(row: Row, refusal: Row, since: str) -> str:
    return (
        f'rate: since {since} new jobs over {row["rate"]:g} a second are refused '
        f'with 429 in pool {refusal["pool"]}, which is short of capacity; '
        f'{refusal["backlog"]} accepted ones over the rate wait, and a further '
        f'one would be served in {_seconds(refusal["served_in_ms"])}'
    )


def _since(item: Row, now_ms: int) -> str:
    return _seconds(max(now_ms - item['since_ms'], 0))


def _seconds(span_ms: int) -> str:
    return f'{span_ms / MS_PER_SECOND:.1f} s'


def _table_row(row: Row) -> tuple[object, ...]:
    quota = row['quota']['cores_milli']
    causes = {hold['cause'] for hold in row['held']}
    if row['refused']:
        causes.add('rate')
    return (
        row['tenant'],
        f'{row["weight"]:g}',
        f'{row["rate"]:g}',
        f'{row["used"]["cores_milli"] / CORES_MILLI:g}',
        f'{quota / CORES_MILLI:g}' if quota else NO_LIMIT,
        f'{row["share"]:.3f}',
        f'{row["fair_share"]:.3f}',
        row['waiting'],
        row['over_rate'],
        ' '.join(sorted(causes)) or NO_LIMIT,
    )


def _dump_of_owner(arguments: argparse.Namespace) -> Result[Row, Refusal]:
    """Return the dump of the owner, which any entry VM names."""
    refusal = Refusal(Code.BAD_SETTING, 'no entry VM address is given')
    for address in entries_of(arguments):
        fetched = _follow_owner(address, arguments.patience_ms)
        if isinstance(fetched, Ok):
            return fetched
        refusal = fetched.err_value
    return Err(refusal)


def _follow_owner(address: str, timeout_ms: int) -> Result[Row, Refusal]:
    first = _fetch_dump(address, timeout_ms)
    if isinstance(first, Err) or first.ok_value.get('cell'):
        return first
    owner = str(first.ok_value.get('owner') or '').partition('#')[0]
    if not owner:
        return Err(Refusal(Code.NO_OWNER, f'{address} knows no owner'))
    second = _fetch_dump(owner, timeout_ms)
    if isinstance(second, Ok) and not second.ok_value.get('cell'):
        return Err(Refusal(Code.NO_OWNER, f'{owner} is no longer the owner'))
    return second


def _fetch_dump(address: str, timeout_ms: int) -> Result[Row, Refusal]:
    url = f'http://{address}/dump'
    reply = HttpCaller().call('GET', url, timeout_ms=timeout_ms)
    if isinstance(reply, Err):
        detail = f'entry VM {address}: {reply.err_value.reason}'
        return Err(Refusal(Code.UNREACHABLE, detail))
    body = reply.ok_value.body
    if not isinstance(body, dict) or 'tenants' not in body:
        detail = f'entry VM {address}: its dump has no tenants'
        return Err(Refusal(Code.INTERNAL, detail))
    return Ok(body)
