"""Codec of the store's changes between daemons: MessagePack, compressed by zlib."""

import zlib
from typing import Final, NamedTuple

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.state import store

PATH: Final = "/v1/changes"
# Maximum size of an uncompressed page. A page holds at most every key: some megabytes
# at the intended fleet size.
MAXIMUM_BYTES: Final = 64 * 1024 * 1024
_COMPRESSION_LEVEL: Final = 1


class Page(NamedTuple):
    """The answer to a daemon that polls for changes.

    Attributes
    ----------
    changes : list of Change
        The changes after the requested revision.
    revision : int
        Revision from which the next page continues.
    complete : bool
        The page holds all keys, so any other key does not exist.
    age_ms : int or None
        Time since the store answered the sender; None when it never did or its last
        call failed.
    """

    changes: list[store.Change]
    revision: int
    complete: bool
    age_ms: int | None


def encode_target(revision: int, wait_ms: int) -> str:
    """Return the path and query of a request for the changes after a revision."""
    return f"{PATH}?after={revision}&wait_ms={wait_ms}"


def parse_target(target: bytes) -> tuple[int, int] | None:
    """Return a request's revision and wait; None for any other path or query."""
    path, _, query = target.decode("latin-1").partition("?")
    fields = dict(part.partition("=")[::2] for part in query.split("&"))
    after, wait_ms = fields.get("after", ""), fields.get("wait_ms", "")
    if path != PATH or not after.isdigit() or not wait_ms.isdigit():
        return None
    return int(after), int(wait_ms)


def encode(page: Page) -> bytes:
    """Return the encoded page."""
    return zlib.compress(msgspec.msgpack.encode(page), _COMPRESSION_LEVEL)


def decode(body: bytes) -> Page:
    """Return the decoded page.

    Raises
    ------
    MalformedMessageError
        When the bytes are not a page.
    """
    try:
        unpacked = zlib.decompressobj().decompress(body, MAXIMUM_BYTES)
        return msgspec.msgpack.decode(unpacked, type=Page)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise errors.MalformedMessageError(str(error)) from error
