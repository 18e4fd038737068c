"""Test the validation of the settings of an entry VM."""

from lycheerelay._settings import NodeSettings, load_settings
from lycheerelay.cli import main

VALID_SETTINGS = """[node]
name = e1
domain = a
region = tt-central
listen = 127.0.0.1:0
log_address = 127.0.0.1:7001
vm_list_address = 127.0.0.1:7002
peers = e2=127.0.0.1:7003, e3=[::1]:7004
commit_ms = 20
"""


def errors_of(tmp_path, text):
    path = tmp_path / 'e1.ini'
    path.write_text(text)
    return [error.to_text() for error in load_settings(path).unwrap_err()]


def test_valid_settings_are_loaded(tmp_path):
    path = tmp_path / 'e1.ini'
    path.write_text(VALID_SETTINGS)
    settings = load_settings(path).unwrap()
    assert settings.entry_names == ('e1', 'e2', 'e3')
    assert (settings.commit_ms, settings.http_threads) == (20, 48)


def test_all_invalid_options_are_reported(tmp_path):
    wrong = VALID_SETTINGS.replace(
        'commit_ms = 20', 'comit_ms = 20\nhttp_threads = 1'
    )
    wrong = wrong.replace('domain = a', 'domain = a.b').replace('name', 'nam')
    report = '\n'.join(errors_of(tmp_path, wrong))
    assert "comit_ms: got '20', expected an option: a known" in report
    assert "the nearest is 'commit_ms'" in report
    assert "http_threads: got '1', expected a whole number from 4" in report
    assert "domain: got 'a.b', expected a name" in report
    assert 'e1.ini: [node] name: got nothing, expected a value' in report


def test_addresses_are_validated(tmp_path):
    wrong = VALID_SETTINGS.replace('127.0.0.1:7001', 'log.example:7001')
    wrong = wrong.replace('e2=127.0.0.1:7003', 'e1=127.0.0.1:70030')
    errors = errors_of(tmp_path, wrong)
    assert "log_address: got 'log.example:7001', expected an IP" in errors[0]
    assert "peers: got 'e1=127.0.0.1:70030'" in errors[1]
    assert "peers: got 'e1, e1, e3', expected each name once" in errors[2]
    assert len(errors) == 3


def test_serve_prints_the_errors_and_exits_with_2(tmp_path, capsys):
    path = tmp_path / 'e1.ini'
    path.write_text('[nod]\n')
    assert main(['serve', str(path)]) == 2
    assert 'error 210: e1.ini: got' in capsys.readouterr().err


def test_peers_may_name_another_failure_domain():
    settings = NodeSettings(
        'e1',
        'a',
        'r',
        '127.0.0.1:0',
        '127.0.0.1:1',
        '127.0.0.1:2',
        ('e2=127.0.0.1:3', 'e3@a=127.0.0.1:4', 'e4@b=127.0.0.1:5'),
    )
    assert settings.entry_names == ('e1', 'e2', 'e3')
