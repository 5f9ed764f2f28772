"""What the router reads from a client's command apart from what it forwards: hashes, numbers and the identity."""

from __future__ import annotations

import hashlib

from ...settings import Idempotency, RequestClass
from .. import meta


def key_hash(key: bytes) -> int:
    """Return the 64-bit hash of a key: the same at every router, and never 0, which stands for no key."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big") or 1


def number_field(fields: dict[str, str], name: str) -> float:
    """Return the value of a numeric field of a command; 0 if it is absent or malformed."""
    text = fields.get(name, "")
    return float(text) if meta.NUMBER_PATTERN.fullmatch(text) else 0.0


def request_identity(command: meta.Command, request_class: RequestClass) -> int:
    """Return what tells whether a request has come before; 0 if it may run any number of times."""
    if request_class.idempotency == Idempotency.IDEMPOTENT:
        return 0
    idempotency_key = command.fields.get("k", "") if request_class.idempotency == Idempotency.IDEMPOTENCY_KEY else ""
    return key_hash(b"k" + idempotency_key.encode() if idempotency_key else b"O" + command.request_id)
