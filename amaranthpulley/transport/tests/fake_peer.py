"""A fake peer whose replies and faults follow the script of a test."""

import contextlib
import itertools
from collections.abc import Callable
from typing import Any, Final

import eventlet

OK_REPLY: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SILENCE_SECONDS: Final = 3600
TRICKLE_SECONDS: Final = 0.02


def send_ok_reply(connection: Any) -> None:
    """Reply ``ok``."""
    connection.sendall(OK_REPLY)


def never_reply(_connection: Any) -> None:
    """Keep the connection open without a reply."""
    eventlet.sleep(SILENCE_SECONDS)


def close(connection: Any) -> None:
    """Close the connection instead of replying."""
    connection.close()


def send_other_protocol(connection: Any) -> None:
    """Reply with something other than HTTP."""
    connection.sendall(b"\x00\x01 not HTTP\r\n\r\n")


def truncate_reply(connection: Any) -> None:
    """Send all but the last byte of a reply, then close the connection."""
    connection.sendall(OK_REPLY[:-1])
    connection.close()


def trickle(connection: Any) -> None:
    """Send endless headers, at intervals well below the timeout of a read."""
    connection.sendall(b"HTTP/1.1 200 OK\r\n")
    for number in itertools.count():
        connection.sendall(f"X-{number}: 0\r\n".encode())
        eventlet.sleep(TRICKLE_SECONDS)


class FakePeer:
    """A listener that follows one script on each connection it accepts.

    A script holds one behaviour for each request. Requests must fit into one read.
    """

    def __init__(self, *scripts: tuple[Callable[[Any], None], ...]) -> None:
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self._scripts = iter(scripts)
        self._threads = [eventlet.spawn(self._accept)]
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        self.requests = 0

    def _accept(self) -> None:
        for script in self._scripts:
            connection, _ = self._listener.accept()
            self.accepted += 1
            self._threads.append(eventlet.spawn(self._serve, connection, script))

    def _serve(self, connection: Any, script: tuple) -> None:
        with contextlib.closing(connection), contextlib.suppress(OSError):
            for behaviour in script:
                if not connection.recv(65536):
                    return
                self.requests += 1
                behaviour(connection)

    def close(self) -> None:
        """Close the listener and all connections."""
        for thread in self._threads:
            thread.kill()
        self._listener.close()
