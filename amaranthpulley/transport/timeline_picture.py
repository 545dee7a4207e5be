"""Draws a time line as SVG, with one lane for each process and time to the right."""

from collections.abc import Callable
from typing import Final
from xml.sax import saxutils

from amaranthpulley.state import hybrid_clock
from amaranthpulley.transport import iso_times, timeline

WIDTH: Final = 1_400
LEFT_MARGIN: Final = 140
RIGHT_MARGIN: Final = 20
TOP_MARGIN: Final = 40
LANE_HEIGHT: Final = 46
LEGEND_HEIGHT: Final = 60
MAXIMUM_DRAWN_EVENTS: Final = 2_000
TICK_COUNT: Final = 6
# Name and colour of a group of events, by the event number divided by 100.
EVENT_GROUPS: Final = {
    1: ("process", "#555555"),
    2: ("request", "#1f77b4"),
    3: ("attempt", "#2ca02c"),
    4: ("configuration", "#9467bd"),
    5: ("platform", "#d62728"),
    6: ("journal", "#ff7f0e"),
}
OTHER_GROUP: Final = ("other", "#17becf")

XPosition = Callable[[timeline.Event], float]


def draw(events: list[timeline.Event]) -> str:
    """Return a time line as SVG text.

    Parameters
    ----------
    events : list of Event
        In their order. At most the first `MAXIMUM_DRAWN_EVENTS` are drawn; the picture
        states the total when some are left out.
    """
    drawn = events[:MAXIMUM_DRAWN_EVENTS]
    x_position = _time_scale(drawn)
    lanes = {name: row for row, name in enumerate(sorted({e.process for e in drawn}))}
    height = TOP_MARGIN + LANE_HEIGHT * max(1, len(lanes)) + LEGEND_HEIGHT
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{height}" '
        'font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{height}" fill="white"/>',
        *_axis(drawn, height),
        *(_lane(name, row) for name, row in lanes.items()),
        *_request_lines(drawn, lanes, x_position),
        *(_event_circle(event, lanes, x_position) for event in drawn),
        *_legend(drawn, len(events), height),
        "</svg>",
    ]
    return "\n".join(parts) + "\n"


def _axis(drawn: list[timeline.Event], height: int) -> list[str]:
    if not drawn:
        return [_label(LEFT_MARGIN, TOP_MARGIN, "no events")]
    first_ms, span_ms = _span(drawn)
    parts = []
    for tick in range(TICK_COUNT):
        time_ms = first_ms + span_ms * tick // (TICK_COUNT - 1)
        x = LEFT_MARGIN + (WIDTH - LEFT_MARGIN - RIGHT_MARGIN) * tick / (TICK_COUNT - 1)
        bottom = height - LEGEND_HEIGHT
        parts.append(
            f'<line x1="{x:.1f}" y1="{TOP_MARGIN - 10}" x2="{x:.1f}" y2="{bottom}" '
            'stroke="#dddddd"/>'
        )
        text = iso_times.format_time(time_ms)[11:]
        parts.append(_label(x, TOP_MARGIN - 16, text, "middle" if tick else "start"))
    return parts


def _lane(name: str, row: int) -> str:
    y = _lane_y(row)
    line = (
        f'<line x1="{LEFT_MARGIN}" y1="{y}" x2="{WIDTH - RIGHT_MARGIN}" y2="{y}" '
        'stroke="#aaaaaa"/>'
    )
    return line + _label(LEFT_MARGIN - 10, y + 4, name, "end")


def _request_lines(
    drawn: list[timeline.Event], lanes: dict[str, int], x_position: XPosition
) -> list[str]:
    """Draw a line through the events of each request that spans several processes."""
    by_request: dict[str, list[timeline.Event]] = {}
    for event in drawn:
        request = dict(event.fields).get("request_id")
        if request is not None:
            by_request.setdefault(request, []).append(event)
    return [
        '<polyline fill="none" stroke="#1f77b4" stroke-opacity="0.4" points="'
        + " ".join(
            f"{x_position(e):.1f},{_lane_y(lanes[e.process])}" for e in request_events
        )
        + '"/>'
        for request_events in by_request.values()
        if len({event.process for event in request_events}) > 1
    ]


def _event_circle(
    event: timeline.Event, lanes: dict[str, int], x_position: XPosition
) -> str:
    _, color = EVENT_GROUPS.get(event.number // 100, OTHER_GROUP)
    title = saxutils.escape(timeline.format_event(event))
    return (
        f'<circle cx="{x_position(event):.1f}" cy="{_lane_y(lanes[event.process])}" '
        f'r="4" fill="{color}"><title>{title}</title></circle>'
    )


def _legend(drawn: list[timeline.Event], total: int, height: int) -> list[str]:
    groups = {EVENT_GROUPS.get(event.number // 100, OTHER_GROUP) for event in drawn}
    parts, x, y = [], LEFT_MARGIN, height - LEGEND_HEIGHT / 2
    for name, color in sorted(groups):
        parts.append(f'<circle cx="{x}" cy="{y}" r="5" fill="{color}"/>')
        parts.append(_label(x + 10, y + 4, name))
        x += 130
    if total > len(drawn):
        text = f"the first {len(drawn)} of {total} events; narrow the filter"
        parts.append(_label(LEFT_MARGIN, height - 8, text))
    return parts


def _label(x: float, y: float, text: str, anchor: str = "start") -> str:
    escaped = saxutils.escape(text)
    return f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}">{escaped}</text>'


def _span(drawn: list[timeline.Event]) -> tuple[int, int]:
    times_ms = [hybrid_clock.time_of(event.stamp) for event in drawn]
    return min(times_ms), max(1, max(times_ms) - min(times_ms))


def _time_scale(drawn: list[timeline.Event]) -> XPosition:
    first_ms, span_ms = _span(drawn) if drawn else (0, 1)
    width = WIDTH - LEFT_MARGIN - RIGHT_MARGIN

    def x_position(event: timeline.Event) -> float:
        share = (hybrid_clock.time_of(event.stamp) - first_ms) / span_ms
        return LEFT_MARGIN + width * share

    return x_position


def _lane_y(row: int) -> int:
    return TOP_MARGIN + LANE_HEIGHT * row + LANE_HEIGHT // 2
