"""Read one process's settings from an INI file."""

import configparser
import difflib
from pathlib import Path
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from ._codes import Code, Refusal

SECTION: Final = 'node'


class NodeSettings(NamedTuple):
    """Hold the settings of one entry VM; times are in milliseconds."""

    name: str
    domain: str
    region: str
    listen: str
    log_address: str
    vm_list_address: str
    peers: tuple[str, ...] = ()
    commit_ms: int = 50
    restate_ms: int = 1_800_000
    http_threads: int = 48
    config_poll_ms: int = 1000
    log_retention_ms: int = 3_600_000

    @property
    def entry_names(self) -> tuple[str, ...]:
        """Return the names of the domain's entry VMs, this one included."""
        names = (peer.partition('=')[0] for peer in self.peers)
        return (self.name, *names)

    @property
    def host_and_port(self) -> tuple[str, int]:
        """Return the listening address in parts."""
        host, _, port = self.listen.rpartition(':')
        return host, int(port)


def load_settings(path: Path) -> Result[NodeSettings, Refusal]:
    """Read and check a settings file."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(), source=path.name)
    except (OSError, configparser.Error) as error:
        return Err(Refusal(Code.BAD_SETTING, f'{path.name}: {error}'))
    if SECTION not in parser:
        detail = f'{path.name}: section [{SECTION}] is missing'
        return Err(Refusal(Code.BAD_SETTING, detail))
    return _check(path.name, dict(parser[SECTION]))


def _check(
    source: str,
    options: dict[str, str],
) -> Result[NodeSettings, Refusal]:
    fields: dict[str, Any] = {}
    for option, text in options.items():
        checked = _read_option(source, option, text)
        if isinstance(checked, Err):
            return checked
        fields[option] = checked.ok_value
    required = set(NodeSettings._fields) - set(NodeSettings._field_defaults)
    missing = sorted(required - set(fields))
    if missing:
        detail = f'{source}: [{SECTION}] {missing[0]}: expected a value'
        return Err(Refusal(Code.BAD_SETTING, detail))
    return Ok(NodeSettings(**fields))


def _read_option(source: str, option: str, text: str) -> Result[Any, Refusal]:
    where = f'{source}: [{SECTION}] {option}'
    kind = NodeSettings.__annotations__.get(option)
    if kind is None:
        near = difflib.get_close_matches(option, NodeSettings._fields, 1)
        hint = f'; did you mean {near[0]}?' if near else ''
        detail = f'{where}: unknown option{hint}'
        return Err(Refusal(Code.BAD_SETTING, detail))
    if kind is int:
        if text.isdigit():
            return Ok(int(text))
        detail = f'{where}: got {text!r}, expected a whole number'
        return Err(Refusal(Code.BAD_SETTING, detail))
    if kind is str:
        return Ok(text)
    parts = (part.strip() for part in text.split(','))
    return Ok(tuple(part for part in parts if part))
