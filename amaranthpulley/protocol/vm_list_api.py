"""Codec of the platform's VM list: the JSON body of ``GET /vms``."""

from typing import Final, TypedDict

from amaranthpulley.protocol import json_codec
from amaranthpulley.state.control import members

PATH: Final = "/vms"


class VmBody(TypedDict):
    """One VM of the list."""

    name: str
    address: str
    failure_domain: str
    region: str
    status: members.VmStatus


def encode(vms: tuple[members.Vm, ...]) -> bytes:
    """Return the body of a list."""
    return json_codec.encode([VmBody(**vm._asdict()) for vm in vms])


def decode(body: bytes) -> tuple[members.Vm, ...]:
    """Return the list of a body.

    Raises
    ------
    MalformedMessageError
        Names the path of the fault.
    """
    return tuple(members.Vm(**vm) for vm in json_codec.decode(body, list[VmBody]))
