"""Zone failover: decides which zones the fleet avoids.

The package does no I/O and reads no clock; callers pass times in ms.

The design is in docs/design/failover.md.
"""
