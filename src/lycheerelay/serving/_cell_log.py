"""Write the core's log events to the log."""

import logging

from ..workflow import LogEvent, RunKey, StepKey

logger = logging.getLogger('lycheerelay.cell')


def write_log_event(event: LogEvent) -> None:
    """Write one decision and its inputs as a log line."""
    fields = {name: _text(content) for name, content in event.fields}
    logger.info(event.event, extra=fields)


def _text(content: object) -> object:
    if isinstance(content, RunKey):
        job_id, occurrence, step, member = content.task
        return f'{job_id}.{occurrence}.{step}.{member}#{content.number}'
    if isinstance(content, StepKey):
        return f'{content.job_id}.{content.occurrence}.{content.step}'
    if isinstance(content, tuple):
        return [_text(part) for part in content]
    return content
