"""A client of the platform's VM list over HTTP."""

from typing import Final

import urllib3

from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import vm_list_api
from amaranthpulley.state.control import members
from amaranthpulley.transport import http_connections

# 8,300 VMs take about a megabyte.
MAXIMUM_LIST_BYTES: Final = 8_388_608


class VmListClient:
    """A persistent connection to the VM list.

    Parameters
    ----------
    address : str
        ``IP:port`` of the VM list.
    """

    def __init__(self, address: str) -> None:
        self._pool = http_connections.connection_pool(address, 1)

    def read(self, timeout_ms: int) -> tuple[members.Vm, ...] | None:
        """Return the list, or None when no valid reply arrives in time."""
        try:
            answer = http_connections.call(
                self._pool, "GET", vm_list_api.PATH, timeout_ms, MAXIMUM_LIST_BYTES
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        if answer.status != 200:
            return None
        try:
            return vm_list_api.decode(answer.body)
        except protocol_errors.ProtocolError:
            return None

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()
