"""Merges the log events of several processes, from log files and admin ports.

Events are ordered by their hybrid stamps, so that causes precede their effects even
when the clocks of the processes differ. The displayed time is the process's own.
"""

import pathlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final, NamedTuple

import msgspec
import urllib3

from amaranthpulley.transport import errors, iso_times

READ_TIMEOUT_SECONDS: Final = 10.0
_HEADER_FIELDS: Final = ("time_ms", "stamp", "process", "event", "name")

Show = Callable[[str], None]


class Event(NamedTuple):
    """A log event of one process.

    Attributes
    ----------
    stamp : int
        Hybrid stamp, by which the events of all processes are ordered.
    process : str
        Name of the VM.
    time_ms : int
        Time by the process's own clock, in milliseconds since the Unix epoch.
    number : int
        Event number in the catalogue of log events.
    name : str
        Event name in the catalogue of log events.
    fields : tuple of (str, str)
        The other fields, as text.
    """

    stamp: int
    process: str
    time_ms: int
    number: int
    name: str
    fields: tuple[tuple[str, str], ...]


class Filter(NamedTuple):
    """The criteria that events must meet; None is no restriction.

    Attributes
    ----------
    request, target, domain, ticket : str or None
        Identifier of a request, names of a target and of a failure domain, and number
        of a change ticket.
    from_ms, to_ms : int or None
        Start (included) and end (excluded) of the time window, in milliseconds since
        the Unix epoch.
    """

    request: str | None = None
    target: str | None = None
    domain: str | None = None
    ticket: str | None = None
    from_ms: int | None = None
    to_ms: int | None = None


class MergedEvents(NamedTuple):
    """The events of all sources in order, and the number of unreadable lines."""

    events: tuple[Event, ...]
    unreadable_lines: int


def merge(lines: Iterable[bytes]) -> MergedEvents:
    """Parse log lines of any number of processes, and merge them without duplicates."""
    found: set[Event] = set()
    unreadable_lines = 0
    for line in lines:
        if not line.strip():
            continue
        event = parse(line)
        if event is None:
            unreadable_lines += 1
        else:
            found.add(event)
    return MergedEvents(tuple(sorted(found)), unreadable_lines)


def parse(line: bytes) -> Event | None:
    """Return the event of a log line, or None when the line is not an event."""
    try:
        body = msgspec.json.decode(line, type=dict[str, Any])
        header = [body.pop(name) for name in _HEADER_FIELDS]
        time_ms, stamp, process, number, name = header
        has_numbers = isinstance(stamp, int) and isinstance(number, int)
        if not has_numbers or not isinstance(time_ms, int):
            return None
    except (msgspec.MsgspecError, KeyError, UnicodeDecodeError):
        return None
    fields = tuple((key, _format_value(value)) for key, value in body.items())
    return Event(stamp, str(process), time_ms, number, str(name), fields)


def select(events: Iterable[Event], event_filter: Filter) -> list[Event]:
    """Return the events that match a filter, in the given order."""
    events = list(events)
    requests = _field_map(events, "attempt_id", "request_id")
    domains = _field_map(events, "target", "failure_domain")
    return [
        event for event in events if _matches(event, event_filter, requests, domains)
    ]


def format_event(event: Event) -> str:
    """Format an event as one line of text."""
    fields = " ".join(f"{key}={value}" for key, value in event.fields)
    time = iso_times.format_time(event.time_ms)
    return f"{time} {event.process} {event.number} {event.name} {fields}".rstrip()


def read_logs(paths: Iterable[str]) -> Iterator[bytes]:
    """Yield the lines of log files.

    Raises
    ------
    EventsUnreadableError
        When a file cannot be read.
    """
    for path in paths:
        try:
            with pathlib.Path(path).open("rb") as lines:
                yield from lines
        except OSError as error:
            raise errors.EventsUnreadableError(
                f"cannot read {path}: {error.strerror}"
            ) from error


def read_admin(address: str, path: str) -> bytes:
    """Return the response body of a path of a daemon's admin port.

    Raises
    ------
    EventsUnreadableError
        When there is no response, or this machine is not an admin client.
    """
    try:
        response = urllib3.request(
            "GET",
            f"http://{address}{path}",
            timeout=READ_TIMEOUT_SECONDS,
            retries=False,
        )
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise errors.EventsUnreadableError(
            f"no answer from {address}: {type(error).__name__}; check the address, or "
            "leave it out"
        ) from error
    if response.status == 403:
        raise errors.EventsUnreadableError(
            f"{address} does not let this machine in; see `admin_clients` in its "
            "settings"
        )
    return response.data


def _matches(
    event: Event,
    event_filter: Filter,
    requests: dict[str, str],
    domains: dict[str, str],
) -> bool:
    fields = dict(event.fields)
    request = fields.get("request_id") or requests.get(fields.get("attempt_id", ""))
    domain = fields.get("failure_domain") or domains.get(fields.get("target", ""))
    checks = (
        (event_filter.request, request),
        (event_filter.target, fields.get("target")),
        (event_filter.domain, domain),
        (event_filter.ticket, fields.get("ticket")),
    )
    if any(wanted is not None and wanted != found for wanted, found in checks):
        return False
    is_after_start = (
        event_filter.from_ms is None or event.time_ms >= event_filter.from_ms
    )
    return is_after_start and (
        event_filter.to_ms is None or event.time_ms < event_filter.to_ms
    )


def _field_map(events: Iterable[Event], key: str, value: str) -> dict[str, str]:
    found = {}
    for event in events:
        fields = dict(event.fields)
        if key in fields and value in fields:
            found[fields[key]] = fields[value]
    return found


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)
