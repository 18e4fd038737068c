"""Provide the names of orjson that aioprometheus uses, based on json.

orjson is a native extension, which cannot be imported from a zip archive. The
binary contains this module instead.
"""

import json

OPT_NON_STR_KEYS = 4
OPT_SORT_KEYS = 32

loads = json.loads


def dumps(item: object, option: int = 0) -> bytes:
    """Encode an item as compact UTF-8 JSON, as orjson does."""
    return json.dumps(
        item,
        ensure_ascii=False,
        separators=(',', ':'),
        sort_keys=bool(option & OPT_SORT_KEYS),
    ).encode()
