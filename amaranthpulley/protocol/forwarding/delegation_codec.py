"""Requests between daemons: those that a delegate runs for another daemon.

They are the clients' requests with one header more. The delegate removes it.
"""

from typing import Final
from urllib import parse

from amaranthpulley.protocol.forwarding import client_requests, header_names
from amaranthpulley.state.forwarding import delegations, requests

ORIGIN_HEADER: Final = b"x-amaranthpulley-origin"
# Interim answer by which a delegate says that it received a request and works on it.
SIGN_OF_LIFE: Final = b"HTTP/1.1 102 Processing\r\n\r\n"


def encode_request(
    head: bytes,
    body: bytes,
    names: header_names.HeaderNames,
    budget_ms: int,
    origin: delegations.Origin,
) -> bytes:
    """Return a complete request to a delegate."""
    # A daemon without client accounts also reads the form without a name.
    account = b"," + parse.quote(origin.account).encode() if origin.account else b""
    return b"%b%b: %d\r\n%b: %d,%d%b\r\n\r\n%b" % (
        head,
        names.deadline_ms,
        budget_ms,
        ORIGIN_HEADER,
        origin.version,
        origin.elapsed_ms,
        account,
        body,
    )


def split_origin(
    request: client_requests.ClientRequest,
) -> tuple[client_requests.ClientRequest, delegations.Origin | None]:
    """Return a request without the header that names its origin, and the origin.

    The origin is None if the header is missing or malformed.
    """
    values = [v for name, v in request.headers if name.lower() == ORIGIN_HEADER]
    kept = [pair for pair in request.headers if pair[0].lower() != ORIGIN_HEADER]
    forwarded = request._replace(headers=kept)
    version, elapsed_ms, account, *_ = (*(values or [b""])[-1].split(b","), b"", b"")
    if not version.isdigit() or not elapsed_ms.isdigit():
        return forwarded, None
    name = parse.unquote(account.decode("latin-1"))
    return forwarded, delegations.Origin(int(version), int(elapsed_ms), name)


def missing_parts(
    answer: requests.LeafAnswer, names: header_names.HeaderNames
) -> int | None:
    """Return the number of missing parts in a merged answer; None for any other."""
    values = {name.lower(): value for name, value in answer.headers}
    if answer.status != 200 or names.part_signatures not in values:
        return None
    missing = values.get(names.missing_parts, b"0")
    return int(missing) if missing.isdigit() else None
