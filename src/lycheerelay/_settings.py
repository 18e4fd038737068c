"""Load the settings of an entry VM from an INI file."""

import configparser
import ipaddress
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from ._logging import LogFormat
from ._options import (
    OptionError,
    OptionErrors,
    field_types,
    read_option,
    shorten,
    suggest_name,
)

SECTION: Final = 'node'
MAX_PORT: Final = 65_535
ADDRESS_DESCRIPTION: Final = 'an IP address and a port, such as 10.0.0.7:8080'
PEERS_DESCRIPTION: Final = 'a comma-separated list of NAME[@DOMAIN]=IP:PORT'
NAME_REGEX: Final = '[A-Za-z0-9][A-Za-z0-9_-]{0,62}'
NAME_PATTERN: Final = (
    re.compile(NAME_REGEX),
    'a name of at most 63 letters, digits, "-" and "_"',
)
OPTION_PATTERNS: Final = {
    'name': NAME_PATTERN,
    'domain': NAME_PATTERN,
    'region': NAME_PATTERN,
    'peers': (
        re.compile(f'{NAME_REGEX}(@{NAME_REGEX})?=.+'),
        PEERS_DESCRIPTION,
    ),
}


class NodeSettings(NamedTuple):
    """Hold the settings of an entry VM; times are in milliseconds."""

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
    drain_notice_ms: int = 1000
    hand_back_ms: int = 3000
    shutdown_ms: int = 10_000
    log_format: LogFormat = LogFormat.KEY_VALUE

    @property
    def entry_names(self) -> tuple[str, ...]:
        """Return the entry VMs of the failure domain, starting with this one."""
        labels = (peer.partition('=')[0] for peer in self.peers)
        parts = (label.partition('@') for label in labels)
        names = (
            name for name, _, domain in parts if domain in {'', self.domain}
        )
        return (self.name, *names)

    @property
    def host_and_port(self) -> tuple[str, int]:
        """Return the host and port to listen on."""
        host, _, port = self.listen.rpartition(':')
        return host, int(port)


def load_settings(path: Path) -> Result[NodeSettings, OptionErrors]:
    """Load a settings file; the error lists every invalid option."""
    parser = configparser.ConfigParser(interpolation=None, default_section='')
    try:
        parser.read_string(path.read_text('utf-8'), source=path.name)
    except (OSError, UnicodeError, configparser.Error) as error:
        shown = ' '.join(str(error).split())
        return _file_error(path, shown, 'a readable INI file')
    if parser.sections() != [SECTION]:
        shown = f'sections {parser.sections()}'
        return _file_error(path, shown, f'one section, [{SECTION}]')
    options = dict(parser[SECTION])
    fields, errors = _read_options(path.name, options)
    required = set(NodeSettings._fields) - set(NodeSettings._field_defaults)
    errors.extend(
        OptionError(path.name, SECTION, option, 'nothing', 'a value')
        for option in sorted(required - set(options))
    )
    if not errors:
        settings = NodeSettings(**fields)
        errors.extend(_check_values(path.name, settings))
    return Err(tuple(errors)) if errors else Ok(settings)


def _file_error(
    path: Path,
    shown: str,
    expected: str,
) -> Err[OptionErrors]:
    return Err((OptionError(path.name, '', '', shown, expected),))


def _read_options(
    source: str,
    options: dict[str, str],
) -> tuple[dict[str, Any], list[OptionError]]:
    fields: dict[str, Any] = {}
    errors = []
    for option, text in options.items():
        parsed = _read_option_text(option, text)
        if isinstance(parsed, Err):
            expected, shown = parsed.err_value, shorten(text)
            errors.append(
                OptionError(source, SECTION, option, shown, expected),
            )
        else:
            fields[option] = parsed.ok_value
    return fields, errors


def _read_option_text(option: str, text: str) -> Result[Any, str]:
    types = field_types(NodeSettings)
    if option not in types:
        return Err(f'an option: {suggest_name(option, types)}')
    parsed = read_option(types[option], option, text)
    if isinstance(parsed, Err) or option not in OPTION_PATTERNS:
        return parsed
    pattern, expected = OPTION_PATTERNS[option]
    parts = parsed.ok_value if isinstance(parsed.ok_value, tuple) else (text,)
    if all(pattern.fullmatch(part) for part in parts):
        return parsed
    return Err(expected)


def _check_values(
    source: str,
    settings: NodeSettings,
) -> Iterator[OptionError]:
    addresses = {
        'listen': settings.listen,
        'log_address': settings.log_address,
        'vm_list_address': settings.vm_list_address,
    }
    for option, text in addresses.items():
        if not is_address(text, allow_port_zero=option == 'listen'):
            yield _value_error(source, option, text, ADDRESS_DESCRIPTION)
    for peer in settings.peers:
        if not is_address(peer.partition('=')[2], allow_port_zero=False):
            yield _value_error(source, 'peers', peer, PEERS_DESCRIPTION)
    names = settings.entry_names
    if len(set(names)) != len(names):
        shown = ', '.join(names)
        yield _value_error(
            source,
            'peers',
            shown,
            'each name once, and no peer named like this VM',
        )


def is_address(text: str, allow_port_zero: bool) -> bool:
    """Return whether a text is an IP address and a port."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    low = 0 if allow_port_zero else 1
    return port.isdecimal() and low <= int(port) <= MAX_PORT


def _value_error(
    source: str,
    option: str,
    text: str,
    expected: str,
) -> OptionError:
    return OptionError(source, SECTION, option, shorten(text), expected)
