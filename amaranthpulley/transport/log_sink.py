"""Writes log events as JSON lines and buffers the latest for the admin port."""

import collections
import logging
import sys
from collections.abc import Callable
from typing import Final

import msgspec

from amaranthpulley.coordination import commands
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import hybrid_clock, log_events
from amaranthpulley.transport import errors, line_writer

LOGGER_NAME: Final = "amaranthpulley"
MAXIMUM_RECENT_EVENTS: Final = 10_000
WriteLog = Callable[[commands.Log], None]


class RecentEvents:
    """A ring buffer of the latest log lines of one process, oldest first."""

    def __init__(self) -> None:
        self._lines: collections.deque[bytes] = collections.deque(
            maxlen=MAXIMUM_RECENT_EVENTS
        )

    def add(self, line: bytes) -> None:
        """Append a line and drop the oldest one when the buffer is full."""
        self._lines.append(line)

    def text(self) -> bytes:
        """Return all lines, each with its line end."""
        return b"".join(line + b"\n" for line in self._lines)


def open_log(
    process: str,
    clock: clock_state.Clock,
    path: str | None,
    level: log_events.Level,
    stamps: hybrid_clock.HybridClock,
    recent: RecentEvents,
) -> WriteLog:
    """Return a function that writes log events of one process through `logging`.

    Parameters
    ----------
    process, clock
        Name of the process and source of the time, for each line.
    path : str or None
        File to append to; None for standard error.
    level : Level
        Lowest level of the events that are written.
    stamps : HybridClock
        Source of the hybrid stamp in each line.
    recent : RecentEvents
        Buffer to which each written line is added.

    Raises
    ------
    LogFileUnwritableError
        When the file cannot be opened.
    """
    logger = _logger(process, path, level)

    def write(command: commands.Log) -> None:
        event = command.event
        if not logger.isEnabledFor(event.level):
            return
        wall_ms = clock.wall_ms()
        encoded = _encode(command, process, wall_ms, stamps.tick(wall_ms))
        recent.add(encoded)
        logger.log(event.level, encoded.decode())

    return write


def open_nonblocking_log(
    process: str,
    clock: clock_state.Clock,
    stamps: hybrid_clock.HybridClock,
    writer: line_writer.LineWriter,
) -> WriteLog:
    """Return a function that queues log events from level INFO on a line writer.

    Parameters
    ----------
    process, clock, stamps
        As for `open_log`.
    writer : LineWriter
        Receives the lines; the function never blocks.
    """

    def write(command: commands.Log) -> None:
        if command.event.level >= log_events.Level.INFO:
            wall_ms = clock.wall_ms()
            writer.write(_encode(command, process, wall_ms, stamps.tick(wall_ms)))

    return write


def _encode(command: commands.Log, process: str, wall_ms: int, stamp: int) -> bytes:
    line = {
        "time_ms": wall_ms,
        "stamp": stamp,
        "process": process,
        "event": command.event.number,
        "name": command.event.name,
        **dict(command.fields),
    }
    return msgspec.json.encode(line)


def _logger(process: str, path: str | None, level: log_events.Level) -> logging.Logger:
    logger = logging.getLogger(f"{LOGGER_NAME}.{process}")
    logger.setLevel(level)
    logger.propagate = False
    logger.handlers = [_handler(path)]
    return logger


def _handler(path: str | None) -> logging.Handler:
    if path is None:
        return logging.StreamHandler(sys.stderr)
    try:
        return logging.FileHandler(path)
    except OSError as error:
        raise errors.LogFileUnwritableError(
            f"cannot write the log file {path}: {error.strerror}; change `log_file` "
            "in the settings"
        ) from error
