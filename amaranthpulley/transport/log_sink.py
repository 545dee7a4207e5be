"""Log events as JSON lines, through `logging`."""

import logging
import sys
from collections.abc import Callable
from typing import Final

import msgspec

from amaranthpulley.coordination import commands
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import log_events
from amaranthpulley.transport import errors

LOGGER_NAME: Final = "amaranthpulley"
WriteLog = Callable[[commands.Log], None]


def open_log(
    process: str,
    clock: clock_state.Clock,
    path: str | None,
    level: log_events.Level = log_events.Level.INFO,
) -> WriteLog:
    """Return a function that writes log events of one process.

    Parameters
    ----------
    process : str
        Name that each line carries.
    clock : Clock
        Gives the time of each line.
    path : str or None
        File to append to; None for standard error.
    level : Level
        Events below it are left out.

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
        line = {
            "time_ms": clock.wall_ms(),
            "process": process,
            "event": event.number,
            "name": event.name,
            **dict(command.fields),
        }
        logger.log(event.level, msgspec.json.encode(line).decode())

    return write


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
