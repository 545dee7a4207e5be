"""A client of the platform's store over HTTP."""

from typing import Final

import urllib3

from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import store_api
from amaranthpulley.state import store
from amaranthpulley.transport import http_connections

MAXIMUM_IDLE_CONNECTIONS: Final = 8
# A page of values of up to a megabyte each, in base64.
MAXIMUM_ANSWER_BYTES: Final = 16_777_216


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
            answer = http_connections.call(
                self._pool,
                "POST",
                store_api.path_of(operation),
                timeout_ms,
                MAXIMUM_ANSWER_BYTES,
                store_api.encode(operation),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return store.StoreFailed("the store cannot be reached", unknown=False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return store.StoreFailed(type(error).__name__, unknown=True)
        if answer.status != 200:
            return store.StoreFailed(f"status {answer.status}", unknown=False)
        try:
            return store_api.decode_result(operation, answer.body)
        except protocol_errors.ProtocolError as error:
            return store.StoreFailed(str(error), unknown=True)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
