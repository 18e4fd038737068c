"""Choose whether a record is appended directly or through the owner.

Load: the store turns some VMs away while it serves the others, or it is so slow
that the appends of many VMs wait behind one another until they time out. The
owner puts the records of all VMs into one append at a time.
"""

from enum import Enum, unique
from typing import Final, final

from .._clock import Clock
from ._store_health import SLOW_CALL_MS, StoreHealth


@unique
class AppendRoute(Enum):
    """Way of a record to the store."""

    DIRECT = 'direct'
    OWNER = 'owner'


# After a slow or failed append, records take the other route for this long. The
# owner may have changed by the next try, while the detour costs one call only.
AVOIDED_MS: Final = {AppendRoute.DIRECT: 5000, AppendRoute.OWNER: 500}


@final
class AppendRouter:
    """Switch the route after a slow or failed append, and back in time."""

    def __init__(self, clock: Clock, store_health: StoreHealth) -> None:
        """Start with direct appends."""
        self.clock = clock
        self.store_health = store_health
        self.avoided_until_ms = dict.fromkeys(AppendRoute, 0)

    def routes(self, is_owner: bool) -> tuple[AppendRoute, ...]:
        """Return the routes to try, in order; the owner has one only.

        With both to be avoided, the one that is free first is returned: probes
        of many VMs would keep a slow store from recovering.
        """
        if is_owner:
            return (AppendRoute.DIRECT,)
        now_ms = self.clock.now_ms()
        if self.store_health.is_slow:
            self._avoid(AppendRoute.DIRECT)
        free = tuple(
            route
            for route in AppendRoute
            if now_ms >= self.avoided_until_ms[route]
        )
        return free or (
            min(AppendRoute, key=self.avoided_until_ms.__getitem__),
        )

    def observe(
        self, route: AppendRoute, took_ms: int, has_failed: bool
    ) -> None:
        """Record how an append over a route went.

        A slow append through the owner speaks against direct ones, as the
        store is still slow.
        """
        if has_failed:
            self._avoid(route)
        elif took_ms > SLOW_CALL_MS:
            self._avoid(AppendRoute.DIRECT)

    def _avoid(self, route: AppendRoute) -> None:
        until_ms = self.clock.now_ms() + AVOIDED_MS[route]
        self.avoided_until_ms[route] = until_ms
