"""Follows the platform's store by a listing and watches, and registers the daemon.

A listing is not a snapshot, so the watch starts at the revision of its first page. If
the store no longer has the history since that revision, all keys are listed again.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import eventlet
import eventlet.event

from amaranthpulley.coordination.forwarding import events, store_watchers
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import store
from amaranthpulley.transport import errors
from amaranthpulley.transport.forwarding import (
    loss_publisher,
    rollout_publisher,
    store_view,
)

# Timeout of a page of a listing, doubled after each failure. It is short, so that a
# call without an answer is soon retried: a daemon serves no requests before its first
# listing. A store that is 60 times slower than usual still answers in 240 ms.
FIRST_LISTING_TIMEOUT_MS: Final = 300
LONGEST_LISTING_TIMEOUT_MS: Final = 1_000
# Consecutive failures after which the store counts as lost.
FAILURES_UNTIL_LOST: Final = 2
# How often the registration's lease is renewed.
RENEWAL_INTERVAL_MS: Final = 10_000
# Pause after a failed registration or renewal. Several retries fit into the 20 s of the
# lifetime that remain after a failed renewal.
REGISTRATION_RETRY_MS: Final = 2_500
# Time after the return of a restored store in which operators, leaves and daemons have
# written again what it had lost. Then it is listed once more.
REWRITTEN_MS: Final = 2_500


class StoreCalls(NamedTuple):
    """Calls to the store, supplied by the platform adapter.

    Each raises `PlatformUnreachableError` when it fails.

    Attributes
    ----------
    read_all : callable
        Takes the timeout of a page in milliseconds; returns a `Listing`.
    watch : callable
        Takes a revision and a wait in milliseconds; returns `Changes`, or None when
        the store does not have the history since that revision.
    register : callable
        Takes a lifetime in milliseconds; registers this daemon for that time.
    renew : callable
        Extends the registration, also that of a previous life if `read_all` found it;
        returns False when there is none or it has expired.
    publish_grants : callable
        Writes into the registration that this daemon grants tokens of quotas; returns
        False if the registration has ended.
    unregister : callable
        Ends the registration.
    losses : LossCalls
        Calls that publish and withdraw losses.
    rollouts : RolloutCalls
        Calls that write the steps of roll-outs and read them back.
    decode : callable
        Turns a change into an event; None when the change is not used.
    """

    read_all: Callable[[int], store_view.Listing]
    watch: Callable[[int, int], store.Changes | None]
    register: Callable[[int], None]
    renew: Callable[[], bool]
    publish_grants: Callable[[], bool]
    unregister: Callable[[], None]
    losses: loss_publisher.LossCalls
    rollouts: rollout_publisher.RolloutCalls
    decode: store_view.DecodeChange


class StoreFeed:
    """Keeps the daemon's view of the store up to date.

    Parameters
    ----------
    calls : StoreCalls
        Calls to the store.
    view : StoreView
        The copy of the store that is kept up to date.
    handle_event : callable
        Called with events about the store's reachability.
    clock : Clock
        Source of time.
    is_needed : callable
        Returns whether this daemon must watch the store itself.
    timing : callable
        Returns the current waits and retry pauses for store calls.
    """

    def __init__(
        self,
        calls: StoreCalls,
        view: store_view.StoreView,
        handle_event: store_view.HandleEvent,
        clock: clock_state.Clock,
        is_needed: Callable[[], bool],
        timing: Callable[[], store_watchers.WatchTiming],
    ) -> None:
        self._calls = calls
        self._view = view
        self._handle_event = handle_event
        self._now_ms = clock.monotonic_ms
        self._is_needed = is_needed
        self._timing = timing
        self._needed_since_ms: int | None = None
        self._failures = 0
        self._lost = False
        self._needs_listing = True
        # When a restored store is listed again.
        self._relisting_ms: int | None = None
        # Whether the registration must be renewed now, and whether it has yet to say
        # that this daemon grants tokens.
        self._renews = False
        self._grants_due = False
        # Whether the registration has ended for good.
        self._stopped = False
        self._first_listing = eventlet.event.Event()
        self._registration_due = eventlet.event.Event()
        self._listing_timeout_ms = FIRST_LISTING_TIMEOUT_MS

    def start(self) -> None:
        """Start following the store and keep the daemon registered."""
        eventlet.spawn_n(self._follow)
        eventlet.spawn_n(self._keep_registered)

    def stop(self) -> None:
        """End the registration, so that other daemons stop relying on this one."""
        self._stopped = True
        try:
            self._calls.unregister()
        except errors.PlatformUnreachableError as error:
            # The lease expires without a renewal.
            self._handle_event(events.StoreReached(False, f"unregister: {error}"))

    def _follow(self) -> None:
        while True:
            if self._view.listed and not self._must_follow():
                eventlet.sleep(store_watchers.FALLBACK_CHECK_MS / 1000)
                continue
            started_ms = self._now_ms()
            try:
                self._follow_once()
            except errors.PlatformUnreachableError as error:
                self._view.mark_unconfirmed()
                self._record_failure(str(error))
                pause_ms = self._retry_pause_ms()
                waited_ms = self._now_ms() - started_ms
                self._handle_event(
                    events.StoreReadFailed(str(error), waited_ms, pause_ms)
                )
                eventlet.sleep(pause_ms / 1000)
            else:
                self._record_success()
                eventlet.sleep(store_watchers.WATCH_PAUSE_MS / 1000)

    def _must_follow(self) -> bool:
        if not self._is_needed():
            self._needed_since_ms = None
            return False
        now_ms = self._now_ms()
        if self._needed_since_ms is None:
            self._needed_since_ms = now_ms
        return now_ms - self._needed_since_ms >= self._timing().fallback_delay_ms

    def _follow_once(self) -> None:
        if self._relisting_ms is not None and self._now_ms() >= self._relisting_ms:
            self._needs_listing, self._relisting_ms = True, None
        if self._needs_listing:
            listing = self._read_all()
            self._needs_listing = False
            if not self._first_listing.ready():
                self._first_listing.send()
            if self._view.is_restored(listing.revision):
                self._relisting_ms = self._now_ms() + REWRITTEN_MS
                self._view.apply_restored_listing(listing)
            else:
                self._view.apply_listing(listing)
            self._view.apply_confirmed((), listing.revision, self._now_ms())
            return
        wait_ms = self._timing().recheck_wait_ms(self._failures)
        if self._relisting_ms is not None:
            wait_ms = max(0, min(wait_ms, self._relisting_ms - self._now_ms()))
        changes = self._calls.watch(self._view.revision, wait_ms)
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

    def renew_registration(self) -> None:
        """Renew the registration now, because it is missing in the store."""
        self._renews = True
        self._wake_registration()

    def publish_grants(self) -> None:
        """Write into the registration that this daemon grants tokens of quotas."""
        self._grants_due = True
        self._wake_registration()

    def _wake_registration(self) -> None:
        if not self._stopped and not self._registration_due.ready():
            self._registration_due.send()

    def _keep_registered(self) -> None:
        # The listing finds the registration of the previous life, which is renewed.
        self._first_listing.wait()
        while not self._stopped:
            until_ms = self._now_ms() + store_watchers.REGISTRATION_LIFETIME_MS
            self._renews = False
            try:
                renewed = self._calls.renew()
                if not renewed:
                    # The right was confirmed under the registration that has ended.
                    self._grants_due = False
                    self._calls.register(store_watchers.REGISTRATION_LIFETIME_MS)
            except errors.PlatformUnreachableError as error:
                self._record_failure(str(error))
                eventlet.sleep(REGISTRATION_RETRY_MS / 1000)
            else:
                self._handle_event(events.Registered(until_ms, not renewed))
                self._await_renewal()

    def _await_renewal(self) -> None:
        """Wait until the next renewal; write the right to grant meanwhile."""
        due_ms = self._now_ms() + RENEWAL_INTERVAL_MS
        while not self._renews and not self._stopped:
            if self._grants_due:
                self._write_grants()
            left_ms = due_ms - self._now_ms()
            if left_ms <= 0:
                return
            with eventlet.Timeout(left_ms / 1000, False):
                self._registration_due.wait()
            self._registration_due = eventlet.event.Event()

    def _write_grants(self) -> None:
        """Write the right to grant; after a failure again after the next renewal."""
        try:
            self._calls.publish_grants()
        except errors.PlatformUnreachableError as error:
            self._record_failure(str(error))
        else:
            self._grants_due = False

    def _retry_pause_ms(self) -> int:
        timing = self._timing()
        doubled = timing.retry_ms * 2 ** min(self._failures - 1, 10)
        return min(timing.maximum_retry_ms, doubled)

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
