"""The daemon's copy of the store's keys, and the events that its changes cause."""

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
        Revision from which a watch continues.
    """

    changes: tuple[store.Change, ...]
    revision: int


class StoreView:
    """The latest known change of every key, from the store or from other daemons.

    Parameters
    ----------
    decode : callable
        Turns a change into an event; None when the change is not used.
    handle_event : callable
        Called with each event.
    """

    def __init__(self, decode: DecodeChange, handle_event: HandleEvent) -> None:
        self._decode = decode
        self._handle_event = handle_event
        self._change_log = change_log.ChangeLog()
        self._listeners: list[Callable[[], None]] = []
        self.listed = False
        # When the store last answered this daemon (monotonic clock); None after a
        # failed call.
        self.confirmed_ms: int | None = None

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""
        return self._change_log.revision

    def is_restored(self, revision: int) -> bool:
        """Return whether a revision is of a later era than the known ones."""
        return self.listed and store.era_of(revision) > store.era_of(self.revision)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after new changes and whenever `confirmed_ms` is updated."""
        self._listeners.append(listener)

    def after(self, revision: int) -> change_log.Excerpt:
        """Return the changes after a revision."""
        return self._change_log.after(revision)

    def apply(self, changes: Iterable[store.Change], revision: int) -> bool:
        """Apply changes up to a revision; return whether any of them was new."""
        previous = self.revision
        new_changes = [change for change in changes if self._change_log.add(change)]
        self._change_log.advance(revision)
        if self.listed and store.era_of(revision) > store.era_of(previous):
            self._handle_event(
                events.StoreRestored(
                    store.era_of(revision),
                    store.number_of(previous),
                    store.number_of(revision),
                )
            )
        for change in new_changes:
            event = self._event_of(change)
            if event is not None:
                self._handle_event(event)
        if new_changes:
            self._notify_listeners()
        return bool(new_changes)

    def _event_of(self, change: store.Change) -> events.Event | None:
        try:
            return self._decode(change)
        except Exception as error:
            # One item must not keep the others from being followed.
            return events.ItemUnreadable(change.key, repr(error), None)

    def apply_confirmed(
        self, changes: Iterable[store.Change], revision: int, now_ms: int
    ) -> None:
        """Apply changes that this daemon received from the store itself.

        Listeners are notified even without changes, so that followers learn how
        recently the store confirmed this view.
        """
        self.confirmed_ms = now_ms
        if not self.apply(changes, revision):
            self._notify_listeners()

    def mark_unconfirmed(self) -> None:
        """Record that the store did not answer, and notify the followers at once."""
        if self.confirmed_ms is not None:
            self.confirmed_ms = None
            self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    def apply_listing(self, listing: Listing) -> None:
        """Apply a full listing; known keys that are not in it have been deleted."""
        keys = [change.key for change in listing.changes]
        deleted = self._change_log.missing_from(keys, listing.revision)
        self._finish_listing((*listing.changes, *deleted), listing.revision)

    def apply_restored_listing(self, listing: Listing) -> None:
        """Apply the first listing of a store that has come back from a copy.

        It deletes nothing, and items that were written before the known ones are left
        out: what the store has lost is written again soon. The next listing counts as
        it is.
        """
        changes = self._change_log.without_superseded(listing.changes)
        self._finish_listing(changes, listing.revision)

    def _finish_listing(self, changes: Iterable[store.Change], revision: int) -> None:
        self.apply(changes, revision)
        self.listed = True
        self._handle_event(events.DirectoryListed())
