"""Log of the latest change of every known key of the store."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from amaranthpulley.state import store

# Deletions that are kept; a daemon that is further behind gets a complete listing.
MAXIMUM_DELETIONS: Final = 2_000
# Earlier writes of a key by which an item of a restored store is recognised as old.
MAXIMUM_PAST_WRITES: Final = 4


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
        # By key, hashes of the writes before the latest change.
        self._past: dict[str, tuple[int, ...]] = {}

    @property
    def revision(self) -> int:
        """Revision up to which all changes are known."""
        return self._revision

    def advance(self, revision: int) -> None:
        """Record that all changes up to a revision are known."""
        self._revision = max(self._revision, revision)

    def add(self, change: store.Change) -> bool:
        """Add a change; return False if it says nothing new.

        That is one that is not newer than the known one, or the known one in another
        era. `revision` stays as it is, since changes of other keys may be missing; see
        `advance`.
        """
        known = self._changes.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        # Reinserted at the end to keep the order of arrival.
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        if known is not None:
            if _is_copy(change, known):
                return False
            self._remember(known)
        if change.value is None:
            self._deletions += 1
            self._discard_deletions()
        return True

    def without_superseded(
        self, listed: Iterable[store.Change]
    ) -> tuple[store.Change, ...]:
        """Return the items of a restored store that are not older than the known ones.

        Items that are as they were known show up to which revision the copy goes: an
        item up to there that differs from the known one was written before it.
        """
        listed = tuple(listed)
        copied = max(
            (
                store.number_of(change.revision)
                for change in listed
                if _is_copy(change, self._changes.get(change.key))
            ),
            default=0,
        )
        return tuple(
            change for change in listed if not self._is_superseded(change, copied)
        )

    def _is_superseded(self, change: store.Change, copied: int) -> bool:
        known = self._changes.get(change.key)
        if known is None or _is_copy(change, known):
            return False
        if store.number_of(change.revision) <= copied:
            return True
        return _hash_of(change) in self._past.get(change.key, ())

    def _remember(self, change: store.Change) -> None:
        past = (*self._past.get(change.key, ()), _hash_of(change))
        self._past[change.key] = past[-MAXIMUM_PAST_WRITES:]

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
        self._past = {
            key: past for key, past in self._past.items() if key in self._changes
        }
        self._deletions = 0


def _hash_of(change: store.Change) -> int:
    return hash((store.number_of(change.revision), change.value))


def _is_copy(change: store.Change, known: store.Change | None) -> bool:
    """Return whether a change is the known one, or what the store restored of it."""
    return (
        known is not None
        and store.number_of(change.revision) == store.number_of(known.revision)
        and change.value == known.value
    )
