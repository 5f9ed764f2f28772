"""Emulated platform on loopback sockets: cache servers, origin, discovery, datagram relay, routers and faults.

Requires the optional dependencies of the extra ``lab``. The router never imports this package;
only the baseline routers import its load oracle.
"""
