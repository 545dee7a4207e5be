"""Handlers of operating-system signals that run on the event loop."""

import signal
import socket
from collections.abc import Callable
from typing import Final

import eventlet

TERMINATION_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

Callback = Callable[[], None]

_callbacks: Final[dict[int, Callback]] = {}


def on_termination_signals(callback: Callback) -> None:
    """Call a function on the loop for each SIGTERM and SIGINT."""
    for number in TERMINATION_SIGNALS:
        on_signal(number, callback)


def on_signal(number: int, callback: Callback) -> None:
    """Call a function on the loop for each signal of a number.

    A handler that ran immediately could interrupt a decision, and would not wake a
    waiting loop. The signal's number is therefore written to a socket that the loop
    reads.
    """
    if not _callbacks:
        _start_reader()
    _callbacks[number] = callback
    signal.signal(number, lambda number, frame: None)


def _start_reader() -> None:
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)

    def read() -> None:
        # The reference to the writer keeps its socket from being closed.
        while writer.fileno() >= 0:
            for number in reader.recv(16):
                callback = _callbacks.get(number)
                if callback is not None:
                    callback()

    eventlet.spawn_n(read)
