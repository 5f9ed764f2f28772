"""The interfaces of the components that the router's actor calls."""

from __future__ import annotations

from typing import Protocol

from .messages import Attempt, EndpointsReceived


class CacheServers(Protocol):
    """The connections to the cache servers."""

    def apply_endpoint_list(self, listing: EndpointsReceived, now: float) -> None:
        """Apply an endpoint list; called before the list is passed to the decision module."""

    def start(self, attempt: Attempt) -> None:
        """Start an attempt; an AttemptEnded message follows unless it is abandoned."""

    def abandon(self, attempt: Attempt) -> None:
        """Stop an attempt whose outcome is already determined."""

    def check_health(self, server: int) -> None:
        """Check a server's health; a HealthCheckResult follows."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""


class Discovery(Protocol):
    """The client of the discovery service."""

    def watch(self, active: bool) -> None:
        """Start or stop watching the endpoint list."""

    def fetch(self) -> None:
        """Fetch the whole endpoint list once."""


class Peers(Protocol):
    """The sender of messages to other routers."""

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send a message to one router, or to all of them (None)."""
