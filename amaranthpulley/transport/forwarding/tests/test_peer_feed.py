"""Tests of daemons that receive the store's changes from other daemons."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import unittest  # noqa: E402
from unittest import mock  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import events, store_watchers  # noqa: E402
from amaranthpulley.protocol import errors  # noqa: E402
from amaranthpulley.protocol.forwarding import relay_codec  # noqa: E402
from amaranthpulley.state import store  # noqa: E402
from amaranthpulley.state.forwarding import gateway  # noqa: E402
from amaranthpulley.transport import system_clock  # noqa: E402
from amaranthpulley.transport.forwarding import (  # noqa: E402
    peer_feed,
    relay,
    store_view,
)

WAIT_S = 5.0


def _decode(change: store.Change) -> events.Event | None:
    if change.value is None:
        return events.LeafDeleted(change.key)
    return events.EvacuationChanged(change.key, True)


class PeerFeedTest(unittest.TestCase):
    """A daemon that follows two watchers."""

    def setUp(self) -> None:
        self.clock = system_clock.system_clock()
        self.watchers = [
            store_view.StoreView(_decode, lambda event: None) for _ in range(2)
        ]
        self.relays = [
            relay.Relay("127.0.0.1:0", watcher, self.clock) for watcher in self.watchers
        ]
        self.received_events: list[events.Event] = []
        self.view = store_view.StoreView(_decode, self.received_events.append)
        self.view.apply_listing(store_view.Listing((), 0))
        members = {f"vm-{n}": gateway.Member("a1", f"vm-{n}:1") for n in range(9)}
        place = gateway.Place("vm-1", "a1", "a", {"a1": "a"})
        follower = gateway.Gateway(place, gateway.Limits(), 0)
        follower.members = members
        self.watch_wait_ms = store_watchers.watch_timing(follower).wait_ms
        self.age_ms = store_watchers.confirmation_age_ms(follower.limits)
        self.feed = self._feed(self.age_ms)

    def _feed(self, maximum_age_ms: int) -> peer_feed.PeerFeed:
        return peer_feed.PeerFeed(
            self.view,
            self.clock,
            lambda: tuple(r.address for r in self.relays),
            maximum_age_ms,
        )

    def _wait(self, condition: object) -> None:
        with eventlet.Timeout(WAIT_S):
            while not condition():
                eventlet.sleep(0.02)

    def _confirm_change(
        self, watcher: store_view.StoreView, key: str, revision: int
    ) -> None:
        change = store.Change(key, revision, b"v")
        watcher.apply_confirmed([change], revision, self.clock.monotonic_ms())

    def _confirm_for(self, cycles: int) -> None:
        """Simulate a store that answers each watch without changes."""
        for _ in range(cycles):
            for watcher in self.watchers:
                now_ms = self.clock.monotonic_ms()
                watcher.apply_confirmed([], watcher.revision, now_ms)
            eventlet.sleep((self.watch_wait_ms + store_watchers.WATCH_PAUSE_MS) / 1000)

    def test_changes_of_both_watchers_are_applied_once(self) -> None:
        self.feed.start()
        self._confirm_change(self.watchers[0], "a", 5)
        self._wait(lambda: self.view.revision == 5)
        self._confirm_change(self.watchers[1], "a", 5)
        self._confirm_change(self.watchers[1], "b", 6)
        self._wait(lambda: self.view.revision == 6)
        changed = [
            e for e in self.received_events if isinstance(e, events.EvacuationChanged)
        ]
        self.assertEqual([event.failure_domain for event in changed], ["a", "b"])
        self.assertTrue(self.feed.is_fresh())

    def test_watchers_of_a_quiet_store_stay_fresh(self) -> None:
        self.feed.start()
        confirming = eventlet.spawn(self._confirm_for, 2)
        self._wait(self.feed.is_fresh)
        while not confirming.dead:
            self.assertTrue(self.feed.is_fresh())
            eventlet.sleep(0.02)

    @mock.patch.object(relay, "MAXIMUM_WAIT_MS", 3_600_000)
    def test_store_failure_is_reported_at_once(self) -> None:
        self.feed = self._feed(3_600_000)
        self.feed.start()
        for number, watcher in enumerate(self.watchers):
            self._confirm_change(watcher, f"k{number}", number + 1)
        self._wait(self.feed.is_fresh)
        for watcher in self.watchers:
            watcher.mark_unconfirmed()
        # Neither the end of a poll nor the age of the confirmations ends it earlier.
        self._wait(lambda: not self.feed.is_fresh())

    def test_watchers_with_an_old_confirmation_are_not_fresh(self) -> None:
        old_ms = self.clock.monotonic_ms() - self.age_ms - 1
        for number, watcher in enumerate(self.watchers):
            watcher.apply([store.Change(f"k{number}", number + 1, b"v")], number + 1)
            watcher.confirmed_ms = old_ms
        self.feed.start()
        self._wait(lambda: self.view.revision == 2)
        self.assertFalse(self.feed.is_fresh())

    def test_feed_without_watchers_is_not_fresh(self) -> None:
        self.relays = []
        self.feed.start()
        eventlet.sleep(0.1)
        self.assertFalse(self.feed.is_fresh())


class RelayCodecTest(unittest.TestCase):
    """Encoding of pages and request targets."""

    def test_page_round_trip(self) -> None:
        page = relay_codec.Page([store.Change("k", 3, None)], 4, True, None)
        self.assertEqual(relay_codec.decode(relay_codec.encode(page)), page)

    def test_malformed_pages_are_rejected(self) -> None:
        for body in (b"", b"x", relay_codec.encode(("no", "page"))):
            with self.subTest(body), self.assertRaises(errors.MalformedMessageError):
                relay_codec.decode(body)

    def test_request_targets(self) -> None:
        target = relay_codec.encode_target(7, 100).encode()
        self.assertEqual(relay_codec.parse_target(target), (7, 100))
        for other in (b"/", b"/v1/changes", b"/v1/changes?after=-1&wait_ms=0"):
            self.assertIsNone(relay_codec.parse_target(other))
