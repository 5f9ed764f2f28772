"""The load balancer in front of the routers, as clients see it."""

from __future__ import annotations

NO_ROUTER = -1


class Front:
    """Hands out the routers that are alive in turn."""

    def __init__(self, routers: int, first: int) -> None:
        self._alive = [True] * routers
        self._last = first

    def set_alive(self, router: int, is_alive: bool) -> None:
        """Take a router out of rotation, or back into it."""
        self._alive[router] = is_alive

    def next_router(self, excluded: int = NO_ROUTER) -> int:
        """Return the next router, another than the excluded one if there is any; NO_ROUTER if none is alive."""
        count = len(self._alive)
        for _ in range(count):
            self._last = (self._last + 1) % count
            if self._alive[self._last] and (self._last != excluded or count == 1):
                return self._last
        if excluded != NO_ROUTER and self._alive[excluded]:
            return excluded
        return NO_ROUTER
