"""starlingthread: a client-side router for fleets of cache servers; the package exports its decision module."""

from .policy import Balancer
from .settings import Settings

__all__ = ["Balancer", "Settings", "__version__"]
__version__ = "0.2.0"
