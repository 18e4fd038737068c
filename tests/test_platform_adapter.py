"""Test that the adapter decodes any input of the platform without raising."""

import ast
import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

import lycheerelay
from lycheerelay._resources import Resources
from lycheerelay.platform import (
    decode_config,
    decode_job,
    decode_worker,
)
from lycheerelay.platform._records import pack, unpack
from lycheerelay.platform._settings import read_settings
from lycheerelay.platform._workers import format_task_name, parse_task_name
from lycheerelay.serving import KeyedRecord, StoreLimits
from lycheerelay.serving._spec_codec import decode_spec, encode_spec
from lycheerelay.workflow import QueuePolicy, TaskKey, WorkflowSpec

EXAMPLES: Final = settings(max_examples=150, derandomize=True, deadline=None)
POLICY: Final = QueuePolicy('q', 'pool', 3, 2.0, 1000, 1)
JSON: Final = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=12,
)
WORKER: Final[dict[str, Any]] = {
    'service': 'pool',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldRemainingMs': 0,
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpus': 2},
    'labels': ['a', 'r1-3'],
    'clockMs': 482113,
    'sequence': 4,
}
CONFIG: Final[dict[str, Any]] = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'pathPrefix': '/q/',
            'service': 'pool',
            'maxAttempts': 3,
            'stretch': 2.2,
            'targetLatencyMs': 1000,
            'placementAdvisor': {
                'decisionMs': 784.0,
                'periodMs': 7.0,
                'validityMs': 2000,
            },
        },
    ],
    'services': [{'name': 'pool'}],
    'limits': {'maxBodyBytes': 1000},
}
STEP: Final[dict[str, Any]] = {
    'count': 4,
    'cpu': 500,
    'memMb': 256,
    'estimatedMs': 900,
    'affinity': 'r1-3',
    'after': [],
}


def raw(fields: object) -> bytes:
    """Encode fields as JSON, as they are sent."""
    return json.dumps(fields).encode()


def test_a_registration_is_decoded() -> None:
    """Each field of a registration reaches the matching attribute."""
    entry = decode_worker(KeyedRecord('i-1', raw(WORKER), 3))
    assert entry is not None
    assert entry.pool == 'pool'
    assert entry.rack == 'r1-3'
    assert entry.labels == {'a', 'r1-3'}
    assert entry.capacity == Resources(16000, 32768, 2)
    assert not entry.draining


@EXAMPLES
@given(st.sampled_from(sorted(WORKER)), JSON)
def test_a_registration_with_a_strange_field_harms_nothing(
    name: str,
    content: Any,
) -> None:
    """A field of the wrong type must not get into a listing."""
    entry = decode_worker(KeyedRecord('i-1', raw({**WORKER, name: content}), 3))
    if entry is not None:
        assert isinstance(entry.pool, str)
        assert isinstance(entry.address, str)
        assert all(isinstance(label, str) for label in entry.labels)
        assert min(entry.capacity) >= 0


@pytest.mark.parametrize('name', ['service', 'address', 'state', 'capacity'])
def test_a_registration_without_a_required_field_is_rejected(name: str) -> None:
    """A registration without a required field is rejected."""
    fields = {key: value for key, value in WORKER.items() if key != name}
    assert decode_worker(KeyedRecord('i-1', raw(fields), 3)) is None


@EXAMPLES
@given(st.binary())
def test_bytes_are_no_entry(content: bytes) -> None:
    """Arbitrary bytes in a record or body must not raise."""
    decode_worker(KeyedRecord('x', content, 1))
    decode_config(KeyedRecord('config', content, 1))
    assert isinstance(decode_job(content, 'a' * 16, POLICY, 0), Ok | Err)


def test_a_configuration_is_decoded() -> None:
    """Queues get their pool, limits and advice policy, and match by path."""
    table = decode_config(KeyedRecord('config', raw(CONFIG), 1))
    assert table is not None
    queue = table.find('h', '/q/abc')
    assert queue is not None
    assert queue.policy.pool == 'pool'
    assert queue.policy.advice is not None
    assert queue.policy.advice.call_ms(10) == pytest.approx(854)
    assert table.find('h', '/other') is None
    assert table.find('other', '/q/abc') is None


@EXAMPLES
@given(st.sampled_from(sorted(CONFIG)), JSON)
def test_a_strange_configuration_is_refused(name: str, content: Any) -> None:
    """A configuration with one invalid field is not applied in part."""
    fields = {**CONFIG, name: content}
    table = decode_config(KeyedRecord('config', raw(fields), 1))
    if table is not None:
        assert isinstance(table.version, int)


@EXAMPLES
@given(st.sampled_from(sorted(STEP)), JSON)
def test_a_submission_is_read_or_refused(name: str, content: Any) -> None:
    """A step with an arbitrary field gives an error or a spec that is stored."""
    body = raw({'spec': 'text', 'steps': [STEP, {**STEP, name: content}]})
    outcome = decode_job(body, 'a' * 16, POLICY, 5)
    if isinstance(outcome, Ok):
        spec = outcome.ok_value
        assert decode_spec(encode_spec(spec)) == Ok(spec)
    else:
        assert outcome.err_value


def test_filler_cores_are_not_part_of_the_demand() -> None:
    """The cores of a filler step are not part of its demand."""
    body = raw({'spec': 'x', 'steps': [{**STEP, 'fills': True}]})
    spec: WorkflowSpec = decode_job(body, 'a' * 16, POLICY, 5).unwrap()
    assert spec.steps[0].demand == Resources(0, 256, 0)
    assert spec.steps[0].filler_cores_milli == 500


