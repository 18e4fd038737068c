"""Give the names of orjson that aioprometheus uses, over the json module.

The real library is a native extension and cannot be imported from a zip
archive; this module stands in its place inside the binary only.
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
