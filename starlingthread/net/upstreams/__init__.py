"""Upstreams: the cache servers. An actor for each owns its connections; the fleet owns the actors.

An attempt has a connection to itself: giving up an attempt closes its connection, and one that is shared
would take others with it, and answers on it wait for each other.
"""

from .fleet import ServerFleet

__all__ = ["ServerFleet"]
