"""The errors of discovery."""

from __future__ import annotations


class EndpointListError(Exception):
    """What discovery sent is not an endpoint list."""


class DiscoveryCallError(Exception):
    """A call to discovery failed: a time-out, an HTTP status, or an end before its time. The text is the reason."""
