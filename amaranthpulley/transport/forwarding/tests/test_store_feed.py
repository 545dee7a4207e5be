"""Tests of the way to the store: who calls it, and how often while it fails."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import collections  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Callable  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import events, store_watchers  # noqa: E402
from amaranthpulley.state import store  # noqa: E402
from amaranthpulley.transport import errors, system_clock  # noqa: E402
from amaranthpulley.transport.forwarding import store_feed, store_view  # noqa: E402

WATCHER = store_watchers.WatchTiming(2_500, 0, 100, 800)
FOLLOWER = store_watchers.WatchTiming(
    2_500,
    store_watchers.FOLLOWER_FALLBACK_DELAY_MS,
    store_watchers.FOLLOWER_RETRY_MS,
    store_watchers.FOLLOWER_MAXIMUM_RETRY_MS,
)
OUTAGE_S = 3.5


class _StoreSubject:
    """A store that counts its calls, and a daemon that may have to follow it."""

    def __init__(self, pace: store_watchers.WatchTiming) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.listing_timeouts_ms: list[int] = []
        self.down = False
        self.needed = True
        self.heard: list[events.Event] = []
        self.view = store_view.StoreView(lambda change: None, self.heard.append)
        source = store_feed.StoreCalls(
            self._call("list", self._list),
            self._call("watch", self._watch),
            self._call("register", lambda life_ms: None),
            self._call("renew", lambda: True),
            self._call("unregister", lambda: None),
            lambda change: None,
        )
        self.feed = store_feed.StoreFeed(
            source,
            self.view,
            self.heard.append,
            system_clock.system_clock(),
            lambda: self.needed,
            lambda: pace,
        )

    def _list(self, timeout_ms: int) -> store_view.Listing:
        return store_view.Listing((), 7)

    def _watch(self, revision: int, wait_ms: int) -> store.Changes:
        eventlet.sleep(0.2)
        return store.Changes((), revision)

    def _call(self, name: str, answer: Callable) -> Callable:
        def call(*arguments: object) -> object:
            self.calls[name] += 1
            if name == "list":
                self.listing_timeouts_ms += arguments
            if self.down:
                raise errors.PlatformUnreachableError("status 503")
            return answer(*arguments)

        return call

    def let_store_fail(self) -> collections.Counter[str]:
        """Return the calls of an outage."""
        self.down = True
        eventlet.sleep(0.3)
        self.calls.clear()
        eventlet.sleep(OUTAGE_S)
        return self.calls


class StoreFeedTest(unittest.TestCase):
    """Calls of watchers and of followers."""

    def _subject(self, pace: store_watchers.WatchTiming) -> _StoreSubject:
        subject = _StoreSubject(pace)
        subject.feed.start()
        eventlet.sleep(0.1)
        self.assertTrue(subject.view.listed)
        return subject

    def test_a_watcher_tries_a_failing_store_several_times_a_second(self) -> None:
        calls = self._subject(WATCHER).let_store_fail()
        self.assertGreaterEqual(calls["watch"], 4)
        self.assertLessEqual(calls["watch"], 10)

    def test_a_follower_tries_a_failing_store_seldom(self) -> None:
        subject = self._subject(FOLLOWER)
        calls = subject.let_store_fail()
        self.assertGreaterEqual(calls["watch"], 1)
        self.assertLessEqual(calls["watch"], 3)

    def test_a_follower_waits_before_it_turns_to_the_store(self) -> None:
        subject = self._subject(FOLLOWER)
        subject.needed = False
        eventlet.sleep(1.0)
        subject.calls.clear()
        subject.needed = True
        eventlet.sleep(store_watchers.FOLLOWER_FALLBACK_DELAY_MS / 1000 - 0.4)
        self.assertEqual(subject.calls["watch"], 0)
        eventlet.sleep(1.2)
        self.assertGreater(subject.calls["watch"], 0)

    def test_a_failing_registration_is_tried_at_its_own_pace(self) -> None:
        subject = _StoreSubject(WATCHER)
        subject.down = True
        subject.feed.start()
        eventlet.sleep(OUTAGE_S)
        self.assertEqual(subject.calls["register"], 2)

    def test_a_first_listing_is_given_up_soon_and_tried_with_more_time(self) -> None:
        subject = _StoreSubject(WATCHER)
        subject.down = True
        subject.feed.start()
        eventlet.sleep(2.5)
        self.assertEqual(subject.listing_timeouts_ms[:4], [300, 600, 1_000, 1_000])

    def test_loss_and_return_are_said_once(self) -> None:
        subject = self._subject(WATCHER)
        subject.let_store_fail()
        subject.down = False
        eventlet.sleep(1.5)
        said = [e.reachable for e in subject.heard if type(e) is events.StoreReached]
        self.assertEqual(said, [False, True])
