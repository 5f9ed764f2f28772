"""The platform on loopback sockets: cache servers, origin, discovery, datagram relay, router processes and faults.

Needs the extra ``lab``; the router never imports anything from here.
"""
