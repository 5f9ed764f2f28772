"""Baselines for the router: other ways to choose a server, for comparisons. The router itself never imports them."""
