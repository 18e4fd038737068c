"""Merge and check operators' folders."""

from pathlib import Path

import pytest

from lycheerelay.cli import main
from lycheerelay.folder import FolderFile, build_policy

EXAMPLES = Path(__file__).parent.parent / 'examples'
POOL = FolderFile('20.ini', '[pool p]\ncores_milli = 4000\n')


def errors_of(*files):
    return [error.to_text() for error in build_policy(files).unwrap_err()]


@pytest.mark.parametrize('name', ['caroni', 'association'])
def test_examples_check(name, capsys):
    assert main(['check', str(EXAMPLES / name)]) == 0
    assert 'gang' in capsys.readouterr().out


def test_options_of_later_files_replace_earlier_ones():
    first = FolderFile('10.ini', '[team t]\nshare = 2\nmax_waiting = 7\n')
    second = FolderFile('20.ini', '[team t]\nshare = 5\n')
    policy = build_policy((second, first), 9).unwrap()
    assert (policy.version, policy.teams[0][:3]) == (9, ('t', 5, 7))
    assert build_policy((first,)).unwrap().teams[0].share == 2


def test_every_error_is_reported_at_once():
    texts = errors_of(
        POOL,
        FolderFile('30.ini', '[batch b]\npool = p\nmax_atempts = 3\n'),
        FolderFile('40.ini', '[team t]\nshare = many\n[tem u]\nshare = 1\n'),
        FolderFile('50.ini', '[team a b]\n[gang g]\n'),
        FolderFile('60.ini', 'share = 1\n'),
    )
    report = '\n'.join(texts)
    assert len(texts) == 6
    assert '30.ini: [batch b] max_atempts: got an unknown option' in report
    assert "the nearest is 'max_attempts'" in report
    assert "40.ini: [team t] share: got 'many', expected a whole" in report
    assert '[tem u]: got tem, expected as its first word' in report
    assert "50.ini: [team a b]: got 'a b'" in report
    assert '50.ini: [gang g] pool: got nothing, expected a value' in report
    assert '60.ini: got ' in report


def test_references_and_shapes_are_checked():
    texts = errors_of(
        POOL,
        FolderFile('30.ini', '[batch b]\npool = pp\nfit = best\n'),
        FolderFile(
            '40.ini',
            '[service s]\npool = p\nteam = no\nreplicas = 1\n'
            'cores_milli = 5000\n[batch s]\npool = p\n',
        ),
    )
    report = '\n'.join(texts)
    assert "[batch b] pool: got 'pp', expected a pool" in report
    assert "[batch b] fit: got 'best'" in report
    assert "[service s] team: got 'no'" in report
    assert "[service s] cores_milli: got '5000', expected at most" in report
    assert '40.ini: [batch s]: got nothing, expected a name' in report


def test_limits_name_registered_policies_and_valid_bounds():
    text = '[limits]\norder = fairr\nfit = none\nretry_base_ms = 90000\n'
    report = '\n'.join(errors_of(FolderFile('9.ini', text)))
    assert "order: got 'fairr', expected a known name; the nearest" in report
    assert "fit: got 'none', expected" in report
    assert "retry_base_ms: got '90000', expected at most" in report


def test_check_prints_errors_and_exits_2(tmp_path, capsys):
    (tmp_path / 'a.ini').write_text('[limits]\ntask_ttl_ms = 0\n')
    assert main(['check', str(tmp_path)]) == 2
    assert 'a.ini: [limits] task_ttl_ms: got' in capsys.readouterr().err
    assert main(['check', str(tmp_path / 'none')]) == 2
