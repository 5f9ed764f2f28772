"""Emulated platform on loopback sockets: cache servers, origin, discovery, datagram relay, routers and faults.

Requires the optional dependencies of the extra ``lab``. The router never imports this package; of the
baseline routers, one reads the load oracle.
"""
