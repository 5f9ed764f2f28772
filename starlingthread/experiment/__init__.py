"""Descriptions and records of experiments: scenarios, the ledger of a run, and seeded random streams.

The emulated platform and the load tool import this package; it imports neither of them.
"""
