"""The parts of the program that the router's actor drives, as it sees them."""

from __future__ import annotations

from typing import Protocol

from .messages import Attempt, EndpointsReceived


class CacheServers(Protocol):
    """The cache servers, as the module's actor sees them."""

    def apply_endpoint_list(self, listing: EndpointsReceived, now: float) -> None:
        """Take in a list before the module does."""

    def start(self, attempt: Attempt) -> None:
        """Make an attempt; an Ended message follows unless it is abandoned."""

    def abandon(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt that has its outcome."""

    def check_health(self, server: int) -> None:
        """Check a server; a ProbeResult follows."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""


class Discovery(Protocol):
    """Discovery, as the module's actor sees it."""

    def watch(self, active: bool) -> None:
        """Ask for changes from now on, or no longer."""

    def fetch(self) -> None:
        """Ask for the whole list once."""


class Peers(Protocol):
    """The other routers, as the module's actor sees them."""

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send a message to one, or to all (None)."""
