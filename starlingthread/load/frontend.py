"""The load balancer in front of the routers, which selects a router for each attempt of a client."""

from __future__ import annotations

NO_ROUTER = -1


class FrontendBalancer:
    """Selects the routers that are alive by round robin."""

    def __init__(self, routers: int, last_router: int) -> None:
        self._is_alive = [True] * routers
        self._last_router = last_router

    def set_alive(self, router: int, is_alive: bool) -> None:
        """Add a router to the rotation or remove it."""
        self._is_alive[router] = is_alive

    def next_router(self, excluded: int = NO_ROUTER) -> int:
        """Return the next router that is alive, or NO_ROUTER if there is none.

        The excluded router is returned only if no other one is alive.
        """
        count = len(self._is_alive)
        for _ in range(count):
            self._last_router = (self._last_router + 1) % count
            if self._is_alive[self._last_router] and (self._last_router != excluded or count == 1):
                return self._last_router
        if excluded != NO_ROUTER and self._is_alive[excluded]:
            return excluded
        return NO_ROUTER
