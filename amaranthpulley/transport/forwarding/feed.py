"""Follows the platform's store: one listing, then a watch, and the own registration.

A listing is no snapshot, so the watch begins at the revision of its first page. When
the store has dropped that part of its history, everything is listed again.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

import eventlet

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.transport import errors

# Longest wait of one watch: the store allows 30 s, and a connection that has gone
# silent is noticed within this time and the margin. In milliseconds.
WATCH_MS: Final = 10_000
WATCH_MARGIN_MS: Final = 1_500
# Pause between two watches, so that a burst of changes comes in one answer; a small
# part of the 3 s within which a change must be in force. In milliseconds.
GATHER_MS: Final = 150
# Pauses after a failed call, in milliseconds.
FIRST_RETRY_MS: Final = 100
LONGEST_RETRY_MS: Final = 800
# Failures in a row after which the store counts as lost.
FAILURES_TO_LOSS: Final = 2
# Life of the registration, and how often it is renewed, in milliseconds.
REGISTRATION_MS: Final = 9_000
RENEW_MS: Final = 3_000

Feed = Callable[[events.Event], None]


class Listing(NamedTuple):
    """All that the store holds for this system.

    Attributes
    ----------
    events : tuple of Event
        What the items say, with `DirectoryListed` last.
    revision : int
        Where a watch goes on.
    """

    events: tuple[events.Event, ...]
    revision: int


class Changes(NamedTuple):
    """What has changed since a revision.

    Attributes
    ----------
    events : tuple of Event
        The changes, oldest first.
    revision : int
        Where the next watch goes on.
    """

    events: tuple[events.Event, ...]
    revision: int


class Source(NamedTuple):
    """Calls to the store, as the adapter offers them.

    Each raises `PlatformUnreachableError` when it fails.

    Attributes
    ----------
    read_all : callable
        Returns a `Listing`.
    watch : callable
        Takes a revision and a wait in milliseconds; returns `Changes`, or None when
        the history since that revision is no longer there.
    register : callable
        Takes a life in milliseconds; enters this daemon for so long.
    renew : callable
        Extends the registration; returns False when it has lapsed.
    unregister : callable
        Takes the registration back.
    """

    read_all: Callable[[], Listing]
    watch: Callable[[int, int], Changes | None]
    register: Callable[[int], None]
    renew: Callable[[], bool]
    unregister: Callable[[], None]


class StoreFeed:
    """Keeps the daemon's view of the store up to date.

    Parameters
    ----------
    source : Source
        Calls to the store.
    feed : callable
        Takes the events.
    """

    def __init__(self, source: Source, feed: Feed) -> None:
        self._source = source
        self._feed = feed
        self._failures = 0
        self._lost = False
        self._revision: int | None = None

    def start(self) -> None:
        """Begin to follow the store."""
        eventlet.spawn_n(self._follow)
        eventlet.spawn_n(self._keep_registered)

    def stop(self) -> None:
        """Take the registration back."""
        try:
            self._source.unregister()
        except errors.PlatformUnreachableError as error:
            # It lapses by itself.
            self._feed(events.StoreReached(False, f"unregister: {error}"))

    def _follow(self) -> None:
        while True:
            try:
                self._follow_once()
            except errors.PlatformUnreachableError as error:
                self._note_failure(str(error))
                eventlet.sleep(self._pause_ms() / 1000)
            else:
                self._note_success()
                eventlet.sleep(GATHER_MS / 1000)

    def _follow_once(self) -> None:
        if self._revision is None:
            listing = self._source.read_all()
            found, self._revision = listing.events, listing.revision
        else:
            changes = self._source.watch(self._revision, WATCH_MS)
            if changes is None:
                self._revision = None
                return
            found, self._revision = changes.events, changes.revision
        for event in found:
            self._feed(event)

    def _keep_registered(self) -> None:
        registered = False
        while True:
            try:
                if not registered or not self._source.renew():
                    self._source.register(REGISTRATION_MS)
                registered = True
            except errors.PlatformUnreachableError as error:
                self._note_failure(str(error))
                eventlet.sleep(self._pause_ms() / 1000)
            else:
                eventlet.sleep(RENEW_MS / 1000)

    def _pause_ms(self) -> int:
        doubled = FIRST_RETRY_MS * 2 ** min(self._failures, 10)
        return min(LONGEST_RETRY_MS, doubled)

    def _note_failure(self, reason: str) -> None:
        self._failures += 1
        if self._failures >= FAILURES_TO_LOSS and not self._lost:
            self._lost = True
            self._feed(events.StoreReached(False, reason))

    def _note_success(self) -> None:
        self._failures = 0
        if self._lost:
            self._lost = False
            self._feed(events.StoreReached(True, "answered"))
