"""Change tickets in force in a daemon: the JSON body of ``GET /tickets``."""

from typing import Final, TypedDict

from amaranthpulley.protocol import json_codec
from amaranthpulley.state import daemon as daemon_state

PATH: Final = "/tickets"


class TicketsBody(TypedDict):
    """The latest tickets in force: ticket numbers and when each came into force.

    Times are milliseconds since the Unix epoch by the daemon's own clock.
    """

    vm: str
    failure_domain: str
    highest_number: int
    confirmed: bool
    in_force_since_ms: dict[int, int]


def encode(daemon: daemon_state.Daemon) -> bytes:
    """Return the body for a daemon."""
    known = daemon.configuration
    body = TicketsBody(
        vm=daemon.identity.name,
        failure_domain=daemon.identity.failure_domain,
        highest_number=known.highest_number,
        confirmed=not known.suspended,
        in_force_since_ms=known.in_force_since_ms,
    )
    return json_codec.encode(body)


def decode(body: bytes) -> TicketsBody:
    """Return the decoded body; raises `MalformedMessageError`."""
    return json_codec.decode(body, TicketsBody)
