"""Errors of a run."""

from __future__ import annotations


class RunError(Exception):
    """The run could not be executed; the text states the cause and, where known, the remedy."""