@pytest.mark.parametrize(
    'steps',
    [
        [],
        [{**STEP, 'after': [0]}],
        [{**STEP, 'count': 0}],
        [{**STEP, 'cpu': -1}],
        [{**STEP, 'cpu': 1 << 64}],
        [{**STEP, 'estimatedMs': 1e300}],
        [{**STEP, 'after': [-1]}],
    ],
)
def test_impossible_steps_are_refused(steps: list[dict[str, Any]]) -> None:
    """Forward dependencies, empty steps and impossible amounts are errors."""
    body = raw({'spec': 'x', 'steps': steps})
    assert isinstance(decode_job(body, 'a' * 16, POLICY, 5), Err)


@EXAMPLES
@given(
    st.lists(
        st.tuples(
            st.text(min_size=1, max_size=20),
            st.none() | st.binary(min_size=1),
        ),
    ),
)
def test_records_survive_the_wire(rows: list[tuple[str, bytes | None]]) -> None:
    """Packed records are unpacked unchanged, with their offsets."""
    records = [
        KeyedRecord(key, payload, 7 + number)
        for number, (key, payload) in enumerate(rows)
    ]
    assert list(unpack(pack(records), 7)) == records


@EXAMPLES
@given(st.binary())
def test_foreign_records_are_unpacked(content: bytes) -> None:
    """Unpacking content in another format must not raise."""
    body = len(content).to_bytes(4) + content
    assert len(list(unpack(body, 0))) == 1


def test_a_task_name_is_parsed_back() -> None:
    """A task name is parsed back into its task."""
    task = TaskKey('5c0e7a21d94b36f8', 2, 1, 17)
    assert format_task_name(task) == '5c0e7a21d94b36f8.2.1.17'
    assert parse_task_name(format_task_name(task)) == task


def test_settings_name_what_is_missing(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An error about the settings file names the missing part."""
    monkeypatch.delenv('LYCHEERELAY_CONFIG', raising=False)
    assert 'not set' in read_settings().unwrap_err()
    path = tmp_path / 'settings.toml'
    monkeypatch.setenv('LYCHEERELAY_CONFIG', str(path))
    assert 'settings.toml' in read_settings().unwrap_err()
    path.write_text('nodeName = "a"\n')
    assert 'bounds is missing' in read_settings().unwrap_err()
    path.write_text('nodeName = \n')
    assert read_settings().is_err()


# Names of the platform's protocol that only the adapter may use.
PROTOCOL_NAMES: Final = re.compile(
    r'\b(fencingToken|deadlineMs|lastSeen|waitMs|memMb|estimatedMs|longRunning'
    r'|targetMs|missBudget|antiAffinity|tightlyCoupled|checkpointing'
    r'|firstRunMs|intervalMs|pathPrefix|targetLatencyMs|maxAttempts'
    r'|placementAdvisor|validityMs|decisionMs|periodMs|clockMs|remainingMs'
    r'|nodeName|heartbeatIntervalMs|maxHoldMs|run-start|run-stop|log-append'
    r'|log-read|log-newest|log-join|X-Expected-Instance|X-Deadline'
    r'|LYCHEERELAY_CONFIG|keyed\.)',
)


def _sources() -> Iterator[Path]:
    root = Path(lycheerelay.__file__).parent
    for path in sorted(root.rglob('*.py')):
        if 'platform' not in path.relative_to(root).parts:
            yield path


def test_protocol_names_appear_only_in_the_adapter() -> None:
    """Names of the platform's protocol appear only in the adapter."""
    found = [
        f'{path.name}: {match.group()}'
        for path in _sources()
        for match in PROTOCOL_NAMES.finditer(path.read_text())
    ]
    assert found == []


def _imports(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield '.' * node.level + (node.module or '')


def test_the_layers_import_in_one_direction() -> None:
    """The core imports no serving code, and neither imports the adapter."""
    root = Path(lycheerelay.__file__).parent
    for path in sorted((root / 'workflow').glob('*.py')):
        upward = [name for name in _imports(path) if name.startswith('..')]
        assert set(upward) <= {'.._resources', '.._registry'}, path.name
    for path in sorted((root / 'serving').glob('*.py')):
        names = list(_imports(path))
        assert not any('platform' in name for name in names), path.name


SETTINGS: Final = """
nodeName = "front-a-1"
zone = "a"
ip = "10.1.0.30"
internalPortRange = [7380, 7395]
placementAdvisor = "10.200.1.9:8142"
[listen]
front = "10.1.0.30:8149"
ready = "10.1.0.30:8141"
[bounds]
maxHoldMs = 6000
status_s = 120
graceS = 6
[platform]
address = "10.200.1.7:8142"
minTtlMs = 1000
"""


def test_memberships_last_at_least_the_minimum_of_the_store(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A membership is at least as long as the minimum of the store.

    The store refuses a shorter one, and the VM could not join any group.
    """
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS.replace('minTtlMs = 1000', 'minTtlMs = 2500'))
    monkeypatch.setenv('LYCHEERELAY_CONFIG', str(path))
    assert read_settings().unwrap().group_ttl_ms == 2500
    path.write_text(SETTINGS)
    assert read_settings().unwrap().group_ttl_ms == 1000


def test_the_limits_of_the_store_are_read(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A field that is missing has the value of the settings example."""
    path = tmp_path / 'settings.toml'
    path.write_text(f'{SETTINGS}recordBytes = 9000\n')
    monkeypatch.setenv('LYCHEERELAY_CONFIG', str(path))
    limits = read_settings().unwrap().store_limits
    assert limits == StoreLimits(9000, 2_097_152)
    assert limits.payload_bytes == 9000 - 256
    path.write_text(f'{SETTINGS}requestBytes = 70000\n')
    assert read_settings().unwrap().store_limits == StoreLimits(262_144, 70_000)
