"""Test the contents of the binary."""

import re
import runpy
from importlib import metadata
from pathlib import Path

import orjson

SCRIPTS = Path(__file__).parent.parent / 'scripts'


def load(name):
    return runpy.run_path(str(SCRIPTS / name), run_name=name)


def normal(name):
    return re.sub('[._]', '-', name).lower()


def closure(name, seen):
    seen.add(normal(name))
    for requirement in metadata.requires(name) or ():
        if 'extra ==' in requirement:
            continue
        needed = re.match(r'[\w.-]+', requirement).group()
        if normal(needed) not in seen:
            closure(needed, seen)
    return seen


def test_every_dependency_except_orjson_is_bundled():
    needed = closure('lycheerelay', set()) - {'lycheerelay', 'orjson'}
    needed -= {'typing-extensions'}  # only for older versions of Python
    bundled = load('build_binary')['DISTRIBUTIONS']
    assert {normal(name) for name in bundled} == needed


def test_archive_lists_each_file_once_in_order():
    names = [name for name, _ in load('build_binary')['collect']()]
    assert len(names) == len(set(names))
    assert 'lycheerelay/_cli.py' in names
    assert not [name for name in names if name.endswith('.so')]


def test_stand_in_encodes_like_orjson():
    stand_in = load('bundle/orjson.py')
    options = stand_in['OPT_NON_STR_KEYS'] | stand_in['OPT_SORT_KEYS']
    real = orjson.OPT_NON_STR_KEYS | orjson.OPT_SORT_KEYS
    for labels in ({'b': '1', 'a': 'é'}, {'code': 200, 'x': None}, {}):
        encoded = stand_in['dumps'](labels, option=options)
        assert encoded == orjson.dumps(labels, option=real)
        assert stand_in['loads'](encoded) == orjson.loads(encoded)
