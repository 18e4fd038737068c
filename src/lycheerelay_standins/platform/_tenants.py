"""Hold the tenants that the operators of a cell have configured."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, final

from lycheerelay._resources import Resources


class TenantShape(NamedTuple):
    """Keys, weight and quota of a tenant; an amount of 0 means no limit."""

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1
    quota: Resources = Resources()


class Credential(NamedTuple):
    """Key that a caller sends, and the tenant as which it acts."""

    tenant: str
    key: str


class TenantBounds(NamedTuple):
    """Bounds that the platform sets for tenants."""

    revocation_ms: int = 5000
    config_apply_ms: int = 3000
    quota_window_s: int = 5
    quota_overage: float = 0.1


@final
class TenantBook:
    """Change the tenants; each change publishes a version."""

    def __init__(
        self, shapes: Iterable[TenantShape], publish: Callable[[], None]
    ) -> None:
        """Start with `shapes`, without publishing them."""
        self.shapes = {shape.name: shape for shape in shapes}
        self.publish = publish

    def withdraw_key(self, key: str) -> None:
        """Remove a key from the tenant that holds it."""
        for shape in self.shapes.values():
            if key in shape.keys:
                keys = tuple(other for other in shape.keys if other != key)
                return self._change(shape._replace(keys=keys))
        raise ValueError(f'no tenant holds the key {key}')

    def add_key(self, name: str, key: str) -> None:
        """Add a key to a tenant."""
        shape = self.shapes[name]
        self._change(shape._replace(keys=(*shape.keys, key)))

    def replace_key(self, old: str, new: str) -> None:
        """Replace a key by another one in a single version."""
        for shape in self.shapes.values():
            if old in shape.keys:
                keys = tuple(new if key == old else key for key in shape.keys)
                return self._change(shape._replace(keys=keys))
        raise ValueError(f'no tenant holds the key {old}')

    def set_quota(self, name: str, quota: Resources) -> None:
        """Change the quota of a tenant."""
        self._change(self.shapes[name]._replace(quota=quota))

    def set_weight(self, name: str, weight: float) -> None:
        """Change the weight of a tenant."""
        self._change(self.shapes[name]._replace(weight=weight))

    def config_fields(self) -> list[dict[str, Any]]:
        """Return the `tenants` field of the configuration."""
        return [
            {
                'name': shape.name,
                'apiKeys': list(shape.keys),
                'priority': 1,
                'weight': shape.weight,
                'maxCount': {
                    'cpu': shape.quota.cores_milli,
                    'memMb': shape.quota.memory_mb,
                    'gpus': shape.quota.accelerators,
                },
            }
            for shape in self.shapes.values()
        ]

    def _change(self, shape: TenantShape) -> None:
        self.shapes[shape.name] = shape
        self.publish()
