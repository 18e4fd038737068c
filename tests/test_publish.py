"""Publish folders with the command line to running entry VMs."""

import json
import shutil
import time
from pathlib import Path

import pytest

from lycheerelay._cli import start_node
from lycheerelay._http import HttpCaller
from lycheerelay._settings import NodeSettings
from lycheerelay._web import WebServer
from lycheerelay.cli import main
from lycheerelay_standins.standins import LogStandIn, VmListStandIn

CARONI = Path(__file__).parent.parent / 'examples' / 'caroni'


@pytest.fixture
def cell():
    log = LogStandIn()
    servers = [
        WebServer('127.0.0.1', 0, part.routes())
        for part in (log, VmListStandIn())
    ]
    for server in servers:
        server.start()
    addresses = [server.address for server in servers]
    nodes = []

    def add_node(name, peers=()):
        node, server = start_node(
            NodeSettings(
                name,
                'a',
                'tt-central',
                '127.0.0.1:0',
                addresses[0],
                addresses[1],
                peers,
                config_poll_ms=100,
            ),
            needs_config=True,
        )
        nodes.append((node, server))
        return node, server.address

    yield log, servers[0], add_node
    for node, server in nodes:
        server.stop()
        node.stop()
    for server in servers:
        server.stop()


def wait_until(condition, seconds=10):
    until = time.monotonic() + seconds
    while not condition() and time.monotonic() < until:
        time.sleep(0.02)
    assert condition()


def test_publish_conflict_and_cold_start_from_a_peer(cell, tmp_path, capsys):
    _, log_server, add_node = cell
    log_address = log_server.address
    node, entry = add_node('e1')
    caller = HttpCaller()
    body = caller.call('GET', f'http://{entry}/readyz').unwrap().body
    assert body['code'] == 307
    mine, theirs = tmp_path / 'mine', tmp_path / 'theirs'
    shutil.copytree(CARONI, mine)
    target = ['--log', log_address, '--entry', entry]
    assert main(['publish', str(mine), *target]) == 0
    assert node.is_ready
    assert node.policy.team('design').share == 4
    assert main(['config', 'show', *target, '--into', str(theirs)]) == 0
    for folder, share in ((mine, 7), (theirs, 9)):
        text = f'[team design]\nshare = {share}\n'
        (folder / '10-teams.ini').write_text(text + '[team test-lab]\n')
    assert main(['publish', str(mine), *target]) == 0
    capsys.readouterr()
    assert main(['publish', str(theirs), *target]) == 4
    winner = node.policy.version
    assert f'10-teams.ini: version {winner} came' in capsys.readouterr().err
    assert 'share = 9' in (theirs / '10-teams.ini').read_text()
    assert node.policy.team('design').share == 7
    assert main(['config', 'versions', '--json', *target]) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown['entries'][0]['in_force'] == shown['version'] == winner
    log_server.stop()
    late, _ = add_node('e2', (f'e1={entry}',))
    wait_until(lambda: late.policy.version == winner)
    assert late.policy.team('design').share == 7


@pytest.mark.parametrize(
    ('field', 'wrong', 'expected'),
    [
        ('workload', 'corner-sweeps', "nearest is 'corner-sweep'"),
        ('kind', 'gang', "'batch', the kind of corner-sweep"),
        ('team', 'designs', "nearest is 'design'"),
    ],
)
def test_names_missing_from_the_folder_are_refused(
    cell,
    tmp_path,
    field,
    wrong,
    expected,
):
    _, log_server, add_node = cell
    _, entry = add_node('e1')
    folder = shutil.copytree(CARONI, tmp_path / 'caroni')
    target = ['--log', log_server.address, '--entry', entry]
    assert main(['publish', str(folder), *target]) == 0
    body = {
        'job_id': 'a.x',
        'team': 'design',
        'workload': 'corner-sweep',
        'kind': 'batch',
        field: wrong,
    }
    url = f'http://{entry}/v1/jobs'
    reply = HttpCaller().call('POST', url, body, 5000).unwrap()
    assert (reply.status, reply.body['not_run']) == (400, False)
    assert expected in reply.body['detail']


def test_removed_file_is_published(cell, tmp_path):
    log, log_server, add_node = cell
    log_address = log_server.address
    node, entry = add_node('e1')
    folder = tmp_path / 'caroni'
    shutil.copytree(CARONI, folder)
    target = ['--log', log_address, '--entry', entry]
    assert main(['publish', str(folder), *target]) == 0
    (folder / '40-emfield.ini').unlink()
    assert main(['publish', str(folder), *target]) == 0
    assert node.policy.workload('extraction') is None
    assert main(['publish', str(folder), *target]) == 0
    published = [
        entry for entry in log.streams['config'] if entry['publication']
    ]
    assert len(published) == 2


def test_folder_of_another_log_is_refused(cell, tmp_path, capsys):
    log_server = cell[1]
    folder = tmp_path / 'caroni'
    shutil.copytree(CARONI, folder)
    assert main(['publish', str(folder), '--log', log_server.address]) == 0
    other = LogStandIn()
    server = WebServer('127.0.0.1', 0, other.routes())
    server.start()
    code = main(['publish', str(folder), '--log', server.address])
    server.stop()
    assert code == 4
    assert 'published to another log' in capsys.readouterr().err
    assert not other.streams.get('config')
