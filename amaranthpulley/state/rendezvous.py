"""Rendezvous hashing: which of several members owns a key."""

import hashlib
from collections.abc import Iterable
from typing import Final

_WEIGHT_RANGE: Final = float(2**64)


def weight_of(member: str, key: str) -> int:
    """Return the weight of a member for a key; the highest one owns the key."""
    digest = hashlib.blake2b(f"{member}\n{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def fraction_of(member: str, key: str) -> float:
    """Return a fixed number from 0 to 1 for a member and a key."""
    return weight_of(member, key) / _WEIGHT_RANGE


def ranking(members: Iterable[str], key: str) -> list[str]:
    """Return the members by descending weight for a key.

    When a member leaves, only the keys that it owned move, each to the next member of
    the key's ranking.
    """
    return sorted(members, key=lambda member: weight_of(member, key), reverse=True)
