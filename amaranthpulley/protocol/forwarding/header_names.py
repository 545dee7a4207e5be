"""Names of HTTP headers; a platform adapter supplies those beyond HTTP itself."""

from collections.abc import Iterable
from typing import Final, NamedTuple

# Headers of a single connection, which are never forwarded.
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
TRANSFER_ENCODING: Final = b"transfer-encoding"
CONTENT_ENCODING: Final = b"content-encoding"
HOST: Final = b"host"

Headers = list[tuple[bytes, bytes]]


class HeaderNames(NamedTuple):
    """Header names, in lower case.

    Attributes
    ----------
    request_id : bytes
        The client's id of a request; leaves echo it.
    deadline_ms : bytes
        Milliseconds for which the sender waits for the answer.
    signature : bytes
        A leaf's signature of its answer.
    wanted_leaf : bytes
        Identity of the leaf to which a request is addressed.
    load : bytes
        Numbers of a leaf's running requests, waiting requests and slots.
    not_run : bytes
        Present when a leaf did not run the request.
    leaf : bytes
        Identity of the leaf that answers a health check.
    part_signatures : bytes
        Signatures of the shards' answers in a merged answer.
    missing_parts : bytes
        Number of shards that are missing from a merged answer.
    retry_after : bytes
        Seconds after which the client may retry.
    limit : bytes
        Requests a second that a leaf takes from all daemons together.
    leaving : bytes
        Whether a leaf is about to stop.
    key : bytes
        Key of a client account; empty for no such header.
    account : bytes
        Name of a client account, for leaves; empty for no such header.
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
    limit: bytes
    leaving: bytes
    key: bytes = b""
    account: bytes = b""


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the end-to-end headers in their order.

    Left out are hop-by-hop headers, headers that `Connection` names (except `Host` and
    `Content-Type`), and `Content-Length`, which the sender sets again.
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
