"""Write the core's notes to the log."""

import logging

from ..workflow import LogEvent, RunKey, StepKey

logger = logging.getLogger('lycheerelay.cell')


def write_log_event(note: LogEvent) -> None:
    """Write one decision with its inputs as a line."""
    fields = {name: _text(content) for name, content in note.fields}
    logger.info(note.event, extra=fields)


def _text(content: object) -> object:
    if isinstance(content, RunKey):
        job_id, occurrence, step, member = content.task
        return f'{job_id}.{occurrence}.{step}.{member}#{content.number}'
    if isinstance(content, StepKey):
        return f'{content.job_id}.{content.occurrence}.{content.step}'
    return content
