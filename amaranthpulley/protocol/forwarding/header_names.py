"""Names of the headers that carry more than HTTP itself; an adapter supplies them."""

from collections.abc import Iterable
from typing import Final, NamedTuple

# Headers that concern one connection only and are never passed on.
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
CONTENT_LENGTH: Final = b"content-length"
CONTENT_ENCODING: Final = b"content-encoding"
HOST: Final = b"host"

Headers = list[tuple[bytes, bytes]]


class HeaderNames(NamedTuple):
    """Header names, in lower case.

    Attributes
    ----------
    request_id : bytes
        The client's name of a request; leaves send it back.
    deadline_ms : bytes
        How many milliseconds the sender waits.
    signature : bytes
        A leaf's signature of its answer.
    wanted_leaf : bytes
        Identity of the leaf that a request is meant for.
    load : bytes
        A leaf's running requests, waiting requests and slots.
    not_run : bytes
        Present when a leaf did not run the request.
    leaf : bytes
        Identity of the leaf that answers a health check.
    part_signatures : bytes
        Signatures of the parts in a merged answer.
    missing_parts : bytes
        Number of shards that a merged answer lacks.
    retry_after : bytes
        Seconds until a repeat is welcome.
    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    wanted_leaf: bytes
    load: bytes
    not_run: bytes
    leaf: bytes
    part_signatures: bytes
    missing_parts: bytes
    retry_after: bytes


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that are passed on, in their order.

    Left out are those of one connection, also those that `Connection` names, and the
    length, which is set anew.
    """
    dropped = HOP_BY_HOP
    for name, value in headers:
        if name.lower() == b"connection":
            named = {word.strip().lower() for word in value.split(b",")}
            dropped = dropped | (named - {b"host", b"content-type"})
    return [
        (name, value)
        for name, value in headers
        if (lowered := name.lower()) not in dropped and lowered != CONTENT_LENGTH
    ]
