"""A value over the limit for values that are forwarded at once, and the commands that carry it."""

from __future__ import annotations

from starlingthread.net import meta

LONG = meta.MAX_UNCHUNKED_BYTES + 5000
VALUE = bytes(n % 251 for n in range(LONG))
PUT = b"ms a %d O1 Pc=keyed,d=500,k=1\r\n" % LONG
GOT = b"VA %d O1 h1\r\n" % LONG
