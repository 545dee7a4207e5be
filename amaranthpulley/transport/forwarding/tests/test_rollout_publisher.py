"""Tests of the writing of roll-outs' steps to a store that may be away."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import unittest  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import commands, events  # noqa: E402
from amaranthpulley.coordination.forwarding.rollouts import (  # noqa: E402
    rollout_events,
)
from amaranthpulley.state import store  # noqa: E402
from amaranthpulley.state.forwarding import rollouts  # noqa: E402
from amaranthpulley.transport import errors  # noqa: E402
from amaranthpulley.transport.forwarding import (  # noqa: E402
    rollout_publisher,
    store_view,
)

WAIT_S = 5.0
STEP = rollouts.Step(2, "v2", 1, rollouts.Phase.GROWING, 0.02, 0, 9_000, 6)
COMMAND = commands.WriteRolloutStep("visits", STEP, 2, 0, 0)


class RolloutPublisherTest(unittest.TestCase):
    """A decider that takes a failed write for none decides from a step that is gone."""

    def setUp(self) -> None:
        self.written: list[commands.WriteRolloutStep] = []
        self.read: list[str] = []
        self.accepts = True
        self.write_fails = self.read_fails = False
        self.received_events: list[events.Event] = []
        self.view = store_view.StoreView(
            lambda change: rollout_events.RolloutStatusRead("visits", change.revision),
            self.received_events.append,
        )
        self.publisher = rollout_publisher.RolloutPublisher(
            rollout_publisher.RolloutCalls(self._write, self._read),
            self.view,
            self.received_events.append,
        )
        self.publisher.start()

    def _write(self, command: commands.WriteRolloutStep) -> bool:
        self.written.append(command)
        eventlet.sleep(0.01)
        if self.write_fails:
            raise errors.PlatformUnreachableError("no answer")
        return self.accepts

    def _read(self, service: str) -> tuple[store.Change, ...]:
        self.read.append(service)
        if self.read_fails:
            raise errors.PlatformUnreachableError("no answer")
        return (store.Change("status", 7, b"x"),)

    def _ended(self, count: int = 1) -> list[events.Event]:
        with eventlet.Timeout(WAIT_S):
            while True:
                found = [
                    event
                    for event in self.received_events
                    if isinstance(event, rollout_events.RolloutWriteEnded)
                ]
                if len(found) >= count:
                    return found
                eventlet.sleep(0.01)

    def test_each_result_is_told_after_the_items_were_read_back(self) -> None:
        for accepts, fails, result in (
            (True, False, rollout_events.WRITTEN),
            (False, False, rollout_events.CONFLICT),
            (True, True, rollout_events.UNKNOWN),
        ):
            with self.subTest(result):
                self.setUp()
                self.accepts, self.write_fails = accepts, fails
                self.publisher.write(COMMAND)
                self.assertEqual(self._ended()[0].result, result)
                self.assertEqual(self.read, ["visits"])
                first = self.received_events[0]
                self.assertIsInstance(first, rollout_events.RolloutStatusRead)

    def test_it_goes_on_after_a_failed_read(self) -> None:
        self.write_fails = self.read_fails = True
        self.publisher.write(COMMAND)
        self.assertEqual(self._ended()[0].result, rollout_events.UNKNOWN)
        self.write_fails = self.read_fails = False
        self.publisher.write(COMMAND)
        self.assertEqual(self._ended(2)[1].result, rollout_events.WRITTEN)

    def test_the_latest_step_of_a_service_replaces_a_waiting_one(self) -> None:
        later = COMMAND._replace(step=STEP._replace(number=2))
        self.publisher.write(COMMAND)
        self.publisher.write(later)
        self._ended()
        eventlet.sleep(0.05)
        self.assertEqual(self.written, [later])
