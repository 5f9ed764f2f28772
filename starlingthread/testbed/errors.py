"""Errors of a run."""

from __future__ import annotations


class RunError(Exception):
    """The run could not be played; the text says why and what to do."""
