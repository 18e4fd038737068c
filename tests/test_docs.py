"""Test that the documentation matches the codes, options and examples."""

import re
import runpy
from pathlib import Path

from lycheerelay._codes import CODES
from lycheerelay._job_document import JobDocument, StepDocument
from lycheerelay._jobs import JobSpec
from lycheerelay._settings import NodeSettings
from lycheerelay.cli import main

DOCS = Path(__file__).parent.parent / 'docs'


def rows_of(page):
    text = (DOCS / page).read_text()
    lines = (line for line in text.splitlines() if line.startswith('| '))
    return [
        [cell.strip() for cell in line.strip('|').split('|')] for line in lines
    ]


def test_code_table_lists_all_codes():
    rows = [row for row in rows_of('result-codes.md') if row[0].isdigit()]
    known = [
        [
            str(int(code)),
            code.name,
            str(info.http.value),
            str(info.exit_status),
            info.text,
        ]
        for code, info in CODES.items()
    ]
    assert rows == known


def test_api_page_names_every_field_and_default():
    described = {
        name: row[2]
        for row in rows_of('api.md')
        if len(row) == 3
        for name in re.findall('`([a-z_]+)`', row[0])
    }
    for name in JobSpec._fields:
        default = JobSpec._field_defaults.get(name, 'required')
        shown = {'': 'empty', True: 'true', False: 'false'}
        expected = (
            default
            if default in {0, 1} and not isinstance(default, bool)
            else shown.get(default, default)
        )
        assert described[name] == str(expected), name


def test_workflows_page_names_every_field_and_default():
    described = {
        row[0].strip('`'): row[2]
        for row in rows_of('workflows.md')
        if len(row) == 3
    }
    shown = {'': 'empty', (): 'empty', True: 'true', False: 'false'}
    for kind in (JobDocument, StepDocument):
        for name in kind._fields:
            default = kind._field_defaults.get(name, 'required')
            if isinstance(default, int) and not isinstance(default, bool):
                assert described[name] == str(default), name
            else:
                assert described[name] == shown.get(default, default), name


def test_settings_page_names_every_option_and_default():
    described = {
        row[0].strip('`'): row[2]
        for row in rows_of('operators/running.md')
        if len(row) == 3
    }
    for name in NodeSettings._fields:
        default = NodeSettings._field_defaults.get(name, 'required')
        shown = (
            'none' if default == () else str(getattr(default, 'value', default))
        )
        assert described[name] == shown, name


def test_every_sub_command_is_documented(capsys):
    page = (DOCS / 'operators' / 'running.md').read_text()
    try:
        main(['--help'])
    except SystemExit as ended:
        assert ended.code == 0
    listed = re.findall(r'^    (\w+) ', capsys.readouterr().out, re.M)
    assert len(listed) >= 10
    assert [name for name in listed if f'`{name}' not in page] == []


def test_embedding_example_runs(tmp_path, monkeypatch):
    text = (DOCS / 'embedding.md').read_text()
    blocks = re.findall(r'```python\n(.*?)```', text, re.S)
    assert blocks
    for number, block in enumerate(blocks):
        path = tmp_path / f'example_{number}.py'
        path.write_text(block)
        runpy.run_path(str(path))
