"""Digests of the keys of client accounts, kept and compared in place of the keys."""

import hashlib
from typing import Final

# Keys are long random words, so no salt is needed; 128 bits rule out equal digests.
DIGEST_BYTES: Final = 16


def digest_of(key: bytes) -> bytes:
    """Return the digest of a key."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()
