"""The decision module of one router: class Balancer takes events and returns actions. No I/O, no clock.

Its types are in starlingthread/events.py, actions.py and settings.py.
"""

from .balancer import Balancer

__all__ = ("Balancer",)
