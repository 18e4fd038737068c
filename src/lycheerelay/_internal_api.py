"""Show other entry VMs and operators who owns what, at little cost."""

from typing import final

from ._codec import Json
from ._node import Node
from ._web import Request, Response, Route, route


@final
class InternalApi:
    """Serve the light routes between entry VMs."""

    def __init__(self, node: Node) -> None:
        """Serve one node."""
        self.node = node

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of this part."""
        return (route('GET', '/internal/owners', self.owners),)

    def owners(self, request: Request) -> Response:
        """Show the owner of each pool and who seems alive."""
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
