"""Follows the platform's store: one listing, then a watch, and the own registration.

A listing is no snapshot, so the watch begins at the revision of its first page. When
the store has dropped that part of its history, everything is listed again.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import eventlet

from amaranthpulley.coordination.forwarding import events, store_watchers
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import store
from amaranthpulley.transport import errors
from amaranthpulley.transport.forwarding import store_view

# Added to the wait of a watch before it has failed, in milliseconds.
WATCH_MARGIN_MS: Final = 1_000
# Pause between two watches, so that a burst of changes comes in one answer; a fifth of
# the 3 s within which a change must be in force. In milliseconds.
WATCH_PAUSE_MS: Final = 600
# Wait for a page of a listing. A daemon that knows nothing yet serves nobody, so a call
# that a silent store has swallowed is given up soon: a store that is 60 times slower
# answers in 240 ms. Doubled after each failure, in milliseconds.
FIRST_LISTING_TIMEOUT_MS: Final = 300
LONGEST_LISTING_TIMEOUT_MS: Final = 1_000
# How often a daemon that need not follow the store looks whether it must, in
# milliseconds.
IDLE_CHECK_INTERVAL_MS: Final = 250
# Failures in a row after which the store counts as lost.
FAILURES_UNTIL_LOST: Final = 2
# Life of the registration, and how often it is renewed, in milliseconds.
REGISTRATION_LIFETIME_MS: Final = 30_000
RENEWAL_INTERVAL_MS: Final = 10_000
# Pause after a failed registration or renewal; three fit into the registration's life
# after a renewal that was due has failed. In milliseconds.
REGISTRATION_RETRY_MS: Final = 2_500


class StoreCalls(NamedTuple):
    """Calls to the store, as the adapter offers them.

    Each raises `PlatformUnreachableError` when it fails.

    Attributes
    ----------
    read_all : callable
        Takes the longest wait for a page in milliseconds; returns a `Listing`.
    watch : callable
        Takes a revision and a wait in milliseconds; returns `Changes`, or None when
        the history since that revision is no longer there.
    register : callable
        Takes a life in milliseconds; enters this daemon for so long.
    renew : callable
        Extends the registration; returns False when it has lapsed.
    unregister : callable
        Takes the registration back.
    decode : callable
        Turns a change into an event; None when it is of no concern.
    """

    read_all: Callable[[int], store_view.Listing]
    watch: Callable[[int, int], store.Changes | None]
    register: Callable[[int], None]
    renew: Callable[[], bool]
    unregister: Callable[[], None]
    decode: store_view.DecodeChange


class StoreFeed:
    """Keeps the daemon's view of the store up to date.

    Parameters
    ----------
    source : Source
        Calls to the store.
    view : View
        What is kept up to date.
    feed : callable
        Takes events about the store itself.
    clock : Clock
        Source of time.
    is_needed : callable
        Tells whether this daemon must follow the store itself.
    pace : callable
        Returns how this daemon follows the store at the moment.
    """

    def __init__(
        self,
        calls: StoreCalls,
        view: store_view.StoreView,
        handle_event: store_view.HandleEvent,
        clock: clock_state.Clock,
        is_needed: Callable[[], bool],
        pace: Callable[[], store_watchers.WatchTiming],
    ) -> None:
        self._calls = calls
        self._view = view
        self._handle_event = handle_event
        self._now_ms = clock.monotonic_ms
        self._is_needed = is_needed
        self._pace = pace
        self._needed_since_ms: int | None = None
        self._failures = 0
        self._lost = False
        self._needs_listing = True
        self._listing_timeout_ms = FIRST_LISTING_TIMEOUT_MS

    def start(self) -> None:
        """Begin to follow the store."""
        eventlet.spawn_n(self._follow)
        eventlet.spawn_n(self._keep_registered)

    def stop(self) -> None:
        """Take the registration back."""
        try:
            self._calls.unregister()
        except errors.PlatformUnreachableError as error:
            # It lapses by itself.
            self._handle_event(events.StoreReached(False, f"unregister: {error}"))

    def _follow(self) -> None:
        while True:
            if self._view.listed and not self._must_follow():
                eventlet.sleep(IDLE_CHECK_INTERVAL_MS / 1000)
                continue
            try:
                self._follow_once()
            except errors.PlatformUnreachableError as error:
                self._view.mark_unconfirmed()
                self._record_failure(str(error))
                eventlet.sleep(self._retry_pause_ms() / 1000)
            else:
                self._record_success()
                eventlet.sleep(WATCH_PAUSE_MS / 1000)

    def _must_follow(self) -> bool:
        if not self._is_needed():
            self._needed_since_ms = None
            return False
        now_ms = self._now_ms()
        if self._needed_since_ms is None:
            self._needed_since_ms = now_ms
        return now_ms - self._needed_since_ms >= self._pace().fallback_delay_ms

    def _follow_once(self) -> None:
        if self._needs_listing:
            listing = self._read_all()
            self._needs_listing = False
            self._view.apply_listing(listing)
            self._view.apply_confirmed((), listing.revision, self._now_ms())
            return
        changes = self._calls.watch(self._view.revision, self._pace().wait_ms)
        if changes is None:
            self._needs_listing = True
            return
        self._view.apply_confirmed(changes.changes, changes.revision, self._now_ms())

    def _read_all(self) -> store_view.Listing:
        timeout_ms = self._listing_timeout_ms
        self._listing_timeout_ms = min(LONGEST_LISTING_TIMEOUT_MS, 2 * timeout_ms)
        listing = self._calls.read_all(timeout_ms)
        self._listing_timeout_ms = FIRST_LISTING_TIMEOUT_MS
        return listing

    def _keep_registered(self) -> None:
        registered = False
        while True:
            try:
                if not registered or not self._calls.renew():
                    self._calls.register(REGISTRATION_LIFETIME_MS)
                registered = True
            except errors.PlatformUnreachableError as error:
                self._record_failure(str(error))
                eventlet.sleep(REGISTRATION_RETRY_MS / 1000)
            else:
                eventlet.sleep(RENEWAL_INTERVAL_MS / 1000)

    def _retry_pause_ms(self) -> int:
        pace = self._pace()
        doubled = pace.retry_ms * 2 ** min(self._failures - 1, 10)
        return min(pace.maximum_retry_ms, doubled)

    def _record_failure(self, reason: str) -> None:
        self._failures += 1
        if self._failures >= FAILURES_UNTIL_LOST and not self._lost:
            self._lost = True
            self._handle_event(events.StoreReached(False, reason))

    def _record_success(self) -> None:
        self._failures = 0
        if self._lost:
            self._lost = False
            self._handle_event(events.StoreReached(True, "answered"))
