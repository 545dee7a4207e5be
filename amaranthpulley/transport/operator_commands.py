"""The operator commands `timeline` and `status`."""

import pathlib
from collections.abc import Callable, Iterable, Sequence

import msgspec

from amaranthpulley.protocol import status_api
from amaranthpulley.transport import errors, timeline, timeline_picture

Show = Callable[[str], None]


def show_timeline(
    logs: Sequence[str],
    addresses: Sequence[str],
    event_filter: timeline.Filter,
    picture: str | None,
    show: Show,
    show_problem: Show,
) -> int:
    """Print the merged events of several processes, and return the exit code.

    Parameters
    ----------
    logs : sequence of str
        Paths of log files.
    addresses : sequence of str
        ``IP:port`` of admin ports. One that does not reply is reported and left out,
        because the time line is most useful when daemons have failed.
    event_filter : Filter
        Selects the events to print.
    picture : str or None
        Path of an SVG file to write; None writes no file.
    show, show_problem : callable
        Print an event, and a source or lines that could not be read.
    """
    merged = timeline.merge(
        (*timeline.read_logs(logs), *_read_recent_events(addresses, show_problem))
    )
    if merged.unreadable_lines:
        show_problem(f"{merged.unreadable_lines} lines are no events and were left out")
    events = timeline.select(merged.events, event_filter)
    for event in events:
        show(timeline.format_event(event))
    if picture is not None:
        _write_picture(picture, timeline_picture.draw(events))
    return 0


def show_status(address: str, show: Show) -> int:
    """Print the status of a daemon, and return the exit code."""
    body = timeline.read_admin(address, "/status")
    try:
        status = msgspec.json.decode(body, type=status_api.StatusBody)
    except msgspec.MsgspecError as error:
        raise errors.EventsUnreadableError(
            f"{address} is not an admin port of this release: {error}"
        ) from error
    for line in status_lines(status):
        show(line)
    return 0


def status_lines(status: status_api.StatusBody) -> list[str]:
    """Format a status as lines of text."""
    known, journal = status["configuration"], status["journal"]
    return [
        f"{status['vm']} in {status['failure_domain']}, life {status['life']}",
        f"  ready: {_yes(status['ready'])}, draining: {_yes(status['draining'])}, "
        f"requests in progress: {status['requests_in_progress']}",
        f"configuration: up to ticket {known['highest_ticket']}, "
        f"{known['entries']} entries, checksum {known['checksum']}, "
        f"confirmed: {_yes(known['confirmed'])}",
        f"journal: announced: {_yes(journal['announced'])}, last number "
        f"{journal['last_sequence']}, unwritten {journal['unwritten_records']} records "
        f"in {journal['unwritten_bytes']} bytes, refuses requests: "
        f"{_yes(journal['refuses_requests'])}",
        f"duties: {', '.join(status['duties']) or 'none'}",
        f"leases: {', '.join(status['leases']) or 'none'}",
        f"peers: {status['peers_live']} live",
        *(
            f"  {peer['vm']} {peer['address']} {peer['standing']} "
            f"in {peer['failure_domain']}"
            for peer in status["peers"]
        ),
        f"targets: {status['targets_configured']} configured, "
        f"{status['targets_without_work']} without work",
        *(
            f"  {target['target']} of {target['service']} in "
            f"{target['failure_domain']}: {target['reason']}"
            for target in status["targets"]
        ),
    ]


def _read_recent_events(addresses: Iterable[str], show_problem: Show) -> list[bytes]:
    lines: list[bytes] = []
    for address in addresses:
        try:
            lines += timeline.read_admin(address, "/events").splitlines()
        except errors.EventsUnreadableError as error:
            show_problem(str(error))
    return lines


def _write_picture(path: str, text: str) -> None:
    try:
        pathlib.Path(path).write_text(text)
    except OSError as error:
        raise errors.PictureUnwritableError(
            f"cannot write {path}: {error.strerror}"
        ) from error


def _yes(value: bool) -> str:
    return "yes" if value else "no"
