"""Rendezvous hashing: which of several members owns a key."""

import hashlib
from collections.abc import Iterable


def weight_of(member: str, key: str) -> int:
    """Return the weight of a member for a key; the highest one owns the key."""
    digest = hashlib.blake2b(f"{member}\n{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranking(members: Iterable[str], key: str) -> list[str]:
    """Return the members by descending weight for a key.

    When a member leaves, only the keys that it owned move, each to the next member of
    the key's ranking.
    """
    return sorted(members, key=lambda member: weight_of(member, key), reverse=True)
