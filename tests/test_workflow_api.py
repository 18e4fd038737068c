"""Submit, cancel and query jobs through the workflow API."""

import asyncio
import json
from typing import Any

import pytest

from lycheerelay._codes import Code
from lycheerelay._job_document import read_document
from lycheerelay_standins.platform import PlatformCell
from platform_days import STORE, job, play, step


def document(**fields: Any) -> dict[str, Any]:
    """Return a job document."""
    step = {'width': 2, 'expected_ms': 500, 'cores_milli': 1000}
    return {
        'job_id': 'nightly.7',
        'queue': 'batch',
        'steps': [step, {**step, 'after': [0]}],
        **fields,
    }


async def call(
    cell: PlatformCell,
    method: str,
    target: str,
    body: object = None,
) -> tuple[int, dict[str, Any]]:
    """Call the first VM; return the status and the JSON fields."""
    api = cell.entries['vm-0'].workflows
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    reply = await api.answer(method, f'/v1/workflows{target}', raw)
    return reply.status, reply.fields()


def test_a_job_from_submission_to_its_end() -> None:
    """A job is accepted, counted, run and shown with its result codes."""

    async def scenario(cell: PlatformCell) -> None:
        cell.register_document('nightly.7', document())
        status, fields = await call(cell, 'POST', '', document())
        assert status == 202
        assert fields == {'code': 100, 'job_id': 'nightly.7'}
        await asyncio.sleep(5)
        assert await call(cell, 'GET', '/nightly.7') == (
            200,
            {'code': 102, 'job_id': 'nightly.7', 'state': 'completed'},
        )
        counted = await call(cell, 'GET', '?queue=batch')
        assert counted[1] == {'code': 0, 'queue': 'batch', 'waiting': 0}

    play(scenario)


def test_a_cancelled_job() -> None:
    """A cancellation is stored and shown; unknown jobs are reported as such."""

    async def scenario(cell: PlatformCell) -> None:
        long = document()
        long['steps'][0]['expected_ms'] = 60_000
        cell.register_document('nightly.7', long, work_ms=60_000)
        await call(cell, 'POST', '', long)
        await asyncio.sleep(1)
        cell.audit.jobs['nightly.7'].cancel_asked = True
        assert (await call(cell, 'DELETE', '/nightly.7'))[1]['code'] == 0
        await asyncio.sleep(1)
        assert (await call(cell, 'GET', '/nightly.7'))[1]['code'] == 103
        status, fields = await call(cell, 'GET', '/other')
        assert (status, fields['code']) == (404, Code.NOT_FOUND)
        assert (await call(cell, 'DELETE', '/other'))[0] == 404

    play(scenario)


def test_refusals_name_the_field_or_the_retry_delay() -> None:
    """Each refusal names the wrong field or the delay of a retry."""

    async def scenario(cell: PlatformCell) -> None:
        status, fields = await call(cell, 'POST', '', b'{')
        assert (status, fields['code']) == (400, Code.BAD_FIELD)
        _, fields = await call(cell, 'POST', '', document(queue='none'))
        assert fields['detail'].startswith("queue: got 'none', expected one of")
        assert (await call(cell, 'GET', ''))[1]['code'] == Code.BAD_FIELD
        assert (await call(cell, 'PUT', ''))[0] == 405
        cell.net.refusing.add(('*', STORE))
        await asyncio.sleep(1)
        status, fields = await call(cell, 'POST', '', document())
        assert (status, fields['code']) == (503, Code.NOT_KEPT)
        assert fields['retry_after_ms'] >= 1000

    play(scenario)


def test_a_dump_shows_the_cell_at_its_owner() -> None:
    """Only the owner dumps the cell; other VMs name the owner."""

    async def scenario(cell: PlatformCell) -> None:
        long = job(step(3), step(2, after=[0]))
        await cell.submit('vm-0', long, work_ms=3000)
        await asyncio.sleep(1)
        dumps = {}
        for name, entry in cell.entries.items():
            reply = await entry.internal.answer('/dump', b'')
            assert reply.status == 200
            dumps[name] = reply.fields()
        owner = dumps.pop(cell.owner())
        assert owner['cell']['jobs'] == {'running': 1}
        assert sum(row['runs'] for row in owner['cell']['workers']) == 3
        assert owner['config_version'] == 1
        for dump in dumps.values():
            assert dump['cell'] is None
            assert dump['owner'] == owner['name']

    play(scenario)


@pytest.mark.parametrize(
    ('fields', 'path'),
    [
        ({'job_id': 'no spaces'}, 'job_id'),
        ({'steps': []}, 'steps'),
        ({'occurrences': 3}, 'every_ms'),
        ({'colour': 'red'}, 'colour'),
        ({'steps': [{'expected_ms': 1}]}, 'steps[0].width'),
        ({'steps': [{'width': 0, 'expected_ms': 1}]}, 'steps[0].width'),
        (
            {'steps': [{'width': 1, 'expected_ms': 1, 'after': [0]}]},
            'steps[0].after',
        ),
        (
            {'steps': [{'width': 1, 'expected_ms': 1, 'same_rack': True}]},
            'steps[0].same_rack',
        ),
        (
            {
                'steps': [
                    {
                        'width': 1,
                        'expected_ms': 1,
                        'gang': True,
                        'copies': True,
                    },
                ],
            },
            'steps[0].gang',
        ),
    ],
)
def test_a_wrong_field_is_named(fields: dict[str, Any], path: str) -> None:
    """The error contains the path of the first wrong field."""
    assert read_document(document(**fields)).unwrap_err().path == path
