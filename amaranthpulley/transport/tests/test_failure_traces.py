"""Tests of the command that says why requests went wrong."""

import json
import unittest
from typing import Any

from amaranthpulley.state import log_events
from amaranthpulley.transport import failure_traces

_DECIDED = log_events.FORWARD_DECIDED
_ENDED = log_events.FORWARD_ENDED
_REFUSED = log_events.FORWARD_REFUSED


def _line(event: log_events.LogEvent, at_ms: int, **fields: Any) -> bytes:
    head = {
        "time_ms": at_ms,
        "stamp": at_ms,
        "process": fields.pop("process", "vm-1"),
        "event": event.number,
        "name": event.name,
        "request_id": fields.pop("request_id", "r1"),
    }
    return json.dumps({**head, **fields}).encode()


def _decided(after_ms: int, decision: str, service: str = "s") -> bytes:
    fields = {"decision": decision, "service": service, "detail": "leaf"}
    return _line(_DECIDED, after_ms, after_ms=after_ms, **fields)


def _ended(outcome: str) -> bytes:
    return _line(_ENDED, 1_000, outcome=outcome, elapsed_ms=900)


def _read_single_trace(lines: list[bytes]) -> failure_traces.Trace:
    (trace,) = failure_traces.read_traces(lines)
    return trace


class CauseTest(unittest.TestCase):
    """The cause of a failure, derived from the log lines of a request."""

    def test_causes(self) -> None:
        cases = (
            (("sent", "unanswered"), "timed_out: leaf silent"),
            (("sent", "lost", "sent", "lost", "unanswered"), "timed_out: lost"),
            (
                ("sent", "budget_spent", "budget_spent", "unanswered"),
                "timed_out: leaf silent, budget of repeats spent",
            ),
            (("leaves_busy", "unanswered"), "timed_out: leaves_busy"),
            (("sent", "rejected", "sent", "unanswered"), "timed_out: rejected"),
            (("leaves_busy", "withdrawn", "unanswered"), "timed_out: withdrawn"),
        )
        for decisions, cause in cases:
            with self.subTest(decisions):
                lines = [_decided(n, what) for n, what in enumerate(decisions)]
                trace = _read_single_trace([*lines, _ended("timed_out")])
                self.assertTrue(failure_traces.is_failure(trace))
                self.assertEqual(failure_traces.failure_cause(trace), cause)

    def test_refusal_gives_its_reason(self) -> None:
        trace = _read_single_trace(
            [_line(_REFUSED, 5, reason="no_leaf", host="h", version=3)]
        )
        self.assertEqual(failure_traces.failure_cause(trace), "refused: no_leaf")

    def test_lines_without_a_reason_give_no_cause(self) -> None:
        trace = _read_single_trace([_decided(0, "sent"), _ended("too_few_shards")])
        self.assertIsNone(failure_traces.failure_cause(trace))

    def test_shards_that_answered_are_no_cause(self) -> None:
        lines = [
            _decided(0, "sent", "a"),
            _decided(1, "lost", "a"),
            _decided(2, "answered", "a"),
            _decided(3, "sent", "b"),
            _decided(4, "unanswered", "b"),
            _ended("partial"),
        ]
        cause = failure_traces.failure_cause(_read_single_trace(lines))
        self.assertEqual(cause, "partial: leaf silent")


class DelegatedCauseTest(unittest.TestCase):
    """The cause of a failure of a request that another daemon ran."""

    def _traces(self, *delegate_lines: bytes) -> list[failure_traces.Trace]:
        own = [_decided(0, "delegated", ""), _decided(90, "delegate_answered", "")]
        return failure_traces.read_traces([*own, _ended("partial"), *delegate_lines])

    def test_it_is_that_of_the_delegate(self) -> None:
        fields = {"service": "s", "detail": "i-1", "process": "leaf"}
        own, delegate = self._traces(
            _line(_DECIDED, 1, after_ms=1, decision="sent", **fields),
            _line(_DECIDED, 2, after_ms=2, decision="lost", **fields),
            _line(_DECIDED, 90, after_ms=90, decision="unanswered", **fields),
            _line(_ENDED, 90, outcome="partial", elapsed_ms=90, process="leaf"),
        )
        cause = failure_traces.failure_cause(own, [own, delegate])
        self.assertEqual(cause, "partial: lost, at a delegate")

    def test_lines_that_the_delegate_dropped_are_named(self) -> None:
        (own,) = self._traces()
        cause = failure_traces.failure_cause(own, [own])
        self.assertEqual(cause, "partial: without the lines of the delegate")


class ReadTracesTest(unittest.TestCase):
    """Traces read from log lines."""

    def test_other_text_truncated_lines_and_other_events_are_ignored(self) -> None:
        complete = [_decided(0, "sent"), _decided(9, "unanswered"), _ended("timed_out")]
        lines = [b"  34.1 vm-1 " + line for line in complete]
        lines += [b"", b"no event", complete[0][:40], b"\xff{\xfe"]
        trace = _read_single_trace(
            [*lines, _line(log_events.STORE_LOST, 7, reason="x")]
        )
        self.assertEqual(len(trace.decisions), 2)

    def test_attempts_on_two_daemons_give_separate_traces(self) -> None:
        first = _line(_ENDED, 1, outcome="timed_out", elapsed_ms=5)
        second = _line(_ENDED, 2, outcome="served", elapsed_ms=5, process="vm-2")
        traces = failure_traces.read_traces([second, first])
        wrong = [t.process for t in traces if failure_traces.is_failure(t)]
        self.assertEqual(wrong, ["vm-1"])
