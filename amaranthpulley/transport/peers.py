"""Request and reply messages to daemons, from other daemons and operator commands.

A message is the body of an HTTP ``POST``, and its reply is the body of the response.
Connections are kept open between calls. A message is sent at most once and never
retried, because only the calling code knows whether it is idempotent.
"""

import collections
import http
from collections.abc import Callable
from typing import Final

import eventlet
import urllib3

from amaranthpulley.transport import errors, http_connections, web

MAXIMUM_CHANNELS: Final = 64
IDLE_CONNECTIONS_PER_PEER: Final = 8
# Largest reply that is read.
MAXIMUM_REPLY_BYTES: Final = 16_777_216
MAXIMUM_REFUSAL_BYTES: Final = 300

_MEDIA_TYPE: Final = "application/octet-stream"
_PATH: Final = "/peer"

Handle = Callable[[str, bytes], bytes]
OnRefused = Callable[[str, str], None]


def serve_peers(
    address: str,
    handle: Handle,
    maximum_message_bytes: int,
    on_refused: OnRefused = lambda sender_ip, reason: None,
) -> web.WebServer:
    """Start a server for messages from peers.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on; port 0 takes a free one.
    handle : callable
        Called with the sender's IP address and a message; returns the reply. It runs
        in the green thread of the connection, which it may block. An exception raises
        `PeerRejectedError` in the calling peer.
    maximum_message_bytes : int
        Size limit of a message and of a reply.
    on_refused : callable
        Called with the sender's IP address and the reason when a message is too large.

    Raises
    ------
    AddressInUseError
        When the address cannot be bound.
    """
    routes = {("POST", _PATH): _web_handler(handle, maximum_message_bytes, on_refused)}
    return web.WebServer(web.listen(address), web.application(routes))


class PeerChannels:
    """Pools of open connections to peers, by address.

    The least recently used channel is closed when there are over `MAXIMUM_CHANNELS`.
    """

    def __init__(self) -> None:
        self._pools: collections.OrderedDict[str, urllib3.HTTPConnectionPool]
        self._pools = collections.OrderedDict()

    def call(self, address: str, message: bytes, timeout_ms: int) -> bytes:
        """Send a message and return the reply; only the green thread is blocked.

        Parameters
        ----------
        address : str
            ``IP:port`` of the peer.
        message : bytes
            The encoded message; it is sent at most once.
        timeout_ms : int
            Time to wait for the connection and the reply.

        Raises
        ------
        PeerUnreachableError
            When the connection failed; the message was not sent.
        PeerTimedOutError
            When there was no reply; the peer may have processed the message. The
            next call opens a new connection.
        PeerRejectedError
            When the message is over the peer's size limit or its handler failed.
        """
        pool = self._pool(address)
        try:
            response = _post(pool, address, message, timeout_ms)
        except errors.PeerTimedOutError:
            self._discard(address, pool)
            raise
        if response.status != http.HTTPStatus.OK:
            reason = response.body[:MAXIMUM_REFUSAL_BYTES].decode(errors="replace")
            raise errors.PeerRejectedError(
                f"{address} refused the message with status {response.status}: "
                f"{reason or 'no reason given'}; do not send it again unchanged"
            )
        return response.body

    def close_channel(self, address: str) -> None:
        """Close the channel to a peer; calls that wait for a reply continue."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close(self) -> None:
        """Close all channels."""
        for address in list(self._pools):
            self.close_channel(address)

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = _new_pool(address)
        self._pools.move_to_end(address)
        while len(self._pools) > MAXIMUM_CHANNELS:
            self.close_channel(next(iter(self._pools)))
        return pool

    def _discard(self, address: str, pool: urllib3.HTTPConnectionPool) -> None:
        # A fault that stops replies on one connection likely affects the others of the
        # pool. Another call may have replaced the pool already.
        if self._pools.get(address) is pool:
            self.close_channel(address)


def _web_handler(
    handle: Handle, maximum_bytes: int, on_refused: OnRefused
) -> web.Handler:
    def respond(environ: web.Environ) -> web.Reply:
        try:
            message = web.read_body(environ, maximum_bytes)
        except errors.BodyTooLargeError as error:
            on_refused(environ["REMOTE_ADDR"], "too_large")
            return _refusal(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, error)
        except errors.BodyTooSlowError as error:
            return _refusal(http.HTTPStatus.REQUEST_TIMEOUT, error)
        try:
            reply = handle(environ["REMOTE_ADDR"], message)
            _check_reply(reply, maximum_bytes)
        except (Exception, eventlet.Timeout) as error:
            return _refusal(http.HTTPStatus.INTERNAL_SERVER_ERROR, error)
        return web.Reply(http.HTTPStatus.OK, reply, _MEDIA_TYPE)

    return respond


def _check_reply(reply: bytes, maximum_bytes: int) -> None:
    if len(reply) > maximum_bytes:
        raise errors.BodyTooLargeError(f"the reply is over {maximum_bytes} bytes")


def _refusal(status: http.HTTPStatus, error: BaseException) -> web.Reply:
    reason = f"{type(error).__name__}: {error}".encode(errors="replace")
    return web.Reply(status, reason[:MAXIMUM_REFUSAL_BYTES], "text/plain")


def _new_pool(address: str) -> urllib3.HTTPConnectionPool:
    ip, _, port = address.rpartition(":")
    if not (ip and port.isascii() and port.isdecimal() and int(port) < 2**16):
        raise errors.PeerUnreachableError(
            f"{address!r} is not the address of a peer; write it as IP:port"
        )
    return http_connections.connection_pool(address, IDLE_CONNECTIONS_PER_PEER)


def _post(
    pool: urllib3.HTTPConnectionPool, address: str, message: bytes, timeout_ms: int
) -> http_connections.Answer:
    timeout_error = errors.PeerTimedOutError(
        f"no reply from {address} within {timeout_ms} ms; it may have processed the "
        "message, so send it again only if the message is idempotent"
    )
    try:
        return http_connections.call(
            pool,
            "POST",
            _PATH,
            timeout_ms,
            MAXIMUM_REPLY_BYTES,
            message,
            {"Content-Type": _MEDIA_TYPE},
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise errors.PeerUnreachableError(
            f"cannot connect to {address}, the message was not sent: {error}; check "
            "that the peer runs, or send the message to another peer"
        ) from error
    except urllib3.exceptions.ReadTimeoutError as error:
        raise timeout_error from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise errors.PeerTimedOutError(
            f"the connection to {address} ended before the reply: {error}; it may have "
            "processed the message, so send it again only if the message is idempotent"
        ) from error
