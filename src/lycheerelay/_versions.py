"""Fold the stream of publications into one versioned configuration.

The version of a publication is its offset plus one, so that 0 stands for no
configuration. Every reader that folds the same entries reaches the same
verdict on each of them.
"""

from collections.abc import Iterator
from enum import StrEnum, unique
from typing import NamedTuple

from result import Err, Result

from ._codec import FieldError, Json, from_json, to_json
from ._folder_files import FILE_NAME_TEXT, is_file_name


class FileChange(NamedTuple):
    """Change one file, or remove it where the content is None.

    `base` is the version of the file that the change was made from; 0 stands
    for a file that did not exist.
    """

    name: str
    base: int
    content: str | None = None


class Publication(NamedTuple):
    """Ask for changes on top of the version that they were checked with."""

    batch_id: str
    author: str
    after: int
    changes: tuple[FileChange, ...]
    at_ms: int


class FileVersion(NamedTuple):
    """Hold a file and the version that changed it last."""

    name: str
    version: int
    content: str


class Snapshot(NamedTuple):
    """State the whole configuration after every entry before `read_to`."""

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
    """Name what the fold made of an entry."""

    APPLIED = 'applied'
    CONFLICT = 'conflict'
    MOVED_ON = 'moved_on'
    GAP = 'gap'
    SNAPSHOT = 'snapshot'
    IGNORED = 'ignored'


class Outcome(NamedTuple):
    """Say what became of an entry; a conflict names file and winner."""

    verdict: Verdict
    version: int
    file: str = ''


class VersionedConfig(NamedTuple):
    """Hold the files in force after every entry before `read_to`.

    Without `complete`, entries were lost to retention before they were read.
    """

    version: int = 0
    files: tuple[FileVersion, ...] = ()
    read_to: int = 0
    complete: bool = True

    def file(self, name: str) -> FileVersion | None:
        """Return a file, or None where there is none."""
        for entry in self.files:
            if entry.name == name:
                return entry
        return None

    def base_of(self, name: str) -> int:
        """Return the version of a file; 0 where there is none."""
        entry = self.file(name)
        return entry.version if entry else 0


def fold(
    config: VersionedConfig,
    offset: int,
    entry: ConfigEntry,
) -> tuple[VersionedConfig, Outcome]:
    """Apply one entry at its offset; the version only grows."""
    after = config._replace(read_to=offset + 1)
    if entry.publication is not None:
        return _fold_publication(after, offset + 1, entry.publication)
    if entry.snapshot is not None:
        return _fold_snapshot(after, offset, entry.snapshot)
    return after, Outcome(Verdict.IGNORED, config.version)


def skip_to(config: VersionedConfig, first: int) -> VersionedConfig:
    """Note that the entries before `first` are no longer kept."""
    if first <= config.read_to:
        return config
    return config._replace(read_to=first, complete=False)


def snapshot_of(config: VersionedConfig, at_ms: int) -> Snapshot:
    """Return the snapshot of a complete configuration."""
    return Snapshot(config.version, config.files, config.read_to, at_ms)


def restore(snapshot: Snapshot) -> VersionedConfig:
    """Return the configuration that a snapshot states."""
    return VersionedConfig(snapshot.version, snapshot.files, snapshot.read_to)


def encode_entry(entry: Publication | Snapshot) -> Json:
    """Return the log entry of a publication or a snapshot."""
    if isinstance(entry, Publication):
        return to_json(ConfigEntry(publication=entry))
    return to_json(ConfigEntry(snapshot=entry))


def decode_entry(value: Json) -> Result[ConfigEntry, FieldError]:
    """Read a log entry of the stream."""
    entry = from_json(ConfigEntry, value)
    if isinstance(entry, Err):
        return Err(entry.err_value)
    for name in _names_in(entry.ok_value):
        # A name with a path in it could be written outside the folder.
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
    """Return the files with the changes made under a new version."""
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
    """Name the files that changed since the bases of the changes."""
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
        return config, Outcome(Verdict.MOVED_ON, config.version)
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
