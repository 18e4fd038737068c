"""Read the CPU time of the threads of this process from the kernel."""

import re
import threading
from pathlib import Path
from typing import Final

NS_PER_MS: Final = 1_000_000
THREADS_FOLDER: Final = Path('/proc/self/task')
THREAD_NUMBER_SUFFIX: Final = re.compile(r'[-_ ]?(Thread|Worker)?[-_ ]?\d*$')


def thread_cpu_ms() -> dict[str, float]:
    """Return the CPU time in milliseconds of each group of live threads."""
    sums: dict[str, float] = {}
    for thread in threading.enumerate():
        group = group_of(thread.name)
        spent_ms = sums.get(group, 0) + _cpu_ms(thread.native_id)
        sums[group] = round(spent_ms, 1)
    return dict(sorted(sums.items()))


def group_of(name: str) -> str:
    """Return a thread's name without its number or worker name."""
    if name.startswith('link-'):
        return 'link'
    return THREAD_NUMBER_SUFFIX.sub('', name) or name


def _cpu_ms(native_id: int | None) -> float:
    try:
        text = (THREADS_FOLDER / str(native_id) / 'schedstat').read_text()
    except OSError:
        return 0
    return int(text.split()[0]) / NS_PER_MS
