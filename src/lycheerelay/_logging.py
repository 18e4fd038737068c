"""Format log lines as key=value pairs or JSON."""

import json
import logging
import sys
import time
from enum import StrEnum, unique
from typing import Final, TextIO

UNQUOTED_CHARACTERS: Final = frozenset('-_.:/@+,')
# Attributes of every log record; all others were passed as `extra`.
STANDARD_FIELDS: Final = frozenset(
    vars(logging.makeLogRecord({})).keys() | {'message', 'asctime'},
)
PACKAGE: Final = 'lycheerelay'


@unique
class LogFormat(StrEnum):
    """Select the format of log lines."""

    KEY_VALUE = 'key_value'
    JSON = 'json'


class FieldFormatter(logging.Formatter):
    """Collect the fields of a record; subclasses format them."""

    def fields_of(self, record: logging.LogRecord) -> dict[str, object]:
        """Return time, level, part, message, extra fields and exception."""
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
    """Format a record as `key=value` pairs on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the log line of a record."""
        fields = self.fields_of(record)
        return ' '.join(
            f'{name}={_quote(part)}' for name, part in fields.items()
        )


class JsonFormatter(FieldFormatter):
    """Format a record as a JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the log line of a record."""
        return json.dumps(self.fields_of(record), default=str)


FORMATTERS: Final = {
    LogFormat.KEY_VALUE: KeyValueFormatter,
    LogFormat.JSON: JsonFormatter,
}


def set_up_logging(
    log_format: LogFormat,
    level: int = logging.INFO,
    stream: TextIO | None = None,
) -> logging.Handler:
    """Send all log lines of the process to one stream, stderr by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(FORMATTERS[log_format]())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    return handler


def _quote(item: object) -> str:
    text = str(item)
    is_unquoted = text and all(
        character.isalnum() or character in UNQUOTED_CHARACTERS
        for character in text
    )
    return text if is_unquoted else json.dumps(text)
