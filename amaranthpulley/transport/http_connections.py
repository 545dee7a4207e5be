"""Connection pools for HTTP to targets, peers and the platform.

A connection behaves as urllib3's own, but for its test for having been closed. That was
a switch of green threads before each call, a fourteenth of a fan-out's processor time.
"""

import socket

import urllib3
import urllib3.connection


def connection_pool(
    address: str, maximum_idle: int
) -> urllib3.connectionpool.HTTPConnectionPool:
    """Return a pool of connections to one address.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    maximum_idle : int
        Connections that are kept open while no call uses them.
    """
    host, port = address.rsplit(":", 1)
    return _Pool(host, int(port), maxsize=maximum_idle)


class _Connection(urllib3.connection.HTTPConnection):
    """A connection whose test for having been closed does not switch threads."""

    @property
    def is_connected(self) -> bool:
        """Whether the server has neither closed the connection nor sent anything."""
        return self.sock is not None and not _is_readable(self.sock)


def _is_readable(connection: socket.socket) -> bool:
    # eventlet's sockets never block in the system, so that the plain call returns.
    plain = getattr(connection, "fd", connection)
    try:
        plain.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class _Pool(urllib3.connectionpool.HTTPConnectionPool):
    """A pool of these connections."""

    ConnectionCls = _Connection
