"""Read the files of an operators' folder and merge their sections."""

import configparser
import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final, NamedTuple

from result import Err, Ok, Result

from ._options import OptionError, OptionErrors

FILE_SUFFIX: Final = '.ini'
FILE_NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,120}\.ini')
FILE_NAME_TEXT: Final = 'one of letters, digits, ".", "-" and "_"'
MAX_FILES: Final = 500
MAX_FILE_BYTES: Final = 65_536
MAX_FOLDER_BYTES: Final = 400_000


class FolderFile(NamedTuple):
    """Hold one file of the folder."""

    name: str
    content: str


class Setting(NamedTuple):
    """Hold the text of an option and the file that it comes from."""

    text: str
    file: str


Sections = dict[str, dict[str, Setting]]


def read_files(folder: Path) -> Result[tuple[FolderFile, ...], OptionErrors]:
    """Read every INI file of a folder, sorted by name."""
    if not folder.is_dir():
        return Err((_error(str(folder), 'no folder', 'a folder of INI files'),))
    paths = sorted(
        path
        for path in folder.iterdir()
        if path.suffix == FILE_SUFFIX and not path.name.startswith('.')
    )
    files = []
    errors = []
    for path in paths:
        read = _read_file(path)
        if not is_file_name(path.name):
            read = Err(_error(path.name, 'the name of a file', FILE_NAME_TEXT))
        if isinstance(read, Err):
            errors.append(read.err_value)
        else:
            files.append(read.ok_value)
    errors.extend(check_sizes(files))
    return Err(tuple(errors)) if errors else Ok(tuple(files))


def is_file_name(name: str) -> bool:
    """Return whether a name is a plain file name that may be published."""
    return FILE_NAME.fullmatch(name) is not None


def check_sizes(files: Iterable[FolderFile]) -> Iterator[OptionError]:
    """Check the number and the sizes of files against their limits."""
    sizes = {entry.name: len(entry.content.encode()) for entry in files}
    if len(sizes) > MAX_FILES:
        expected = f'at most {MAX_FILES} files'
        yield _error('folder', f'{len(sizes)} files', expected)
    for name, size in sizes.items():
        if size > MAX_FILE_BYTES:
            yield _error(
                name,
                f'{size} bytes',
                f'at most {MAX_FILE_BYTES} bytes',
            )
    total = sum(sizes.values())
    if total > MAX_FOLDER_BYTES:
        expected = f'at most {MAX_FOLDER_BYTES} bytes in all'
        yield _error('folder', f'{total} bytes', expected)


def merge_files(
    files: Iterable[FolderFile],
) -> tuple[Sections, list[OptionError]]:
    """Merge the sections of the files, which apply in the order of names.

    An option of a later file replaces the same option of an earlier one.
    """
    sections: Sections = {}
    errors = []
    for entry in sorted(files):
        parsed = _parse(entry)
        if isinstance(parsed, Err):
            errors.append(parsed.err_value)
            continue
        for section in parsed.ok_value.sections():
            merged = sections.setdefault(section, {})
            for option, text in parsed.ok_value.items(section):
                merged[option] = Setting(text, entry.name)
            if not merged:
                merged[''] = Setting('', entry.name)
    return sections, errors


def _read_file(path: Path) -> Result[FolderFile, OptionError]:
    try:
        return Ok(FolderFile(path.name, path.read_text(encoding='utf-8')))
    except (OSError, UnicodeError) as error:
        return Err(_error(path.name, str(error), 'a readable UTF-8 file'))


def _parse(
    entry: FolderFile,
) -> Result[configparser.ConfigParser, OptionError]:
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
    )
    try:
        parser.read_string(entry.content, source=entry.name)
    except configparser.Error as error:
        shown = ' '.join(str(error).split())
        expected = 'sections of "option = value" lines, each named once'
        return Err(_error(entry.name, shown, expected))
    return Ok(parser)


def _error(file: str, shown: str, expected: str) -> OptionError:
    return OptionError(file, '', '', shown, expected)
