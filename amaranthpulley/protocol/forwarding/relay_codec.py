"""Excerpts of the store's changes between daemons: MessagePack, compressed."""

import zlib
from typing import Final, NamedTuple

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.state import store

PATH: Final = "/v1/changes"
# An excerpt holds every key at most: some megabytes at the target's size.
MAXIMUM_BYTES: Final = 64 * 1024 * 1024
_COMPRESSION_LEVEL: Final = 1


class Page(NamedTuple):
    """What a daemon tells another one.

    Attributes
    ----------
    changes : list of Change
        The changes after the asked revision.
    revision : int
        Where the next page goes on.
    complete : bool
        These are all keys.
    age_ms : int or None
        Time since the store answered the sender; None when it never did.
    """

    changes: list[store.Change]
    revision: int
    complete: bool
    age_ms: int | None


def encode_target(revision: int, wait_ms: int) -> str:
    """Return the path and query that ask for the changes after a revision."""
    return f"{PATH}?after={revision}&wait_ms={wait_ms}"


def parse_target(target: bytes) -> tuple[int, int] | None:
    """Return the revision and the wait that a request asks for; None for another."""
    path, _, query = target.decode("latin-1").partition("?")
    fields = dict(part.partition("=")[::2] for part in query.split("&"))
    after, wait_ms = fields.get("after", ""), fields.get("wait_ms", "")
    if path != PATH or not after.isdigit() or not wait_ms.isdigit():
        return None
    return int(after), int(wait_ms)


def encode(page: Page) -> bytes:
    """Return the bytes of a page."""
    return zlib.compress(msgspec.msgpack.encode(page), _COMPRESSION_LEVEL)


def decode(body: bytes) -> Page:
    """Return the page of these bytes.

    Raises
    ------
    MalformedMessageError
        When they are no page.
    """
    try:
        unpacked = zlib.decompressobj().decompress(body, MAXIMUM_BYTES)
        return msgspec.msgpack.decode(unpacked, type=Page)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise errors.MalformedMessageError(str(error)) from error
