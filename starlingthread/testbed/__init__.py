"""Runs scenarios: starts the emulated platform, the routers under test and the load tool, and evaluates the outcome.

Requires the extra ``lab``; the router never imports this package.
"""
