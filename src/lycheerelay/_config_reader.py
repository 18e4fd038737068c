"""Read the configuration stream of the log to its end."""

import logging
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ._http import CallError
from ._journal import Log
from ._log_client import LogEntry, LogPage
from ._versions import (
    ConfigEntry,
    Outcome,
    VersionedConfig,
    decode_entry,
    fold,
    skip_to,
)

LOGGER: Final = logging.getLogger(__name__)
STREAM: Final = 'config'
READ_TIMEOUT_MS: Final = 1000


class FoldedEntry(NamedTuple):
    """Hold an entry of the stream and the outcome of folding it."""

    offset: int
    entry: ConfigEntry
    outcome: Outcome


class Reading(NamedTuple):
    """Hold the configuration at the end of the stream and the entries read."""

    config: VersionedConfig
    entries: tuple[FoldedEntry, ...]


def read_to_end(
    log: Log,
    config: VersionedConfig,
) -> Result[Reading, CallError]:
    """Fold every entry of the stream that the configuration misses."""
    entries: list[FoldedEntry] = []
    while True:
        page = log.read(STREAM, config.read_to, READ_TIMEOUT_MS)
        if isinstance(page, Err):
            return page
        config = _fold_page(config, page.ok_value, entries)
        if config.read_to >= page.ok_value.end:
            return Ok(Reading(config, tuple(entries)))


def _fold_page(
    config: VersionedConfig,
    page: LogPage,
    entries: list[FoldedEntry],
) -> VersionedConfig:
    config = skip_to(config, page.first)
    for entry in page.entries:
        decoded = _decode(entry)
        config, outcome = fold(config, entry.offset, decoded)
        entries.append(FoldedEntry(entry.offset, decoded, outcome))
    return config


def _decode(entry: LogEntry) -> ConfigEntry:
    decoded = decode_entry(entry.value)
    if isinstance(decoded, Err):
        LOGGER.error(
            'configuration entry is unreadable',
            extra={'offset': entry.offset, 'error': decoded.err_value.path},
        )
        return ConfigEntry()
    return decoded.ok_value
