"""The decision module of one router: class Balancer handles events and returns actions, without I/O or a clock.

The types of its interface are in starlingthread/events.py, actions.py and settings.py.
"""

from .balancer import Balancer

__all__ = ("Balancer",)
