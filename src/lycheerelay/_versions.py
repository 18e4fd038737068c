"""Fold the stream of publications into one versioned configuration.

The version of a publication is its offset plus one, and 0 stands for no
configuration. Every reader that folds the same entries gets the same
verdict for each of them.
"""

from collections.abc import Iterator
from enum import StrEnum, unique
from typing import NamedTuple

from result import Err, Result

from ._codec import FieldError, Json, from_json, to_json
from ._folder_files import FILE_NAME_TEXT, is_file_name


class FileChange(NamedTuple):
    """Change one file, or remove it if the content is None.

    `base` is the version of the file that the change was made from, or 0 for
    a new file.
    """

    name: str
    base: int
    content: str | None = None


class Publication(NamedTuple):
    """Request changes to the version `after`, which they were checked with."""

    batch_id: str
    author: str
    after: int
    changes: tuple[FileChange, ...]
    at_ms: int


class FileVersion(NamedTuple):
    """Hold a file and the version that last changed it."""

    name: str
    version: int
    content: str


class Snapshot(NamedTuple):
    """Hold the whole configuration after every entry before `read_to`."""

    version: int
    files: tuple[FileVersion, ...]
    read_to: int
    at_ms: int


class ConfigEntry(NamedTuple):
    """Hold one entry of the stream: a publication or a snapshot."""

    publication: Publication | None = None
    snapshot: Snapshot | None = None


@unique
class Verdict(StrEnum):
    """Name the result of folding an entry.

    `conflict`: a file was changed after the base of its change. `moved_on`:
    another publication was applied after the version that this one was
    checked with. `gap`: earlier entries are missing.
    """

    APPLIED = 'applied'
    CONFLICT = 'conflict'
    OVERTAKEN = 'moved_on'
    GAP = 'gap'
    SNAPSHOT = 'snapshot'
    IGNORED = 'ignored'


class Outcome(NamedTuple):
    """Hold the result of folding an entry and the version after it.

    A conflict also names the file.
    """

    verdict: Verdict
    version: int
    file: str = ''


class VersionedConfig(NamedTuple):
    """Hold the files in force after every entry before `read_to`.

    `complete` is False if entries expired before they were read.
    """

    version: int = 0
    files: tuple[FileVersion, ...] = ()
    read_to: int = 0
    complete: bool = True

    def file(self, name: str) -> FileVersion | None:
        """Return a file, or None if it does not exist."""
        for entry in self.files:
            if entry.name == name:
                return entry
        return None

    def base_of(self, name: str) -> int:
        """Return the version of a file, or 0 if it does not exist."""
        entry = self.file(name)
        return entry.version if entry else 0


def fold(
    config: VersionedConfig,
    offset: int,
    entry: ConfigEntry,
) -> tuple[VersionedConfig, Outcome]:
    """Apply the entry at an offset; the version never decreases."""
    after = config._replace(read_to=offset + 1)
    if entry.publication is not None:
        return _fold_publication(after, offset + 1, entry.publication)
    if entry.snapshot is not None:
        return _fold_snapshot(after, offset, entry.snapshot)
    return after, Outcome(Verdict.IGNORED, config.version)


def skip_to(config: VersionedConfig, first: int) -> VersionedConfig:
    """Skip entries before `first`, which have expired.

    The result is incomplete if any of them had not been read.
    """
    if first <= config.read_to:
        return config
    return config._replace(read_to=first, complete=False)


def snapshot_of(config: VersionedConfig, at_ms: int) -> Snapshot:
    """Return the snapshot of a complete configuration."""
    return Snapshot(config.version, config.files, config.read_to, at_ms)


def restore(snapshot: Snapshot) -> VersionedConfig:
    """Return the configuration that a snapshot holds."""
    return VersionedConfig(snapshot.version, snapshot.files, snapshot.read_to)


def encode_entry(entry: Publication | Snapshot) -> Json:
    """Return the log entry of a publication or a snapshot."""
    if isinstance(entry, Publication):
        return to_json(ConfigEntry(publication=entry))
    return to_json(ConfigEntry(snapshot=entry))


def decode_entry(value: Json) -> Result[ConfigEntry, FieldError]:
    """Parse a log entry of the stream."""
    entry = from_json(ConfigEntry, value)
    if isinstance(entry, Err):
        return Err(entry.err_value)
    for name in _names_in(entry.ok_value):
        # A name that contains a path could be written outside the folder.
        if not is_file_name(name):
            return Err(FieldError('name', repr(name), FILE_NAME_TEXT))
    return entry


def _names_in(entry: ConfigEntry) -> Iterator[str]:
    if entry.publication is not None:
        yield from (change.name for change in entry.publication.changes)
    if entry.snapshot is not None:
        yield from (file.name for file in entry.snapshot.files)


def apply_changes(
    config: VersionedConfig,
    version: int,
    changes: tuple[FileChange, ...],
) -> tuple[FileVersion, ...]:
    """Return the files after changes that are made as a new version."""
    files = {entry.name: entry for entry in config.files}
    for change in changes:
        if change.content is None:
            files.pop(change.name, None)
        else:
            files[change.name] = FileVersion(
                change.name,
                version,
                change.content,
            )
    return tuple(sorted(files.values()))


def conflicts(
    config: VersionedConfig,
    changes: tuple[FileChange, ...],
) -> tuple[str, ...]:
    """Return the names of files that changed after the bases of changes."""
    return tuple(
        change.name
        for change in changes
        if config.base_of(change.name) != change.base
    )


def _fold_publication(
    config: VersionedConfig,
    version: int,
    publication: Publication,
) -> tuple[VersionedConfig, Outcome]:
    if not config.complete or publication.after > config.version:
        outcome = Outcome(Verdict.GAP, config.version)
        return config._replace(complete=False), outcome
    stale = conflicts(config, publication.changes)
    if stale:
        outcome = Outcome(Verdict.CONFLICT, config.version, stale[0])
        return config, outcome
    if publication.after < config.version:
        return config, Outcome(Verdict.OVERTAKEN, config.version)
    files = apply_changes(config, version, publication.changes)
    changed = config._replace(version=version, files=files)
    return changed, Outcome(Verdict.APPLIED, version)


def _fold_snapshot(
    config: VersionedConfig,
    offset: int,
    snapshot: Snapshot,
) -> tuple[VersionedConfig, Outcome]:
    covers = snapshot.read_to == offset
    if config.complete or not covers or snapshot.version < config.version:
        return config, Outcome(Verdict.IGNORED, config.version)
    restored = restore(snapshot)._replace(read_to=config.read_to)
    return restored, Outcome(Verdict.SNAPSHOT, snapshot.version)
