"""Errors of calls to discovery and of the endpoint lists it sends."""

from __future__ import annotations


class EndpointListError(Exception):
    """Discovery sent data that is not a valid endpoint list; the text describes the error."""


class DiscoveryCallError(Exception):
    """A call to discovery failed: a timeout, an HTTP error status or a premature end. The text is the reason."""


class DiscoveryTimeoutError(DiscoveryCallError):
    """Discovery did not accept a call or sent no data for too long, so that this process has ended the call."""
