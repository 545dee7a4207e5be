"""The view of the store: changes in, events out, excerpts for other daemons."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.state import store
from amaranthpulley.state.forwarding import change_log

HandleEvent = Callable[[events.Event], None]
DecodeChange = Callable[[store.Change], events.Event | None]


class Listing(NamedTuple):
    """All keys of the store.

    Attributes
    ----------
    changes : tuple of Change
        Each key's latest change.
    revision : int
        Where a watch goes on.
    """

    changes: tuple[store.Change, ...]
    revision: int


class StoreView:
    """What is known of the store, from whoever told it.

    Parameters
    ----------
    decode : callable
        Turns a change into an event; None when it is of no concern.
    feed : callable
        Takes the events.
    """

    def __init__(self, decode: DecodeChange, feed: HandleEvent) -> None:
        self._decode = decode
        self._feed = feed
        self._log = change_log.ChangeLog()
        self._listeners: list[Callable[[], None]] = []
        self.listed = False
        # When the store last answered this daemon, by the monotonic clock.
        self.confirmed_ms: int | None = None

    @property
    def revision(self) -> int:
        """Up to where the changes are known."""
        return self._log.revision

    def add_listener(self, react: Callable[[], None]) -> None:
        """Call a function after each batch of changes that told something new."""
        self._listeners.append(react)

    def after(self, revision: int) -> change_log.Excerpt:
        """Return what has changed after a revision."""
        return self._log.after(revision)

    def apply(self, changes: Iterable[store.Change], revision: int) -> bool:
        """Enter changes up to a revision; return whether any of them was new."""
        news = [change for change in changes if self._log.take(change)]
        self._log.advance(revision)
        for change in news:
            event = self._decode(change)
            if event is not None:
                self._feed(event)
        if news:
            self._tell()
        return bool(news)

    def apply_confirmed(
        self, changes: Iterable[store.Change], revision: int, now_ms: int
    ) -> None:
        """Enter what the store has just told this daemon itself.

        Followers are told in any case, so that they know how fresh their view is.
        """
        self.confirmed_ms = now_ms
        if not self.apply(changes, revision):
            self._tell()

    def mark_unconfirmed(self) -> None:
        """Note that the store fails this daemon, and let its followers know at once."""
        if self.confirmed_ms is not None:
            self.confirmed_ms = None
            self._tell()

    def _tell(self) -> None:
        for react in self._listeners:
            react()

    def apply_listing(self, listing: Listing) -> None:
        """Enter all keys; those that are not among them have been deleted."""
        keys = [change.key for change in listing.changes]
        deleted = self._log.missing_from(keys, listing.revision)
        self.apply((*listing.changes, *deleted), listing.revision)
        self.listed = True
        self._feed(events.DirectoryListed())
