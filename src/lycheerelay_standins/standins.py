"""Stand in for the platform in tests and benchmarks."""

from ._log import LogStandIn
from ._vms import VmListStandIn
from ._worker import WorkerStandIn

__all__ = ('LogStandIn', 'VmListStandIn', 'WorkerStandIn')
