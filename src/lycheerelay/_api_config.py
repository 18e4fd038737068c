"""Serve the published configuration to other entry VMs and operators."""

from typing import final

from ._codec import to_json
from ._config_follow import ConfigFollower
from ._node import Node
from ._web import Request, Response, Route, route


@final
class ConfigApi:
    """Handle the configuration route of one node."""

    def __init__(self, node: Node) -> None:
        """Initialize the route of one node."""
        self.node = node

    @property
    def follower(self) -> ConfigFollower:
        """Return the follower of the published configuration."""
        return self.node.config

    def routes(self) -> tuple[Route, ...]:
        """Return the configuration route."""
        return (route('GET', '/internal/config', self.read),)

    def read(self, request: Request) -> Response:
        """Return the version in force, and the files if they are newer."""
        config = self.follower.config
        above = request.query_int('above', 0)
        newer = config.complete and config.version > above
        body = {
            'code': 0,
            'name': self.node.settings.name,
            'in_force': self.node.policy.version,
            'config': to_json(config) if newer else None,
        }
        return Response(200, body)
