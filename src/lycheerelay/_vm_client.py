"""Read the platform's list of live and leaving VMs, which lags behind."""

from typing import Final, NamedTuple, final

from result import Err, Ok, Result

from ._codec import FieldError, from_json
from ._events import WorkerSpec
from ._http import CallError, HttpCaller

VM_LIST: Final = 'vm_list'


class EntryVm(NamedTuple):
    """Describe one entry VM as the platform lists it."""

    name: str
    domain: str
    region: str
    address: str
    leaving: bool = False


class VmList(NamedTuple):
    """Hold one version of the list."""

    version: int
    workers: tuple[WorkerSpec, ...] = ()
    entries: tuple[EntryVm, ...] = ()


@final
class VmListClient:
    """Read the list from one address."""

    def __init__(self, caller: HttpCaller, address: str) -> None:
        """Use the service at an address."""
        self.caller = caller.with_purpose(VM_LIST)
        self.base = f'http://{address}/v1/vms'

    def read(
        self,
        domain: str,
        since: int,
    ) -> Result[VmList | None, CallError | FieldError]:
        """Read the VMs of a domain; None if unchanged since a version."""
        url = f'{self.base}?domain={domain}&since={since}'
        reply = self.caller.call('GET', url)
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status == 204 or reply.ok_value.body is None:
            return Ok(None)
        return from_json(VmList, reply.ok_value.body)
