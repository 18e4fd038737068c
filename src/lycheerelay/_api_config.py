"""Serve the published configuration to peers and operators."""

from typing import final

from ._codec import to_json
from ._config_follow import ConfigFollower
from ._node import Node
from ._web import Request, Response, Route, route


@final
class ConfigApi:
    """Serve the routes by which a configuration version is seen."""

    def __init__(self, node: Node) -> None:
        """Serve one node."""
        self.node = node

    @property
    def follower(self) -> ConfigFollower:
        """Return what follows the configuration."""
        return self.node.config

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of this part."""
        return (route('GET', '/internal/config', self.read),)

    def read(self, request: Request) -> Response:
        """Show the version in force, and the files where they are newer."""
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
