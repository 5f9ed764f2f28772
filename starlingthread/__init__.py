"""starlingthread: the decisions of a client-side router for fleets of cache servers."""

from .policy import Balancer
from .settings import Settings

__all__ = ["Balancer", "Settings", "__version__"]
__version__ = "0.2.0"
