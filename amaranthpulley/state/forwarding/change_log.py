"""Log of the latest change of every known key of the store."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from amaranthpulley.state import store

# Deletions that are kept; a daemon that is further behind gets a complete listing.
MAXIMUM_DELETIONS: Final = 2_000


class Excerpt(NamedTuple):
    """The changes after a revision.

    Attributes
    ----------
    changes : tuple of Change
        The latest change of each key, in ascending order of revision.
    revision : int
        Revision after which the next excerpt starts.
    complete : bool
        Whether these are all keys, so that any other key does not exist.
    """

    changes: tuple[store.Change, ...]
    revision: int
    complete: bool


class ChangeLog:
    """Keys with their latest values and revisions, including recent deletions."""

    def __init__(self) -> None:
        self._changes: dict[str, store.Change] = {}
        self._revision = 0
        # Deletions up to this revision may have been discarded.
        self._horizon = 0
        self._deletions = 0

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""
        return self._revision

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        self._revision = max(self._revision, revision)

    def add(self, change: store.Change) -> bool:
        """Add a change; return False if it is not newer than the known one.

        `revision` stays as it is, since changes of other keys may be missing; see
        `advance`.
        """
        known = self._changes.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        # Reinserted at the end to keep the order of arrival.
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        if change.value is None:
            self._deletions += 1
            self._discard_deletions()
        return True

    def missing_from(self, keys: Iterable[str], revision: int) -> list[store.Change]:
        """Return deletions of the known keys that are missing from a listing.

        Parameters
        ----------
        keys : iterable of str
            All keys of a complete listing.
        revision : int
            Revision of the listing; keys with later changes are skipped.
        """
        listed = set(keys)
        return [
            store.Change(change.key, revision, None)
            for change in self._changes.values()
            if change.value is not None
            and change.revision < revision
            and change.key not in listed
        ]

    def after(self, revision: int) -> Excerpt:
        """Return the changes after a revision."""
        complete = revision < self._horizon or revision == 0
        changes = sorted(
            (
                change
                for change in self._changes.values()
                if (complete and change.value is not None)
                or (not complete and change.revision > revision)
            ),
            key=lambda change: change.revision,
        )
        return Excerpt(tuple(changes), self._revision, complete)

    def _discard_deletions(self) -> None:
        if self._deletions <= MAXIMUM_DELETIONS:
            return
        self._horizon = max(change.revision for change in self._changes.values())
        self._changes = {
            key: change
            for key, change in self._changes.items()
            if change.value is not None
        }
        self._deletions = 0
