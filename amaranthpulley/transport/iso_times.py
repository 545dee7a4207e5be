"""Conversion between ISO 8601 and milliseconds since the Unix epoch."""

import datetime

from amaranthpulley.coordination.accounts import journal_gaps
from amaranthpulley.transport import errors, system_clock


def format_time(time_ms: int) -> str:
    """Format milliseconds since the Unix epoch as ISO 8601 in UTC."""
    epoch = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
    time = epoch + datetime.timedelta(milliseconds=time_ms)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def parse_time(text: str) -> int:
    """Parse a time in ISO 8601 as milliseconds since the Unix epoch.

    A time without a zone is taken as UTC.

    Raises
    ------
    InvalidTimeError
        When the text is not a valid time.
    """
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise errors.InvalidTimeError(
            f"{text!r} is no time; write it as 2026-12-04T09:30:00Z"
        ) from error
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.UTC)
    return int(time.timestamp() * 1000)


def parse_window(from_text: str, to_text: str) -> journal_gaps.Window:
    """Parse the start and the end of a window in ISO 8601; the end is excluded.

    Raises
    ------
    InvalidTimeError
        When a time is not valid, or the window is empty or ends in the future.
    """
    window = journal_gaps.Window(parse_time(from_text), parse_time(to_text))
    if window.from_ms >= window.to_ms:
        raise errors.InvalidTimeError("--from must be before --to")
    if window.to_ms > system_clock.system_clock().wall_ms():
        raise errors.InvalidTimeError(
            "--to lies in the future: what is still to come cannot be exported"
        )
    return window
