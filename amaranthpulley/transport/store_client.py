"""A client of the platform's store over HTTP."""

from typing import Final

import urllib3

from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import store_api
from amaranthpulley.state import store
from amaranthpulley.transport import http_connections

MAXIMUM_IDLE_CONNECTIONS: Final = 8


class StoreClient:
    """A pool of connections to the store.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._pool = http_connections.connection_pool(address, MAXIMUM_IDLE_CONNECTIONS)

    def call(self, operation: store.Operation, timeout_ms: int) -> store.Result:
        """Execute an operation; every failure is returned as `StoreFailed`.

        Parameters
        ----------
        operation : Operation
            The operation.
        timeout_ms : int
            Time to wait for the connection and the reply.
        """
        try:
            response = self._pool.urlopen(
                "POST",
                store_api.path_of(operation),
                body=store_api.encode(operation),
                timeout=urllib3.Timeout(total=timeout_ms / 1000),
                retries=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return store.StoreFailed("the store cannot be reached", unknown=False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return store.StoreFailed(type(error).__name__, unknown=True)
        if response.status != 200:
            return store.StoreFailed(f"status {response.status}", unknown=False)
        try:
            return store_api.decode_result(operation, response.data)
        except protocol_errors.ProtocolError as error:
            return store.StoreFailed(str(error), unknown=True)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
