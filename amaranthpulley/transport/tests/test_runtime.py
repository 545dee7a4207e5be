"""Tests of the runtime on the real event loop."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import unittest  # noqa: E402
from unittest import mock  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination import commands, engine, events  # noqa: E402
from amaranthpulley.state import daemon, hybrid_clock, log_events, requests  # noqa: E402
from amaranthpulley.state.control import topology  # noqa: E402
from amaranthpulley.transport import message_stamps, runtime, system_clock  # noqa: E402

_TARGET = topology.Target("leaf-1", "stock", 0, "s0", "Pokhara", "no address")
_REQUEST = requests.SearchRequest("r1", "c", "stock", "query")


class RuntimeTest(unittest.TestCase):
    """Failures of decisions, timers and attempts."""

    def setUp(self) -> None:
        self.logs: list[commands.Log] = []
        self.runtime = runtime.Runtime(
            daemon.Daemon(
                daemon.Identity("vm-1", "127.0.0.1:9", "Pokhara", "Pokhara", "l1"),
                daemon.Limits(),
            ),
            system_clock.system_clock(),
            lambda: 0.5,
            self.logs.append,
            mock.Mock(),
            mock.Mock(),
            lambda command: None,
            message_stamps.from_hybrid_clock(
                hybrid_clock.HybridClock(), system_clock.system_clock()
            ),
        )

    def test_error_in_a_decision_is_returned_to_the_caller(self) -> None:
        with mock.patch.object(engine, "step", side_effect=KeyError("secret")):
            outcome = self.runtime.execute(events.SearchReceived(_REQUEST))
        self.assertIs(outcome.code, requests.RefusalCode.INTERNAL_ERROR)
        self.assertFalse(outcome.not_run)
        [line] = self.logs
        self.assertIs(line.event, log_events.INTERNAL_ERROR)
        self.assertNotIn("secret", str(line))

    def test_request_without_an_answer_is_refused(self) -> None:
        with (
            mock.patch.object(engine, "step", return_value=[]),
            mock.patch.object(runtime, "ANSWER_TIMEOUT_SECONDS", 0),
        ):
            outcome = self.runtime.execute(events.SearchReceived(_REQUEST))
        self.assertIs(outcome.code, requests.RefusalCode.INTERNAL_ERROR)

    def test_failed_timer_is_retried(self) -> None:
        timer = commands.SetTimer(_REQUEST, due_ms=0)
        with (
            mock.patch.object(
                engine, "step", side_effect=[[timer], KeyError(), KeyError(), []]
            ) as step,
            mock.patch.object(runtime, "TIMER_RETRY_DELAY_SECONDS", 0),
        ):
            self.runtime.feed(events.SearchReceived(_REQUEST))
            for _ in range(10):
                eventlet.sleep(0.001)
        self.assertEqual(step.call_count, 4)
        self.assertEqual([line.event.number for line in self.logs], [199, 199])

    def test_timer_is_dropped_after_the_last_try(self) -> None:
        timer = commands.SetTimer(_REQUEST, due_ms=0)
        with (
            mock.patch.object(engine, "step", side_effect=KeyError()),
            mock.patch.object(runtime, "TIMER_RETRY_DELAY_SECONDS", 0),
            mock.patch.object(runtime, "MAXIMUM_TIMER_TRIES", 3),
        ):
            self.runtime._set_timer(timer)
            for _ in range(10):
                eventlet.sleep(0.001)
        self.assertEqual(len(self.logs), 3)

    def test_attempt_that_cannot_be_sent_fails(self) -> None:
        call = commands.SearchCall("query", None, None)
        command = commands.SendAttempt("a1", "r1", _TARGET, call, 100)
        fed: list[events.Event] = []

        def step(state: daemon.Daemon, event: events.Event, *rest: object) -> list:
            fed.append(event)
            return [command] if isinstance(event, events.SearchReceived) else []

        with mock.patch.object(engine, "step", side_effect=step):
            self.runtime.feed(events.SearchReceived(_REQUEST))
            eventlet.sleep(0.01)
        lost = events.Failure.CONNECTION_LOST
        self.assertEqual(fed[1:], [events.AttemptFailed("a1", lost)])
