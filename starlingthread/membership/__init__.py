"""SWIM membership: which routers are alive. No I/O, no clock: times are passed in, in ms.

The design is in docs/design/membership.md.
"""
