"""Tests of the losses that a daemon publishes in the store."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import itertools  # noqa: E402
import unittest  # noqa: E402

from amaranthpulley.coordination.forwarding import events  # noqa: E402
from amaranthpulley.platform import entries, names, store_client  # noqa: E402
from amaranthpulley.platform.tests import standin_store  # noqa: E402
from amaranthpulley.state import store  # noqa: E402
from amaranthpulley.state.forwarding import crashes  # noqa: E402
from amaranthpulley.transport import system_clock  # noqa: E402

LOSS = crashes.Loss(0xA1, 2)


class PublishedLossesTest(unittest.TestCase):
    """Keys of losses in the store."""

    def setUp(self) -> None:
        self.store = standin_store.StandInStore(system_clock.system_clock())
        self.client = store_client.StoreClient(self.store.address, "daemon", b"{}")

    def test_a_key_names_its_loss(self) -> None:
        for later, sharded in itertools.product((False, True), repeat=2):
            loss = LOSS._replace(later=later, sharded=sharded)
            key = entries.loss_key(loss)
            with self.subTest(key):
                written = entries.decode(store.Change(key, 1, b"x"))
                self.assertEqual(written, events.LossPublished(loss))
                deleted = entries.decode(store.Change(key, 2, None))
                self.assertEqual(deleted, events.LossWithdrawn(loss))

    def test_malformed_keys_are_reported(self) -> None:
        for rest in ("", "a1", "a1/2", "x" * 16 + "/" + "0" * 16, "0" * 33):
            with self.subTest(rest):
                event = entries.decode(store.Change(names.LOSS_PREFIX + rest, 1, b""))
                self.assertIsInstance(event, events.ItemUnreadable)

    def test_losses_are_published_and_withdrawn(self) -> None:
        lease = self.client.grant_lease(1_000)
        self.assertTrue(self.client.write_losses((LOSS,), (), lease))
        self.assertIn(entries.loss_key(LOSS), self.store.keys())
        self.assertTrue(self.client.write_losses((), (LOSS,), 0))
        self.assertNotIn(entries.loss_key(LOSS), self.store.keys())

    def test_nothing_is_written_under_a_lease_that_has_ended(self) -> None:
        lease = self.client.grant_lease(1_000)
        self.store.end_leases()
        self.assertFalse(self.client.write_losses((LOSS,), (), lease))
        self.assertNotIn(entries.loss_key(LOSS), self.store.keys())
