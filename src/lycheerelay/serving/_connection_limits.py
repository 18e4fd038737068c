"""Decide how much of a process callers may hold."""

from typing import Final, NamedTuple

BYTES_PER_MB: Final = 1024 * 1024
# Memory of a machine of which the settings tell nothing.
DEFAULT_MEMORY_MB: Final = 256


class MachineLimits(NamedTuple):
    """Memory in MB and file descriptors of a process; 0 stands for the default."""

    memory_mb: int = 0
    file_descriptors: int = 0
