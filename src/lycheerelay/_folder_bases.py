"""Store, in a folder, the published versions that its files came from."""

import json
from pathlib import Path
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ._codec import from_json, to_json
from ._codes import Code, Refusal
from ._config_publish import FileBase, bases_of
from ._folder_files import FILE_SUFFIX, is_file_name
from ._versions import FileVersion, VersionedConfig

BASES_FILE: Final = '.lycheerelay.json'


class FolderBases(NamedTuple):
    """Hold the base of each file of a folder."""

    bases: tuple[FileBase, ...] = ()


def load_bases(folder: Path) -> Result[tuple[FileBase, ...], Refusal]:
    """Read the bases of a folder; a folder without a bases file has none."""
    path = folder / BASES_FILE
    if not path.exists():
        return Ok(())
    try:
        raw = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        return Err(Refusal(Code.BAD_FOLDER, f'{path}: {error}'))
    read = from_json(FolderBases, raw)
    if isinstance(read, Err):
        refusal = read.err_value.refusal()
        detail = f'{path}: {refusal.detail}'
        return Err(Refusal(Code.BAD_FOLDER, detail))
    return Ok(read.ok_value.bases)


def save_bases(folder: Path, files: tuple[FileVersion, ...]) -> None:
    """Write the versions that the folder's files came from."""
    bases = FolderBases(bases_of(files))
    text = json.dumps(to_json(bases), indent=2, sort_keys=True)
    (folder / BASES_FILE).write_text(f'{text}\n', encoding='utf-8')


def write_folder(folder: Path, config: VersionedConfig) -> None:
    """Write the published files to a folder and remove other INI files."""
    folder.mkdir(parents=True, exist_ok=True)
    names = {entry.name for entry in config.files}
    for path in folder.glob(f'*{FILE_SUFFIX}'):
        if path.name not in names:
            path.unlink()
    # A configuration fetched from a peer has not been checked, and a name
    # that contains a path would be written outside the folder.
    for entry in config.files:
        if is_file_name(entry.name):
            path = folder / entry.name
            path.write_text(entry.content, encoding='utf-8')
    save_bases(folder, config.files)


def local_bases(
    folder: Path,
    config: VersionedConfig,
) -> tuple[FileVersion, ...]:
    """Return the published files that are unchanged in the folder."""
    unchanged = []
    for entry in config.files:
        path = folder / entry.name
        if path.exists() and path.read_text('utf-8') == entry.content:
            unchanged.append(entry)
    return tuple(unchanged)
