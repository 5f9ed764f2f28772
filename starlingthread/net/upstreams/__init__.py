"""Connections to the upstreams, which are the cache servers: one actor per server owns its connections.

ServerFleet owns the actors. An attempt uses its connection exclusively, because abandoning an attempt closes the
connection: closing a shared one would end other attempts too, and a shared one has head-of-line blocking.

Modules import in one direction only, each from those after it: fleet; actor; reader, writer, opener and results; pool;
messages; context and connection.
"""

from .fleet import ServerFleet

__all__ = ["ServerFleet"]
