"""The platform on loopback sockets: cache servers, origin, discovery, relay, faults, and a judge of what happened.

Needs the extra ``lab``; the router never imports anything from here.
"""
