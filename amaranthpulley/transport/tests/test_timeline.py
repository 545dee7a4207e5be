"""Tests of the merged timeline of several processes and of its picture."""

import unittest
import xml.dom.minidom

import hypothesis
import msgspec
from hypothesis import strategies

from amaranthpulley.state import hybrid_clock
from amaranthpulley.transport import timeline, timeline_picture

WALL_MS = 1_700_000_000_000


def _line(stamp: int, process: str = "vm-1", **fields: object) -> bytes:
    body = {
        "time_ms": hybrid_clock.time_of(stamp),
        "stamp": stamp,
        "process": process,
        "event": 300,
        "name": "attempt_sent",
        **fields,
    }
    return msgspec.json.encode(body) + b"\n"


class TimelineTest(unittest.TestCase):
    """Order, filters and unreadable lines."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(-60_000, 60_000), min_size=3, max_size=3),
        strategies.lists(strategies.integers(0, 2), min_size=1, max_size=30),
        strategies.randoms(use_true_random=False),
    )
    def test_message_chain_keeps_its_order_despite_clock_skew(
        self, skews_ms: list[int], hops: list[int], random: object
    ) -> None:
        clocks = [hybrid_clock.HybridClock() for _ in range(3)]
        lines, stamp = [], 0
        for step, process in enumerate(hops):
            wall_ms = WALL_MS + step + skews_ms[process]
            clocks[process].observe(stamp, wall_ms)
            stamp = clocks[process].tick(wall_ms)
            lines.append(_line(stamp, f"vm-{process}", step=step))
        random.shuffle(lines)
        merged = timeline.merge(lines)
        steps = [int(dict(event.fields)["step"]) for event in merged.events]
        self.assertEqual(steps, list(range(len(hops))))

    def test_event_from_two_sources_appears_once(self) -> None:
        merged = timeline.merge([_line(5 << 16), _line(5 << 16), _line(6 << 16)])
        self.assertEqual(len(merged.events), 2)

    def test_unreadable_lines_are_counted(self) -> None:
        cases = (b"Traceback (most recent call last):", b"{", b"[1]", b'{"event":1}')
        text = [*cases, b"\xff\xfe", b"", _line(1 << 16), b'{"time_ms":"x"}']
        merged = timeline.merge(text)
        self.assertEqual((len(merged.events), merged.unreadable_lines), (1, 6))

    def test_filters(self) -> None:
        fields = {"request_id": "r1", "attempt_id": "a1"}
        lines = (
            _line(1 << 16, target="leaf-1", failure_domain="Recife", **fields),
            _line(2 << 16, attempt_id="a1"),
            _line(3 << 16, target="leaf-1"),
            _line(4 << 16, ticket=7),
        )
        events = timeline.merge(lines).events
        cases = (
            (timeline.Filter(), [1, 2, 3, 4]),
            (timeline.Filter(request="r1"), [1, 2]),
            (timeline.Filter(target="leaf-1"), [1, 3]),
            (timeline.Filter(domain="Recife"), [1, 3]),
            (timeline.Filter(domain="Salvador"), []),
            (timeline.Filter(ticket="7"), [4]),
            (timeline.Filter(from_ms=2, to_ms=4), [2, 3]),
            (timeline.Filter(request="r1", from_ms=2), [2]),
        )
        for wanted, expected in cases:
            with self.subTest(wanted=wanted):
                found = [event.time_ms for event in timeline.select(events, wanted)]
                self.assertEqual(found, expected)


class TimelinePictureTest(unittest.TestCase):
    """The SVG is well formed and holds each event."""

    def test_each_event_has_a_dot_in_its_lane(self) -> None:
        lines = [
            _line((WALL_MS + number) << 16, f"vm-{number % 3}", request_id="<r&1>")
            for number in range(9)
        ]
        events = list(timeline.merge(lines).events)
        document = xml.dom.minidom.parseString(timeline_picture.draw(events))
        dots = [
            dot
            for dot in document.getElementsByTagName("circle")
            if dot.getElementsByTagName("title")
        ]
        self.assertEqual(len(dots), 9)
        self.assertEqual(len({dot.getAttribute("cy") for dot in dots}), 3)
        self.assertEqual(len(document.getElementsByTagName("polyline")), 1)

    def test_picture_of_no_events_and_of_too_many(self) -> None:
        self.assertIn("no events", timeline_picture.draw([]))
        lines = [_line(number << 16) for number in range(2_500)]
        text = timeline_picture.draw(list(timeline.merge(lines).events))
        self.assertIn("the first 2000 of 2500 events", text)
