"""Show from log files what jobs waited for."""

import argparse
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path

from result import Err, Ok, Result

from ._cli_parts import add_json_flag, command, fail, print_json, print_table
from ._clock import MS_PER_SECOND
from ._codes import Code, Refusal
from .traces import (
    JobTimeline,
    LineCounts,
    LogLine,
    QueueSummary,
    SecondSummary,
    build_timelines,
    read_lines,
    summarize,
)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'files',
        nargs='+',
        type=Path,
        metavar='FILE',
        help='log files of entry VMs; other text in them is left out',
    )
    parser.add_argument('--job', metavar='ID', help='only this job, in full')
    parser.add_argument(
        '--seconds', action='store_true', help='also a row for each second'
    )
    parser.add_argument(
        '--strict',
        action='store_true',
        help='fail at the first line that is cut or malformed',
    )
    add_json_flag(parser)


@command('trace', 'show from log files what jobs waited for', _add_arguments)
def run_trace(arguments: argparse.Namespace) -> int:
    """Read log files and print what the jobs in them waited for."""
    counts = LineCounts()
    read = _read_files(arguments.files, counts, strict=arguments.strict)
    if isinstance(read, Err):
        return fail(read.err_value)
    timelines = build_timelines(read.ok_value)
    if arguments.job:
        return _show_job(timelines.get(arguments.job), arguments)
    queues, seconds = summarize(timelines.values())
    if arguments.json:
        print_json(
            {
                'lines': {
                    'read': counts.read,
                    'dropped': counts.dropped,
                    'cut': counts.cut,
                },
                'queues': [_queue_json(row) for row in queues],
                'seconds': [row._asdict() for row in seconds],
            }
        )
        return 0
    print(
        f'{counts.read} lines read, {counts.dropped} dropped by the processes, '
        f'{counts.cut} cut or malformed'
    )
    print_table(
        ('queue', 'cause', 'jobs', 'p50 ms', 'p99 ms', 'total s'),
        (row for summary in queues for row in _queue_rows(summary)),
    )
    if arguments.seconds:
        print_table(SecondSummary._fields, seconds)
    return 0


def _read_files(
    paths: list[Path], counts: LineCounts, *, strict: bool
) -> Result[list[LogLine], Refusal]:
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = path.read_text(errors='replace')
        except OSError as error:
            return Err(_refusal(f'{path}: {error.strerror}'))
        for parsed in read_lines(text.splitlines(), counts):
            if isinstance(parsed, Ok):
                lines.append(parsed.ok_value)
            elif strict:
                return Err(_refusal(f'{path}: {parsed.err_value}'))
    if not lines:
        return Err(_refusal('the files contain no log lines'))
    return Ok(lines)


def _refusal(detail: str) -> Refusal:
    return Refusal(Code.BAD_FIELD, detail)


def _show_job(
    timeline: JobTimeline | None, arguments: argparse.Namespace
) -> int:
    if timeline is None:
        return fail(_refusal(f'no line tells about job {arguments.job}'))
    if arguments.json:
        print_json(
            {
                'job': timeline.job_id,
                'queue': timeline.queue,
                'verdict': timeline.verdict,
                'phase': timeline.phase,
                'intervals': [
                    [each.from_ms, each.to_ms, each.cause.value]
                    for each in timeline.intervals
                ],
            }
        )
        return 0
    print(
        f'{timeline.job_id}: queue {timeline.queue}, submission '
        f'{timeline.verdict or "not seen"}, {timeline.phase or "open"}'
    )
    print_table(
        ('at', 'ms', 'cause'),
        (
            (_clock_text(each.from_ms), each.to_ms - each.from_ms, each.cause)
            for each in timeline.intervals
        ),
    )
    print_table(
        ('at', 'vm', 'line'),
        ((_clock_text(at), vm, text) for at, vm, text in timeline.lines),
    )
    return 0


def _clock_text(at_ms: int) -> str:
    at = datetime.fromtimestamp(at_ms / MS_PER_SECOND, UTC)
    return at.strftime('%H:%M:%S.%f')[:-3]


def _queue_json(row: QueueSummary) -> dict[str, object]:
    causes = [
        {**each._asdict(), 'cause': each.cause.value} for each in row.causes
    ]
    return {**row._asdict(), 'causes': causes}


def _queue_rows(summary: QueueSummary) -> Iterator[tuple[object, ...]]:
    for name, counts in (
        ('submitted', summary.verdicts),
        ('ended', {**summary.phases, 'open': summary.open_jobs}),
        ('left out', {'lines missing': summary.gap_jobs}),
    ):
        for kind, count in sorted(counts.items()):
            yield summary.queue, f'{name}: {kind}', count, '', '', ''
    for each in summary.causes:
        yield (
            summary.queue,
            each.cause,
            each.jobs,
            each.p50_ms,
            each.p99_ms,
            f'{each.total_ms / MS_PER_SECOND:.1f}',
        )
