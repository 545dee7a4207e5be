"""Signals of the operating system as events on the loop."""

import signal
import socket
from collections.abc import Callable
from typing import Final

import eventlet

TERMINATION_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

Callback = Callable[[], None]

_reactions: Final[dict[int, Callback]] = {}


def on_termination_signals(react: Callback) -> None:
    """Call a function on the loop for each SIGTERM and SIGINT."""
    for number in TERMINATION_SIGNALS:
        on_signal(number, react)


def on_signal(number: int, react: Callback) -> None:
    """Call a function on the loop for each signal of a number.

    A handler that ran at once would cut into a decision, or not wake a loop that
    waits; so the signal's number is written to a socket that the loop reads.
    """
    if not _reactions:
        _watch()
    _reactions[number] = react
    signal.signal(number, lambda number, frame: None)


def _watch() -> None:
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)

    def read() -> None:
        # The closure holds the writer, which would be closed with its last reference.
        while writer.fileno() >= 0:
            for number in reader.recv(16):
                react = _reactions.get(number)
                if react is not None:
                    react()

    eventlet.spawn_n(read)
