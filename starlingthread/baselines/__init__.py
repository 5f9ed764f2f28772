"""Baseline policies for the choice of a server, used in comparisons only. The router never imports this package."""
