"""Codec of the JSON file in which operators write a change ticket."""

import pathlib
import re
from typing import Any, Final

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.state.control import topology

MAXIMUM_FILE_BYTES: Final = 4 * 1024 * 1024
_HOST_PORT: Final = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")


def read(path: str) -> topology.ChangeTicket:
    """Return the change ticket of a file.

    Raises
    ------
    InvalidTicketError
        When the file cannot be read, is too large or is invalid.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.InvalidTicketError(
            f"ticket: cannot read {path}: {error.strerror}"
        ) from error
    if len(text) > MAXIMUM_FILE_BYTES:
        raise errors.InvalidTicketError(
            f"ticket: the file is over {MAXIMUM_FILE_BYTES} bytes; split it - at `$`"
        )
    ticket = decode(text)
    for index, target in enumerate(ticket.targets):
        if not _HOST_PORT.fullmatch(target.address):
            raise errors.InvalidTicketError(
                f"ticket: expected IP:port - at `$.targets[{index}].address`"
            )
    return ticket


def decode(text: bytes) -> topology.ChangeTicket:
    """Return the change ticket of a JSON text.

    Raises
    ------
    InvalidTicketError
        Names the path of the first fault, for example ``$.targets[3].address``.
    """
    try:
        raw = msgspec.json.decode(text)
    except msgspec.MsgspecError as error:
        raise errors.InvalidTicketError(f"ticket: {error} - at `$`") from error
    return _ticket_of(raw)


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


_LISTS: Final = {
    "services": topology.Service,
    "failure_domains": topology.FailureDomain,
    "targets": topology.Target,
    "customers": topology.Customer,
}


def _ticket_of(raw: object) -> topology.ChangeTicket:
    body = _convert(raw, dict, "$")
    unknown = sorted(set(body) - {"number", *_LISTS})
    if unknown:
        raise errors.InvalidTicketError(f"ticket: unknown key - at `$.{unknown[0]}`")
    if "number" not in body:
        raise errors.InvalidTicketError("ticket: missing key - at `$.number`")
    lists = {
        name: tuple(
            _entry_of(item, kind, f"$.{name}[{index}]")
            for index, item in enumerate(
                _convert(body.get(name, []), list, f"$.{name}")
            )
        )
        for name, kind in _LISTS.items()
    }
    number = _convert(body["number"], int, "$.number")
    return topology.ChangeTicket(number, **lists)


def _convert(value: object, kind: object, path: str) -> Any:
    try:
        return msgspec.convert(value, kind)
    except msgspec.MsgspecError as error:
        raise errors.InvalidTicketError(f"ticket: {error} - at `{path}`") from error


def _entry_of(item: object, kind: type, path: str) -> object:
    fields = kind.__annotations__
    given = _convert(item, dict, path)
    for key in given:
        if key not in fields:
            raise errors.InvalidTicketError(f"ticket: unknown key - at `{path}.{key}`")
    for key in fields:
        if key not in given and key not in kind._field_defaults:
            raise errors.InvalidTicketError(f"ticket: missing key - at `{path}.{key}`")
    values = {
        key: _convert(value, fields[key], f"{path}.{key}")
        for key, value in given.items()
    }
    return kind(**values)
