"""SWIM membership: detects which routers are alive.

The package does no I/O and reads no clock; callers pass times in ms.

The design is in docs/design/membership.md.
"""
