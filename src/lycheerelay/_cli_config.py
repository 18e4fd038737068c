"""Publish a configuration folder and show the versions in force."""

import argparse
import getpass
import os
import secrets
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ._cli_check import load_folder
from ._cli_entries import add_entry_option, entries_of
from ._cli_parts import (
    add_json_flag,
    command,
    fail,
    print_json,
    print_table,
    report_errors,
)
from ._clock import MS_PER_SECOND, SystemClock
from ._codec import Json, from_json
from ._codes import Code, Refusal
from ._config_publish import (
    DEFAULT_TIMEOUT_MS,
    Published,
    PublishRequest,
    publish,
)
from ._config_reader import Reading, read_to_end
from ._folder_bases import load_bases, local_bases, save_bases, write_folder
from ._http import HttpCaller
from ._log_client import LogClient
from ._versions import VersionedConfig

LOG_VARIABLE: Final = 'LYCHEERELAY_LOG'
BATCH_ID_BYTES: Final = 9
IN_FORCE_TIMEOUT_MS: Final = 7000
IN_FORCE_POLL_MS: Final = 100
CALL_TIMEOUT_MS: Final = 1000
NOT_IN_FORCE_EXIT_STATUS: Final = 11
# Requests the version in force without the files.
ABOVE_EVERY_VERSION: Final = 1 << 62


class EntryVersion(NamedTuple):
    """Hold the configuration version in force at one entry VM."""

    address: str
    name: str
    in_force: int
    code: int


