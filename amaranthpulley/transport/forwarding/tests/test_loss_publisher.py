"""Tests of the writing of losses to a store that may be away."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import unittest  # noqa: E402
from unittest import mock  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import (  # noqa: E402
    commands,
    crash_attribution,
    events,
)
from amaranthpulley.state import clock  # noqa: E402
from amaranthpulley.state.forwarding import crashes  # noqa: E402
from amaranthpulley.transport import errors  # noqa: E402
from amaranthpulley.transport.forwarding import loss_publisher  # noqa: E402

WAIT_S = 5.0
LOSS = crashes.Loss(7, 1)


@mock.patch.object(loss_publisher, "RETRY_MS", 50)
class LossPublisherTest(unittest.TestCase):
    """A publisher and the calls that it makes."""

    def setUp(self) -> None:
        self.calls: list[tuple] = []
        self.clock = clock.VirtualClock(1_000_000)
        # Leases that have been granted, and the ones that have ended.
        self.leases = 0
        self.ended: set[int] = set()
        self.down = False
        self.received_events: list[events.Event] = []
        self.publisher = loss_publisher.LossPublisher(
            loss_publisher.LossCalls(self._grant, self._write),
            self.received_events.append,
            self.clock.as_clock(),
        )
        self.publisher.start()

    def _grant(self, life_ms: int) -> int:
        self.leases += 1
        return self.leases

    def _write(self, published: tuple, withdrawn: tuple, lease: int) -> bool:
        if self.down:
            raise errors.PlatformUnreachableError("status 503")
        if lease in self.ended:
            return False
        self.calls.append((published, withdrawn))
        return True

    def _wait_for_calls(self, count: int) -> None:
        with eventlet.Timeout(WAIT_S):
            while len(self.calls) < count:
                eventlet.sleep(0.01)

    def test_losses_are_written_together(self) -> None:
        other = crashes.Loss(8, 1)
        self.publisher.publish(commands.PublishLosses((LOSS,)))
        self.publisher.withdraw(commands.WithdrawLosses((other,)))
        self._wait_for_calls(1)
        self.assertEqual(self.calls, [((LOSS,), (other,))])

    def test_one_call_has_a_bounded_number_of_entries(self) -> None:
        losses = tuple(crashes.Loss(7, start) for start in range(40))
        self.publisher.publish(commands.PublishLosses(losses))
        self._wait_for_calls(2)
        most = loss_publisher.MAXIMUM_ENTRIES
        self.assertEqual(self.calls, [(losses[:most], ()), (losses[most:], ())])

    def test_losses_of_an_outage_are_written_after_it(self) -> None:
        self.down = True
        self.publisher.publish(commands.PublishLosses((LOSS,)))
        eventlet.sleep(0.3)
        self.assertIsInstance(self.received_events[0], events.LossWriteFailed)
        self.down = False
        self._wait_for_calls(1)
        self.assertEqual(self.calls, [((LOSS,), ())])
        self.publisher.publish(commands.PublishLosses((crashes.Loss(9, 1),)))
        self._wait_for_calls(2)

    def test_the_last_word_about_a_loss_is_written(self) -> None:
        self.down = True
        self.publisher.publish(commands.PublishLosses((LOSS,)))
        eventlet.sleep(0.2)
        self.publisher.withdraw(commands.WithdrawLosses((LOSS,)))
        self.down = False
        self._wait_for_calls(1)
        self.assertEqual(self.calls, [((), (LOSS,))])

    def test_a_lease_serves_for_half_of_its_time(self) -> None:
        for number, passed_ms in enumerate(
            (0, 1_000, crash_attribution.LIFETIME_MS // 2)
        ):
            self.clock.advance_to(self.clock.now_ms + passed_ms)
            self.publisher.publish(commands.PublishLosses((crashes.Loss(7, number),)))
            self._wait_for_calls(number + 1)
        self.assertEqual(self.leases, 2)

    def test_a_lease_that_has_ended_is_replaced(self) -> None:
        self.ended = {1}
        self.publisher.publish(commands.PublishLosses((LOSS,)))
        self._wait_for_calls(1)
        self.assertEqual((self.leases, self.calls), (2, [((LOSS,), ())]))

    def test_a_restored_store_gets_them_again_under_another_lease(self) -> None:
        self.publisher.publish(commands.PublishLosses((LOSS, crashes.Loss(8, 1))))
        self._wait_for_calls(1)
        self.publisher.withdraw(commands.WithdrawLosses((crashes.Loss(8, 1),)))
        self._wait_for_calls(2)
        self.publisher.publish_again()
        self._wait_for_calls(3)
        self.assertEqual((self.leases, self.calls[2]), (2, ((LOSS,), ())))
