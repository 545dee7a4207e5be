"""The JSON file in which operators write a change ticket."""

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.state import topology


def decode(text: bytes) -> topology.ChangeTicket:
    """Return the change ticket of a JSON text.

    Raises
    ------
    InvalidTicketError
        Names the path of the first fault, for example ``$.targets[3].address``.
    """
    try:
        raw = msgspec.json.decode(text)
        return _ticket_of(raw)
    except msgspec.MsgspecError as error:
        raise errors.InvalidTicketError(f"ticket: {error}") from error


def encode(ticket: topology.ChangeTicket) -> bytes:
    """Return the JSON text of a change ticket."""
    body = {
        "number": ticket.number,
        "services": [entry._asdict() for entry in ticket.services],
        "failure_domains": [entry._asdict() for entry in ticket.failure_domains],
        "targets": [entry._asdict() for entry in ticket.targets],
        "customers": [entry._asdict() for entry in ticket.customers],
    }
    return msgspec.json.encode(body)


_LISTS = {
    "services": topology.Service,
    "failure_domains": topology.FailureDomain,
    "targets": topology.Target,
    "customers": topology.Customer,
}


def _ticket_of(raw: object) -> topology.ChangeTicket:
    body = msgspec.convert(raw, dict)
    unknown = sorted(set(body) - {"number", *_LISTS})
    if unknown:
        raise errors.InvalidTicketError(f"ticket: unknown key - at `$.{unknown[0]}`")
    if "number" not in body:
        raise errors.InvalidTicketError("ticket: missing key - at `$.number`")
    lists = {
        name: tuple(
            _entry_of(item, kind, f"$.{name}[{index}]")
            for index, item in enumerate(body.get(name, []))
        )
        for name, kind in _LISTS.items()
    }
    return topology.ChangeTicket(msgspec.convert(body["number"], int), **lists)


def _entry_of(item: object, kind: type, path: str) -> object:
    fields = kind.__annotations__
    given = msgspec.convert(item, dict)
    for key in given:
        if key not in fields:
            raise errors.InvalidTicketError(f"ticket: unknown key - at `{path}.{key}`")
    for key in fields:
        if key not in given and key not in kind._field_defaults:
            raise errors.InvalidTicketError(f"ticket: missing key - at `{path}.{key}`")
    values = {}
    for key, value in given.items():
        try:
            values[key] = msgspec.convert(value, fields[key])
        except msgspec.MsgspecError as error:
            raise errors.InvalidTicketError(
                f"ticket: {error} - at `{path}.{key}`"
            ) from error
    return kind(**values)