def add_log_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the address of the log service."""
    parser.add_argument(
        '--log',
        metavar='HOST:PORT',
        default=os.environ.get(LOG_VARIABLE, ''),
        help=f'address of the log service (default: ${LOG_VARIABLE})',
    )


def _add_publish_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('folder', type=Path, help='folder of INI files')
    add_log_option(parser)
    add_entry_option(parser)
    parser.add_argument(
        '--timeout-ms',
        type=int,
        default=DEFAULT_TIMEOUT_MS,
        help='how long to try, in milliseconds (default: %(default)s)',
    )
    add_json_flag(parser)


@command(
    'publish', 'publish the changed files of a folder', _add_publish_arguments
)
def run_publish(arguments: argparse.Namespace) -> int:
    """Publish a folder and wait until it is in force at the entry VMs."""
    loaded = load_folder(arguments.folder)
    if isinstance(loaded, Err):
        return report_errors(
            loaded.err_value,
            Code.BAD_FOLDER,
            arguments.json,
        )
    bases = load_bases(arguments.folder)
    if isinstance(bases, Err):
        return fail(bases.err_value)
    request = PublishRequest(
        secrets.token_hex(BATCH_ID_BYTES),
        getpass.getuser(),
        loaded.ok_value[0],
        bases.ok_value,
    )
    outcome = _publish(arguments, request)
    if isinstance(outcome, Err):
        return fail(outcome.err_value)
    config = outcome.ok_value.config
    published_bases = local_bases(arguments.folder, config)
    save_bases(arguments.folder, published_bases)
    entry_versions = _await_in_force(entries_of(arguments), config.version)
    _show_published(arguments, outcome.ok_value, entry_versions)
    if _all_in_force(entry_versions, config.version):
        return 0
    return NOT_IN_FORCE_EXIT_STATUS


def _publish(
    arguments: argparse.Namespace,
    request: PublishRequest,
) -> Result[Published, Refusal]:
    if not arguments.log:
        return Err(_missing_log_refusal())
    caller = HttpCaller()
    return publish(
        LogClient(caller, arguments.log),
        SystemClock(),
        request,
        _newest_config(caller, entries_of(arguments)),
        arguments.timeout_ms,
    )


def _show_published(
    arguments: argparse.Namespace,
    published: Published,
    entry_versions: Sequence[EntryVersion],
) -> None:
    version = published.config.version
    if arguments.json:
        body = {
            'code': int(Code.OK),
            'version': version,
            'changed': published.changed,
            'entries': entry_versions,
        }
        print_json(body)
        return
    changed = ', '.join(published.changed) or 'nothing'
    print(f'version {version}: changed {changed}')
    if entry_versions:
        _show_entries(entry_versions)


def _add_config_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'what',
        choices=('show', 'versions'),
        help='show: the published files; versions: all publications, '
        'and the version in force at each entry VM',
    )
    add_log_option(parser)
    add_entry_option(parser)
    parser.add_argument(
        '--into',
        type=Path,
        metavar='FOLDER',
        help='with show: write the published files to this folder and '
        'remove its other INI files',
    )
    add_json_flag(parser)


@command('config', 'show the published configuration', _add_config_arguments)
def run_config(arguments: argparse.Namespace) -> int:
    """Show the published files or versions."""
    reading = _read_published(arguments)
    if isinstance(reading, Err):
        return fail(reading.err_value)
    if arguments.what == 'versions':
        _show_versions(arguments, reading.ok_value)
        return 0
    config = reading.ok_value.config
    if arguments.into is not None:
        write_folder(arguments.into, config)
    if arguments.json:
        print_json(config)
    else:
        print(f'version {config.version}')
        rows = (
            (entry.name, entry.version, len(entry.content))
            for entry in config.files
        )
        print_table(('FILE', 'VERSION', 'CHARACTERS'), rows)
    return 0


def _read_published(
    arguments: argparse.Namespace,
) -> Result[Reading, Refusal]:
    if not arguments.log:
        return Err(_missing_log_refusal())
    caller = HttpCaller()
    log = LogClient(caller, arguments.log)
    reading = read_to_end(log, VersionedConfig())
    if isinstance(reading, Ok) and reading.ok_value.config.complete:
        return reading
    newest = _newest_config(caller, entries_of(arguments))
    if newest is not None:
        return Ok(Reading(newest, ()))
    if isinstance(reading, Err):
        detail = f'log {arguments.log}: {reading.err_value.reason}'
        return Err(Refusal(Code.UNREACHABLE, detail))
    return Err(
        Refusal(Code.NOT_READY, 'the log no longer holds the configuration'),
    )


def _show_versions(arguments: argparse.Namespace, reading: Reading) -> None:
    rows = [
        (
            read_entry.offset + 1,
            publication.author,
            read_entry.outcome.verdict.value,
            ' '.join(change.name for change in publication.changes),
        )
        for read_entry in reading.entries
        if (publication := read_entry.entry.publication) is not None
    ]
    entry_versions = [
        _fetch_version(address) for address in entries_of(arguments)
    ]
    if arguments.json:
        fields = ('version', 'author', 'verdict', 'files')
        print_json(
            {
                'version': reading.config.version,
                'publications': [
                    dict(zip(fields, row, strict=True)) for row in rows
                ],
                'entries': entry_versions,
            },
        )
        return
    print_table(('VERSION', 'AUTHOR', 'VERDICT', 'FILES'), rows)
    if entry_versions:
        _show_entries(entry_versions)


def _show_entries(entry_versions: Sequence[EntryVersion]) -> None:
    rows = (
        (entry.address, entry.name, entry.in_force) for entry in entry_versions
    )
    print_table(('ENTRY VM', 'NAME', 'IN FORCE'), rows)


def _await_in_force(
    addresses: Sequence[str],
    version: int,
) -> list[EntryVersion]:
    clock = SystemClock()
    until_ms = clock.now_ms() + IN_FORCE_TIMEOUT_MS
    entry_versions = [_fetch_version(address) for address in addresses]
    while (
        not _all_in_force(entry_versions, version) and clock.now_ms() < until_ms
    ):
        time.sleep(IN_FORCE_POLL_MS / MS_PER_SECOND)
        entry_versions = [_fetch_version(address) for address in addresses]
    return entry_versions


def _all_in_force(entry_versions: Sequence[EntryVersion], version: int) -> bool:
    return all(entry.in_force >= version for entry in entry_versions)


def _fetch_version(address: str) -> EntryVersion:
    body = _fetch_config(HttpCaller(), address, above=ABOVE_EVERY_VERSION)
    if body is None:
        return EntryVersion(address, '', 0, int(Code.UNREACHABLE))
    return EntryVersion(address, body['name'], body['in_force'], int(Code.OK))


def _newest_config(
    caller: HttpCaller,
    addresses: Sequence[str],
) -> VersionedConfig | None:
    configs = []
    for address in addresses:
        body = _fetch_config(caller, address, above=0)
        parsed = from_json(VersionedConfig, body and body['config'])
        if isinstance(parsed, Ok):
            configs.append(parsed.ok_value)
    return max(configs, key=lambda config: config.version, default=None)


def _fetch_config(caller: HttpCaller, address: str, above: int) -> Json:
    url = f'http://{address}/internal/config?above={above}'
    reply = caller.call('GET', url, timeout_ms=CALL_TIMEOUT_MS)
    if isinstance(reply, Err) or reply.ok_value.status != 200:
        return None
    return reply.ok_value.body


def _missing_log_refusal() -> Refusal:
    detail = f'--log: got nothing, expected HOST:PORT or ${LOG_VARIABLE}'
    return Refusal(Code.BAD_SETTING, detail)
