"""What describes an experiment and what it records: scenarios, the ledger of a run, and seeded random streams.

Both the emulated platform and the load tool build on this package; it imports neither.
"""
