"""Upstreams: the cache servers. Each has an actor that owns its connections; the fleet owns the actors.

An attempt uses a connection exclusively: giving up an attempt closes its connection, and a shared one would take other
attempts with it and suffer head-of-line blocking.

Imports run one way: fleet, actor, then reader, writer, opener and results, then pool, messages, context, connection.
"""

from .fleet import ServerFleet

__all__ = ["ServerFleet"]
