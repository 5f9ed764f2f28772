"""Baselines for the router: other ways to choose a server, for the emulator alone. ``serve`` never imports this."""
