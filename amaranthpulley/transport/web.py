"""HTTP servers on the event loop, based on eventlet's WSGI server."""

import http
import socket
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

import eventlet
import eventlet.wsgi

from amaranthpulley.coordination.forwarding import client_limits
from amaranthpulley.state.forwarding import client_budget, client_holdings
from amaranthpulley.transport import errors

READ_TIMEOUT_SECONDS: Final = 5
IDLE_TIMEOUT_SECONDS: Final = 120
MAXIMUM_CONNECTIONS: Final = 1_024
JSON_TYPE: Final = "application/json"
NO_SUCH_PATH: Final = (
    b'{"code":"no_such_path","message":"see the page for callers for the paths",'
    b'"not_run":true}'
)

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


class Reply(NamedTuple):
    """The status, body and media type of a response."""

    status: http.HTTPStatus
    body: bytes
    media_type: str = JSON_TYPE


Handler = Callable[[Environ], Reply]


class WebServer:
    """A running HTTP server.

    Parameters
    ----------
    listener : socket
        A listening socket.
    application : callable
        The WSGI application.
    """

    def __init__(self, listener: socket.socket, application: Application) -> None:
        self._listener = listener
        host, port = listener.getsockname()[:2]
        self._address = f"{host}:{port}"
        self._connections = eventlet.GreenPool(MAXIMUM_CONNECTIONS)
        self._acceptor = eventlet.spawn(
            eventlet.wsgi.server,
            listener,
            application,
            custom_pool=self._connections,
            log_output=False,
            socket_timeout=IDLE_TIMEOUT_SECONDS,
            debug=False,
        )

    @property
    def address(self) -> str:
        """The ``IP:port`` on which the server listens."""
        return self._address

    def stop(self, grace_ms: int = 0) -> None:
        """Stop listening and wait for the requests in progress.

        Idle connections are closed at once.

        Parameters
        ----------
        grace_ms : int
            Time to wait before remaining requests are aborted.
        """
        self._acceptor.kill()
        self._listener.close()
        with eventlet.Timeout(grace_ms / 1000, False):
            self._connections.waitall()
        for connection in list(self._connections.coroutines_running):
            connection.kill()


def listen(address: str) -> socket.socket:
    """Open a listening socket.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 takes a free one.

    Raises
    ------
    AddressInUseError
        When the address cannot be bound.
    """
    ip, port = address.rsplit(":", 1)
    try:
        return eventlet.listen((ip, int(port)), backlog=1024, reuse_port=False)
    except (OSError, OverflowError) as error:
        raise errors.AddressInUseError(
            f"cannot listen on {address}: {error}; free the port or change the settings"
        ) from error


def application(routes: dict[tuple[str, str], Handler]) -> Application:
    """Return a WSGI application that calls the handler of a request's route.

    Parameters
    ----------
    routes : dict
        Handlers by method and path.
    """

    def serve(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        key = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        handler = routes.get(key)
        if handler is None:
            reply = Reply(http.HTTPStatus.NOT_FOUND, NO_SUCH_PATH)
        else:
            reply = handler(environ)
        status = f"{reply.status.value} {reply.status.phrase}"
        headers = [
            ("Content-Type", reply.media_type),
            ("Content-Length", str(len(reply.body))),
        ]
        start_response(status, headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [reply.body]

    return serve


def read_body(
    environ: Environ,
    maximum_bytes: int,
    holdings: client_holdings.ClientHoldings | None = None,
) -> bytes:
    """Return the body of a request.

    Parameters
    ----------
    holdings : ClientHoldings or None
        The bodies that the process receives, to which this one is added.

    Raises
    ------
    BodyMemorySpentError
        When the process holds as much as its budget allows.
    BodyTooLargeError
        When it exceeds the limit.
    BodyTooSlowError
        When it is incomplete after `READ_TIMEOUT_SECONDS` or ends early.
    """
    try:
        length = int(environ.get("CONTENT_LENGTH") or 0)
    except ValueError:
        length = 0
    if length > maximum_bytes:
        raise errors.BodyTooLargeError(f"the body is over {maximum_bytes} bytes")
    if holdings is None:
        return _receive_body(environ, length)
    if not client_limits.may_receive(holdings, length):
        raise errors.BodyMemorySpentError("send the request to another VM")
    holding = client_holdings.Holding(client_budget.Server.FRONT, 0)
    holdings.add(holding)
    holdings.update(holding, 0, length)
    try:
        return _receive_body(environ, length)
    finally:
        holdings.remove(holding)


def _receive_body(environ: Environ, length: int) -> bytes:
    timeout_error = errors.BodyTooSlowError(
        f"the body took over {READ_TIMEOUT_SECONDS} s to arrive"
    )
    with eventlet.Timeout(READ_TIMEOUT_SECONDS, timeout_error):
        body = environ["wsgi.input"].read(length)
    if len(body) < length:
        raise errors.BodyTooSlowError(
            "the body ended early; send all of Content-Length"
        )
    return body
