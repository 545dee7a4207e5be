"""Tests of the store feed: which daemons call the store, and how often they retry."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import collections  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Callable  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import events, store_watchers  # noqa: E402
from amaranthpulley.state import store  # noqa: E402
from amaranthpulley.state.forwarding import gateway  # noqa: E402
from amaranthpulley.transport import errors, system_clock  # noqa: E402
from amaranthpulley.transport.forwarding import (  # noqa: E402
    loss_publisher,
    rollout_publisher,
    store_feed,
    store_view,
)

WATCHER = store_watchers.WatchTiming(2_500, 0, 100, 800, 2_700)
FOLLOWER = store_watchers.WatchTiming(
    2_500,
    store_watchers.FOLLOWER_FALLBACK_DELAY_MS,
    store_watchers.FOLLOWER_RETRY_MS,
    store_watchers.FOLLOWER_MAXIMUM_RETRY_MS,
)
OUTAGE_S = 3.5
LONGEST_WAIT_S = 20.0
# The users' bound: so long after the store's return all changes must be in force.
CONTACT_MS = 5_000


class _StoreSubject:
    """A fake store that counts its calls, and a store feed that calls it."""

    def __init__(self, timing: store_watchers.WatchTiming) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.listing_timeouts_ms: list[int] = []
        self.down = False
        # Whether calls get no answer; those that began before are lost, too.
        self.silent = False
        # Time that the answer to a watch takes.
        self.answer_ms = 200
        self.clock = system_clock.system_clock()
        # Calls that fail although the store is not down.
        self.refused: set[str] = set()
        self.registered = False
        self.needed = True
        self.received_events: list[events.Event] = []
        self.view = store_view.StoreView(
            lambda change: None, self.received_events.append
        )
        source = store_feed.StoreCalls(
            self._call("list", self._list),
            self._call("watch", self._watch),
            self._call("register", self._register),
            self._call("renew", lambda: self.registered),
            self._call("publish_grants", lambda: self.registered),
            self._call("unregister", lambda: None),
            loss_publisher.LossCalls(
                lambda life_ms: 1, lambda published, withdrawn, lease: True
            ),
            rollout_publisher.RolloutCalls(lambda command: True, lambda service: ()),
            lambda change: None,
        )
        self.feed = store_feed.StoreFeed(
            source,
            self.view,
            self.received_events.append,
            self.clock,
            lambda: self.needed,
            lambda: timing,
        )

    def _list(self, timeout_ms: int) -> store_view.Listing:
        return store_view.Listing((), 7)

    def _register(self, life_ms: int) -> None:
        self.registered = True

    def _watch(self, revision: int, wait_ms: int) -> store.Changes:
        timeout_ms = wait_ms + store_watchers.READ_TIMEOUT_MS
        given_up_ms = self.clock.monotonic_ms() + timeout_ms
        eventlet.sleep(min(self.answer_ms, timeout_ms) / 1000)
        if self.silent or self.answer_ms > timeout_ms:
            eventlet.sleep((given_up_ms - self.clock.monotonic_ms()) / 1000)
            raise errors.PlatformUnreachableError("no answer")
        return store.Changes((), revision)

    def await_watches(self, count: int) -> None:
        """Run the loop until the store has been watched `count` times."""
        with eventlet.Timeout(LONGEST_WAIT_S):
            while self.calls["watch"] < count:
                eventlet.sleep(0.01)

    def await_read_ms(self, since_ms: int) -> int:
        """Run the loop until the store is read after a time; return the delay."""
        with eventlet.Timeout(LONGEST_WAIT_S):
            while (self.view.confirmed_ms or 0) < since_ms:
                eventlet.sleep(0.01)
        return self.view.confirmed_ms - since_ms

    def _call(self, name: str, answer: Callable) -> Callable:
        def call(*arguments: object) -> object:
            self.calls[name] += 1
            if name == "list":
                self.listing_timeouts_ms += arguments
            if self.down or name in self.refused:
                raise errors.PlatformUnreachableError("status 503")
            return answer(*arguments)

        return call

    def simulate_outage(self) -> collections.Counter[str]:
        """Return the calls made during an outage of `OUTAGE_S` seconds."""
        self.down = True
        eventlet.sleep(0.3)
        self.calls.clear()
        eventlet.sleep(OUTAGE_S)
        return self.calls


class StoreOutageTest(unittest.TestCase):
    """How soon after an outage the changes made meanwhile are read."""

    def setUp(self) -> None:
        place = gateway.Place("vm-1", "a1", "a", {"a1": "a"})
        daemon = gateway.Gateway(place, gateway.Limits(), 0)
        self.subject = _StoreSubject(store_watchers.watch_timing(daemon))
        self.subject.feed.start()
        eventlet.sleep(0.1)
        self.subject.silent = True
        self.lost = self.subject.calls["watch"] + 1

    def _delay_after_return_ms(self) -> int:
        self.subject.silent = False
        return self.subject.await_read_ms(self.subject.clock.monotonic_ms())

    def test_a_watch_lost_in_a_short_outage_is_replaced_in_time(self) -> None:
        self.subject.await_watches(self.lost)
        eventlet.sleep(0.3)
        self.assertLess(self._delay_after_return_ms(), CONTACT_MS)

    def test_a_watch_sent_during_an_outage_does_not_delay_the_next_read(self) -> None:
        self.subject.await_watches(self.lost + 1)
        eventlet.sleep(0.3)
        self.assertLess(self._delay_after_return_ms(), CONTACT_MS)


class SlowStoreTest(unittest.TestCase):
    """A store that takes longer for an answer than a read may usually take."""

    def test_it_is_read_nevertheless_after_some_failures(self) -> None:
        subject = _StoreSubject(WATCHER)
        subject.feed.start()
        eventlet.sleep(0.1)
        subject.silent = True
        subject.await_watches(subject.calls["watch"] + 2)
        subject.silent = False
        subject.answer_ms = 2 * store_watchers.READ_TIMEOUT_MS
        subject.await_read_ms(subject.clock.monotonic_ms())


class FailedReadTest(unittest.TestCase):
    """Events about failed listings and watches."""

    def test_each_failed_read_is_reported_with_its_duration_and_pause(self) -> None:
        subject = _StoreSubject(WATCHER)
        subject.feed.start()
        eventlet.sleep(0.1)
        subject.simulate_outage()
        failed = [
            e for e in subject.received_events if type(e) is events.StoreReadFailed
        ]
        self.assertGreaterEqual(len(failed), 4)
        self.assertEqual([e.pause_ms for e in failed][:4], [100, 200, 400, 800])
        self.assertTrue(all(0 <= e.waited_ms < 300 for e in failed))


class StoreFeedTest(unittest.TestCase):
    """Store calls of watchers and followers."""

    def _subject(self, timing: store_watchers.WatchTiming) -> _StoreSubject:
        subject = _StoreSubject(timing)
        subject.feed.start()
        eventlet.sleep(0.1)
        self.assertTrue(subject.view.listed)
        return subject

    def test_watcher_retries_several_times_a_second(self) -> None:
        calls = self._subject(WATCHER).simulate_outage()
        self.assertGreaterEqual(calls["watch"], 4)
        self.assertLessEqual(calls["watch"], 10)

    def test_follower_retries_rarely(self) -> None:
        subject = self._subject(FOLLOWER)
        calls = subject.simulate_outage()
        self.assertGreaterEqual(calls["watch"], 1)
        self.assertLessEqual(calls["watch"], 3)

    def test_follower_waits_before_it_calls_the_store(self) -> None:
        subject = self._subject(FOLLOWER)
        subject.needed = False
        eventlet.sleep(1.0)
        subject.calls.clear()
        subject.needed = True
        eventlet.sleep(store_watchers.FOLLOWER_FALLBACK_DELAY_MS / 1000 - 0.4)
        self.assertEqual(subject.calls["watch"], 0)
        eventlet.sleep(1.2)
        self.assertGreater(subject.calls["watch"], 0)

    def test_failed_registration_has_its_own_retry_interval(self) -> None:
        subject = _StoreSubject(WATCHER)
        subject.refused = {"register"}
        subject.feed.start()
        eventlet.sleep(OUTAGE_S)
        self.assertEqual(subject.calls["register"], 2)

    def test_the_registration_of_the_previous_life_is_renewed(self) -> None:
        subject = _StoreSubject(WATCHER)
        subject.registered = True
        subject.feed.start()
        eventlet.sleep(0.1)
        self.assertEqual(subject.calls["renew"], 1)
        self.assertEqual(subject.calls["register"], 0)

    def test_a_registration_that_is_missing_is_written_at_once(self) -> None:
        subject = self._subject(FOLLOWER)
        self.assertEqual(subject.calls["register"], 1)
        subject.registered = False
        subject.feed.renew_registration()
        eventlet.sleep(0.1)
        self.assertEqual(subject.calls["register"], 2)
        registered = [type(e) for e in subject.received_events]
        self.assertEqual(registered.count(events.Registered), 2)

    def _replaced(self, subject: _StoreSubject) -> list[bool]:
        """Return of each registration whether it was written anew."""
        found = subject.received_events
        return [e.replaced for e in found if type(e) is events.Registered]

    def test_the_right_to_grant_is_written_once_and_renews_nothing(self) -> None:
        subject = self._subject(FOLLOWER)
        self.assertEqual(self._replaced(subject), [True])
        renewals = subject.calls["renew"]
        subject.feed.publish_grants()
        eventlet.sleep(0.1)
        self.assertEqual(subject.calls["publish_grants"], 1)
        self.assertEqual(subject.calls["renew"], renewals)
        subject.feed.renew_registration()
        eventlet.sleep(0.1)
        self.assertEqual(subject.calls["publish_grants"], 1)
        self.assertEqual(self._replaced(subject), [True, False])

    def test_a_right_that_was_not_written_is_written_after_a_renewal(self) -> None:
        subject = self._subject(FOLLOWER)
        subject.refused = {"publish_grants"}
        subject.feed.publish_grants()
        eventlet.sleep(0.1)
        subject.refused = set()
        subject.feed.renew_registration()
        eventlet.sleep(0.1)
        self.assertEqual(subject.calls["publish_grants"], 2)

    def test_a_right_is_not_written_into_a_registration_that_replaces_another(
        self,
    ) -> None:
        # It was confirmed under the one that has ended.
        subject = self._subject(FOLLOWER)
        subject.refused = {"publish_grants"}
        subject.feed.publish_grants()
        eventlet.sleep(0.1)
        subject.registered, subject.refused = False, set()
        subject.feed.renew_registration()
        eventlet.sleep(0.1)
        self.assertEqual(subject.calls["register"], 2)
        self.assertEqual(subject.calls["publish_grants"], 1)

    def test_nothing_is_registered_before_the_first_listing(self) -> None:
        subject = _StoreSubject(WATCHER)
        subject.refused = {"list"}
        subject.feed.start()
        eventlet.sleep(0.2)
        self.assertEqual(subject.calls["register"], 0)
        subject.refused = set()
        eventlet.sleep(0.8)
        self.assertEqual(subject.calls["register"], 1)

    def test_listing_timeout_doubles_after_failures(self) -> None:
        subject = _StoreSubject(WATCHER)
        subject.down = True
        subject.feed.start()
        eventlet.sleep(2.5)
        self.assertEqual(subject.listing_timeouts_ms[:4], [300, 600, 1_000, 1_000])

    def test_store_loss_and_recovery_are_reported_once(self) -> None:
        subject = self._subject(WATCHER)
        subject.simulate_outage()
        subject.down = False
        eventlet.sleep(1.5)
        reported = [
            e.reachable
            for e in subject.received_events
            if type(e) is events.StoreReached
        ]
        self.assertEqual(reported, [False, True])
