"""Test that a page of many or large jobs is applied in slices.

Replays jobs that come at once. Guards against a page of the job stream that is
applied in one turn of the event loop, however many steps and tasks it opens.
"""

import asyncio
from types import SimpleNamespace
from typing import Any

import orjson

from lycheerelay.serving._early_cancels import EarlyCancels
from lycheerelay.serving._job_stream import JobStream
from lycheerelay.serving._metrics_registry import MetricsRegistry
from lycheerelay.serving._ports import KeyedRecord, RecordPage
from lycheerelay.serving._slices import MAX_ITEMS
from lycheerelay.workflow import CellState
from lycheerelay_standins.platform import run_virtual
from lycheerelay_standins.platform._virtual_time import LoopClock
from test_large_takeovers import SPEC

STEPS = 2000
JOBS = 3


def _job(number: int) -> KeyedRecord:
    steps = [{'width': 1, 'demand': [1, 1, 0]} for _ in range(STEPS)]
    name = f'{number:016x}'
    raw = orjson.dumps({**SPEC, 'job_id': name, 'steps': steps})
    return KeyedRecord(f'job/{name}', raw, number)


def _make_stream() -> JobStream:
    clock = LoopClock(0)
    context: Any = SimpleNamespace(
        cell=CellState(1, 0),
        clock=clock,
        now_ms=0,
        tail_offset=0,
        metrics=MetricsRegistry(),
        notify_changed=lambda: None,
    )
    expiry: Any = SimpleNamespace(leftovers={}, early=EarlyCancels())
    return JobStream(context, expiry)


async def _count_turns(stream: JobStream, page: RecordPage) -> int:
    """Return how many turns the rest of the process has meanwhile."""
    task = asyncio.ensure_future(stream.apply_page(page))
    turns = 0
    while not task.done():
        await asyncio.sleep(0)
        turns += 1
    return turns


def test_other_work_has_turns_while_many_steps_are_opened() -> None:
    """The renewal of the ownership waited for all of them."""
    page = RecordPage(tuple(map(_job, range(JOBS))), JOBS)

    async def scenario() -> None:
        stream = _make_stream()
        turns = await _count_turns(stream, page)
        assert turns >= JOBS * STEPS // MAX_ITEMS
        assert len(stream.context.cell.jobs) == JOBS
        assert stream.context.tail_offset == JOBS

    run_virtual(scenario())


def test_a_cancellation_in_a_later_read_follows_its_job() -> None:
    """Two readers apply the stream, and the second one gets to the cancellation."""
    job = _job(0)
    cancelled = KeyedRecord(f'cancel/{job.key.removeprefix("job/")}', b'{}', 1)

    async def scenario() -> None:
        stream = _make_stream()
        await asyncio.gather(
            stream.apply_page(RecordPage((job,), 1)),
            stream.apply_page(RecordPage((job, cancelled), 2)),
        )
        (opened,) = stream.context.cell.jobs.values()
        assert opened.cancelled
        assert stream.context.tail_offset == 2

    run_virtual(scenario())
