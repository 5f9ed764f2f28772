"""Runs of scenarios: starts the emulated platform, the routers under test and the load tool, and evaluates the outcome.

Needs the extra ``lab``; the router never imports anything from here.
"""
