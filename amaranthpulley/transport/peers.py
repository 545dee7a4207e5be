"""Messages between the system's own processes, over HTTP.

A message is the body of a ``POST`` and its reply the body of the answer;
connections are kept open between calls. A call is sent at most once: nothing
here retries, because only the caller knows whether its message is idempotent.
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
# How long after its deadline a call whose reply trickles in is cut.
REPLY_GRACE_MS: Final = 50
MAXIMUM_REFUSAL_BYTES: Final = 300

_MEDIA_TYPE: Final = "application/octet-stream"
_PATH: Final = "/peer"

Handle = Callable[[str, bytes], bytes]
OnRefused = Callable[[str, str], None]


def serve_peers(
    address: str,
    handle: Handle,
    maximum_message_bytes: int,
    refused: OnRefused = lambda sender_ip, reason: None,
) -> web.WebServer:
    """Start a server for the messages of peers.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on; port 0 takes a free one.
    handle : callable
        Takes the sender's IP number and a message and returns the reply. It runs
        in a green thread of its own and may block that. Its exceptions become a
        `PeerRejectedError` at the caller.
    maximum_message_bytes : int
        Size limit of a message and of a reply.
    refused : callable
        Told of the sender's IP number and the reason when a message is too large.

    Raises
    ------
    AddressInUseError
        When the address cannot be bound.
    """
    routes = {("POST", _PATH): _web_handler(handle, maximum_message_bytes, refused)}
    return web.WebServer(web.listen(address), web.application(routes))


class PeerChannels:
    """Open connections to peers by address.

    The channels least recently called are closed above `MAXIMUM_CHANNELS`.
    """

    def __init__(self) -> None:
        self._pools: collections.OrderedDict[str, urllib3.HTTPConnectionPool]
        self._pools = collections.OrderedDict()

    def call(self, address: str, message: bytes, timeout_ms: int) -> bytes:
        """Send a message and return the reply; blocks only the green thread.

        Parameters
        ----------
        address : str
            ``IP:port`` of the peer.
        message : bytes
            The message; it is sent at most once.
        timeout_ms : int
            How long to wait for the reply, with the time to connect.

        Raises
        ------
        PeerUnreachableError
            When no connection was made; the message was not sent.
        PeerTimedOutError
            When the message may have been taken, but there is no reply. The next
            call uses a fresh connection.
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
            text = response.data[:MAXIMUM_REFUSAL_BYTES].decode(errors="replace")
            raise errors.PeerRejectedError(
                f"{address} refused the message with status {response.status}: "
                f"{text or 'no reason given'}; do not send it again unchanged"
            )
        return response.data

    def close_channel(self, address: str) -> None:
        """Close the channel to a peer; calls that wait for a reply go on."""
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
        # What silenced one connection has likely silenced the pool's others, and
        # another call may have replaced the pool already.
        if self._pools.get(address) is pool:
            self.close_channel(address)


def _web_handler(handle: Handle, maximum_bytes: int, refused: OnRefused) -> web.Handler:
    def reply_to(environ: web.Environ) -> web.Reply:
        try:
            message = web.read_body(environ, maximum_bytes)
        except errors.BodyTooLargeError as error:
            refused(environ["REMOTE_ADDR"], "too_large")
            return _refusal(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE, error)
        except errors.BodyTooSlowError as error:
            return _refusal(http.HTTPStatus.REQUEST_TIMEOUT, error)
        try:
            reply = handle(environ["REMOTE_ADDR"], message)
            _check_reply(reply, maximum_bytes)
        except (Exception, eventlet.Timeout) as error:
            return _refusal(http.HTTPStatus.INTERNAL_SERVER_ERROR, error)
        return web.Reply(http.HTTPStatus.OK, reply, _MEDIA_TYPE)

    return reply_to


def _check_reply(reply: bytes, maximum_bytes: int) -> None:
    if len(reply) > maximum_bytes:
        raise errors.BodyTooLargeError(f"the reply is over {maximum_bytes} bytes")


def _refusal(status: http.HTTPStatus, error: BaseException) -> web.Reply:
    text = f"{type(error).__name__}: {error}".encode(errors="replace")
    return web.Reply(status, text[:MAXIMUM_REFUSAL_BYTES], "text/plain")


def _new_pool(address: str) -> urllib3.HTTPConnectionPool:
    ip, _, port = address.rpartition(":")
    if not (ip and port.isascii() and port.isdecimal() and int(port) < 2**16):
        raise errors.PeerUnreachableError(
            f"{address!r} is not an address; give a peer as IP:port"
        )
    return http_connections.connection_pool(address, IDLE_CONNECTIONS_PER_PEER)


def _post(
    pool: urllib3.HTTPConnectionPool, address: str, message: bytes, timeout_ms: int
) -> urllib3.BaseHTTPResponse:
    late = errors.PeerTimedOutError(
        f"no reply from {address} within {timeout_ms} ms; it may have taken the "
        "message, so send it again only if that is harmless"
    )
    seconds = max(timeout_ms, 1) / 1000
    try:
        # urllib3 bounds the connect and each read; this bounds their sum.
        with eventlet.Timeout(seconds + REPLY_GRACE_MS / 1000, late):
            return _request(pool, message, urllib3.Timeout(total=seconds))
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise errors.PeerUnreachableError(
            f"cannot connect to {address}, the message was not sent: {error}; check "
            "that the peer runs, or send it to another"
        ) from error
    except urllib3.exceptions.ReadTimeoutError as error:
        raise late from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise errors.PeerTimedOutError(
            f"the connection to {address} ended before the reply: {error}; it may "
            "have taken the message, so send it again only if that is harmless"
        ) from error


def _request(
    pool: urllib3.HTTPConnectionPool, message: bytes, timeout: urllib3.Timeout
) -> urllib3.BaseHTTPResponse:
    return pool.urlopen(
        "POST",
        _PATH,
        body=message,
        headers={"Content-Type": _MEDIA_TYPE},
        timeout=timeout,
        redirect=False,
        retries=False,
    )
