"""Client connections: a listener that accepts them, and one actor per connection."""

from .connection import ClientConnectionActor
from .draining import DrainLimits
from .listener import ClientListener
from .request_fields import key_hash

__all__ = ["ClientConnectionActor", "ClientListener", "DrainLimits", "key_hash"]
