"""Write log lines as key=value pairs or as JSON."""

import json
import logging
import sys
import time
from enum import StrEnum, unique
from typing import Final, TextIO

PLAIN_CHARACTERS: Final = frozenset('-_.:/@+,')
# What every record carries; the rest came in by `extra`.
STANDARD_FIELDS: Final = frozenset(
    vars(logging.makeLogRecord({})).keys() | {'message', 'asctime'},
)
PACKAGE: Final = 'lycheerelay'


@unique
class LogFormat(StrEnum):
    """Name a format of log lines."""

    KEY_VALUE = 'key_value'
    JSON = 'json'


class FieldFormatter(logging.Formatter):
    """Collect the fields of a record; subclasses write them."""

    def fields_of(self, record: logging.LogRecord) -> dict[str, object]:
        """Return time, level, part and message, then the extra fields."""
        second = time.strftime('%Y-%m-%dT%H:%M:%S', time.gmtime(record.created))
        fields: dict[str, object] = {
            'time': f'{second}.{int(record.msecs):03d}Z',
            'level': record.levelname.lower(),
            'part': record.name.removeprefix(f'{PACKAGE}.').lstrip('_'),
            'message': record.getMessage(),
        }
        extra = sorted(set(vars(record)) - STANDARD_FIELDS)
        fields.update((name, getattr(record, name)) for name in extra)
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return fields


class KeyValueFormatter(FieldFormatter):
    """Write `key=value` pairs on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        fields = self.fields_of(record)
        return ' '.join(
            f'{name}={_quote(part)}' for name, part in fields.items()
        )


class JsonFormatter(FieldFormatter):
    """Write one JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        return json.dumps(self.fields_of(record), default=str)


FORMATTERS: Final = {
    LogFormat.KEY_VALUE: KeyValueFormatter,
    LogFormat.JSON: JsonFormatter,
}


def set_up_logging(
    chosen: LogFormat,
    level: int = logging.INFO,
    stream: TextIO | None = None,
) -> logging.Handler:
    """Send every log line of the process to one stream."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(FORMATTERS[chosen]())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return handler


def _quote(item: object) -> str:
    text = str(item)
    plain = text and all(
        character.isalnum() or character in PLAIN_CHARACTERS
        for character in text
    )
    return text if plain else json.dumps(text)
