"""Serve the owners of the pools to other entry VMs and operators."""

from typing import final

from ._codec import Json
from ._node import Node
from ._web import Request, Response, Route, route


@final
class InternalApi:
    """Handle the internal routes that do not wait for the core."""

    def __init__(self, node: Node) -> None:
        """Initialize the routes of one node."""
        self.node = node

    def routes(self) -> tuple[Route, ...]:
        """Return the internal routes."""
        return (route('GET', '/internal/owners', self.owners),)

    def owners(self, request: Request) -> Response:
        """Return the owner of each pool and the entry VMs that seem alive."""
        return Response(200, self._owners())

    def _owners(self) -> Json:
        members = self.node.members
        states = tuple(self.node.shards.values())
        return {
            'code': 0,
            'identity': members.identity,
            'alive': members.alive_in_domain(),
            'pools': {
                state.pool: {'term': state.term, 'owner': state.owner}
                for state in states
            },
        }
