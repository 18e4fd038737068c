"""Ask other entry VMs of the domain to store batches."""

from typing import Final, final

from result import Err, Result

from ._codec import FieldError
from ._http import CallError, HttpCaller
from ._members import Members
from ._standby_messages import StandbyReply, StandbyRequest, parse_reply

STORE_TIMEOUT_MS: Final = 1000
HTTP_OK: Final = 200


@final
class StandbyClient:
    """Call the other entry VMs over HTTP."""

    def __init__(
        self,
        caller: HttpCaller,
        name: str,
        members: Members,
    ) -> None:
        """Use the members of the domain, without the node `name`."""
        self.caller = caller
        self.name = name
        self.members = members

    def names(self) -> tuple[str, ...]:
        """Return the live entry VMs, without this node."""
        return self._others(self.members.alive_in_domain())

    def all_names(self) -> tuple[str, ...]:
        """Return every known entry VM of the domain, without this node."""
        return self._others(self.members.known_in_domain())

    def hold(
        self,
        name: str,
        request: StandbyRequest,
    ) -> Result[StandbyReply, CallError | FieldError]:
        """Ask one entry VM to store batches.

        After an error they may or may not have been stored.
        """
        address = self.members.address_of(name)
        if address is None:
            return Err(CallError(name, 'the address is unknown'))
        url = f'http://{address}/internal/hold'
        reply = self.caller.call('POST', url, request, STORE_TIMEOUT_MS)
        if isinstance(reply, Err):
            return reply
        if reply.ok_value.status != HTTP_OK:
            return Err(CallError(url, f'status {reply.ok_value.status}'))
        return parse_reply(reply.ok_value.body)

    def _others(self, names: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(name for name in names if name != self.name)
