"""Publish the changed files of an operators' folder to the log."""

import time
from collections.abc import Iterable
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ._clock import MS_PER_SECOND, Clock
from ._codes import Code, Refusal
from ._config_reader import STREAM, FoldedEntry, Reading, read_to_end
from ._folder import build_policy
from ._folder_files import FolderFile
from ._hashing import digest_of
from ._journal import Log
from ._versions import (
    FileChange,
    FileVersion,
    Publication,
    Verdict,
    VersionedConfig,
    apply_changes,
    conflicts,
    encode_entry,
)

APPEND_TIMEOUT_MS: Final = 1000
RETRY_INTERVAL_MS: Final = 200
DEFAULT_TIMEOUT_MS: Final = 10_000


class FileBase(NamedTuple):
    """Hold the version and the digest that a local file was made from."""

    name: str
    version: int
    digest: str


class PublishRequest(NamedTuple):
    """Hold the local files, their bases and their author.

    The batch id must be unique, since it identifies the publication in the
    stream when the reply to its append is lost.
    """

    batch_id: str
    author: str
    files: tuple[FolderFile, ...]
    bases: tuple[FileBase, ...] = ()


class Published(NamedTuple):
    """Hold the configuration after a publication and the changed files."""

    config: VersionedConfig
    changed: tuple[str, ...]


def publish(
    log: Log,
    clock: Clock,
    request: PublishRequest,
    known: VersionedConfig | None = None,
    timeout_ms: int = DEFAULT_TIMEOUT_MS,
) -> Result[Published, Refusal]:
    """Publish the changed files, or return the conflicts or errors.

    If a change of another file was published in the meantime, the
    publication is checked again and repeated. A change of the same file is a
    conflict.
    """
    until_ms = clock.now_ms() + timeout_ms
    config = known or VersionedConfig()
    attempt = 0
    while clock.now_ms() < until_ms or attempt == 0:
        attempt += 1
        reading = read_to_end(log, config)
        if isinstance(reading, Err):
            time.sleep(RETRY_INTERVAL_MS / MS_PER_SECOND)
            continue
        config = reading.ok_value.config
        planned = _plan(config, request, attempt, clock.now_ms())
        if isinstance(planned, Err):
            return planned
        committed = _commit(log, clock, planned.ok_value, config, until_ms)
        if isinstance(committed, Err):
            return committed
        if committed.ok_value is not None:
            return Ok(committed.ok_value)
    return Err(Refusal(Code.UNREACHABLE, 'the log does not answer'))


def plan_changes(
    config: VersionedConfig,
    files: Iterable[FolderFile],
    bases: Iterable[FileBase],
) -> tuple[FileChange, ...]:
    """Return the changes of files that differ from their base and the log."""
    known = {base.name: base for base in bases}
    local = {entry.name: entry.content for entry in files}
    edited = (
        FileChange(name, _version_of(known.get(name)), content)
        for name, content in sorted(local.items())
        if _is_edited(config, known.get(name), name, content)
    )
    removed = (
        FileChange(name, base.version)
        for name, base in sorted(known.items())
        if name not in local and config.file(name) is not None
    )
    return (*edited, *removed)


def _version_of(base: FileBase | None) -> int:
    return base.version if base else 0


def _is_edited(
    config: VersionedConfig,
    base: FileBase | None,
    name: str,
    content: str,
) -> bool:
    if base is not None and base.digest == digest_of(content):
        return False
    current = config.file(name)
    return current is None or current.content != content


def bases_of(files: Iterable[FileVersion]) -> tuple[FileBase, ...]:
    """Return the bases that correspond to published files."""
    return tuple(
        FileBase(entry.name, entry.version, digest_of(entry.content))
        for entry in files
    )


def _plan(
    config: VersionedConfig,
    request: PublishRequest,
    attempt: int,
    now_ms: int,
) -> Result[Publication, Refusal]:
    if not config.complete:
        detail = 'the log no longer holds the configuration; name an entry VM'
        return Err(Refusal(Code.NOT_READY, detail))
    unknown = [base for base in request.bases if base.version > config.version]
    if unknown:
        return Err(_unknown_base(config, unknown[0]))
    changes = plan_changes(config, request.files, request.bases)
    stale = conflicts(config, changes)
    if stale:
        return Err(_conflict(config, stale))
    merged = apply_changes(config, config.version, changes)
    files = (FolderFile(entry.name, entry.content) for entry in merged)
    checked = build_policy(files)
    if isinstance(checked, Err):
        errors = (error.to_text() for error in checked.err_value)
        return Err(Refusal(Code.BAD_FOLDER, '\n'.join(errors)))
    return Ok(
        Publication(
            f'{request.batch_id}-{attempt}',
            request.author,
            config.version,
            changes,
            now_ms,
        ),
    )


def _unknown_base(config: VersionedConfig, base: FileBase) -> Refusal:
    detail = (
        f'{base.name}: based on version {base.version}, expected at most '
        f'{config.version}, the newest on this log; the folder was published '
        'to another log: remove .lycheerelay.json to publish it to this one'
    )
    return Refusal(Code.VERSION_CONFLICT, detail)


def _commit(
    log: Log,
    clock: Clock,
    publication: Publication,
    config: VersionedConfig,
    until_ms: int,
) -> Result[Published | None, Refusal]:
    if not publication.changes:
        return Ok(Published(config, ()))
    while True:
        log.append(STREAM, encode_entry(publication), APPEND_TIMEOUT_MS)
        # The reply may be lost, so the outcome is read from the stream.
        reading = read_to_end(log, config)
        if isinstance(reading, Ok):
            found = _find_entry(reading.ok_value, publication.batch_id)
            if found is not None:
                return _published(reading.ok_value.config, found)
        if clock.now_ms() >= until_ms:
            detail = 'it may still be published; run the same command again'
            return Err(Refusal(Code.TIMEOUT, detail))
        time.sleep(RETRY_INTERVAL_MS / MS_PER_SECOND)


def _find_entry(reading: Reading, batch_id: str) -> FoldedEntry | None:
    for entry in reading.entries:
        publication = entry.entry.publication
        if publication is not None and publication.batch_id == batch_id:
            return entry
    return None


def _published(
    config: VersionedConfig,
    found: FoldedEntry,
) -> Result[Published | None, Refusal]:
    if found.outcome.verdict is Verdict.CONFLICT:
        return Err(_conflict(config, (found.outcome.file,)))
    publication = found.entry.publication
    if found.outcome.verdict is not Verdict.APPLIED or publication is None:
        return Ok(None)
    names = tuple(change.name for change in publication.changes)
    return Ok(Published(config, names))


def _conflict(config: VersionedConfig, names: tuple[str, ...]) -> Refusal:
    lines = []
    for name in names:
        current = config.file(name)
        if current is None:
            lines.append(f'{name}: removed by version {config.version}')
        else:
            lines.append(f'{name}: version {current.version} came first')
    return Refusal(Code.VERSION_CONFLICT, '\n'.join(lines))
