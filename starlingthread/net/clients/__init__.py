"""Client connections: a listener that accepts them and one actor for each."""

from .connection import ClientConnectionActor
from .listener import ClientListener
from .requests import key_number

__all__ = ["ClientConnectionActor", "ClientListener", "key_number"]
