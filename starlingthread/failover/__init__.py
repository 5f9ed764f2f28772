"""Zone failover: which zones the fleet avoids. No I/O, no clock: times are passed in, in ms.

The design is in docs/design/failover.md.
"""
