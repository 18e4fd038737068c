"""Tell what the process uses, by thread, as the kernel counts it."""

import re
import threading
from pathlib import Path
from typing import Final

NS_PER_MS: Final = 1_000_000
TASKS: Final = Path('/proc/self/task')
SERIAL: Final = re.compile(r'[-_ ]?(Thread|Worker)?[-_ ]?\d*$')


def thread_cpu_ms() -> dict[str, float]:
    """Return the processor time of each group of live threads."""
    sums: dict[str, float] = {}
    for thread in threading.enumerate():
        group = group_of(thread.name)
        spent_ms = sums.get(group, 0) + _cpu_ms(thread.native_id)
        sums[group] = round(spent_ms, 1)
    return dict(sorted(sums.items()))


def group_of(name: str) -> str:
    """Return a thread's name without its number or worker."""
    if name.startswith('link-'):
        return 'link'
    return SERIAL.sub('', name) or name


def _cpu_ms(native_id: int | None) -> float:
    try:
        text = (TASKS / str(native_id) / 'schedstat').read_text()
    except OSError:
        return 0
    return int(text.split()[0]) / NS_PER_MS
