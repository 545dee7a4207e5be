"""A client of the platform's VM list over HTTP."""

import urllib3

from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import vm_list_api
from amaranthpulley.state.control import members
from amaranthpulley.transport import http_connections


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
            response = self._pool.urlopen(
                "GET",
                vm_list_api.PATH,
                timeout=urllib3.Timeout(total=timeout_ms / 1000),
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        if response.status != 200:
            return None
        try:
            return vm_list_api.decode(response.data)
        except protocol_errors.ProtocolError:
            return None

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()
