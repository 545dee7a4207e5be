"""Signals of the operating system as events on the loop."""

import signal
import socket
from collections.abc import Callable
from typing import Final

import eventlet

END_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)


def on_end_signals(react: Callable[[], None]) -> None:
    """Call a function on the loop for each SIGTERM and SIGINT.

    A handler that ran at once would cut into a decision, or not wake a loop that
    waits; so the signal's number is written to a socket that the loop reads.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
    for number in END_SIGNALS:
        signal.signal(number, lambda number, frame: None)

    def read() -> None:
        # The closure holds the writer, which would be closed with its last reference.
        while writer.fileno() >= 0 and reader.recv(1):
            react()

    eventlet.spawn_n(read)
