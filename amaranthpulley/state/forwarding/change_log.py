"""The latest change of every key of the store that this daemon knows of."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from amaranthpulley.state import store

# Deletions that are remembered; a daemon that is further behind gets everything anew.
MAXIMUM_DELETIONS: Final = 2_000


class Excerpt(NamedTuple):
    """What has changed after a revision.

    Attributes
    ----------
    changes : tuple of Change
        The latest change of each key, in ascending order of revision.
    revision : int
        Where the next excerpt goes on.
    complete : bool
        These are all keys: what is not among them does not exist.
    """

    changes: tuple[store.Change, ...]
    revision: int
    complete: bool


class ChangeLog:
    """Keys with their latest values and revisions, deleted ones for a while."""

    def __init__(self) -> None:
        self._changes: dict[str, store.Change] = {}
        self._revision = 0
        # Deletions up to this revision may have been forgotten.
        self._horizon = 0
        self._deletions = 0

    @property
    def revision(self) -> int:
        """Up to where the changes are known."""
        return self._revision

    def advance(self, revision: int) -> None:
        """Note that everything up to a revision is known."""
        self._revision = max(self._revision, revision)

    def take(self, change: store.Change) -> bool:
        """Enter a change; return False when it is not newer than what is known.

        It says nothing of other keys, so that `revision` stays; see `advance`.
        """
        known = self._changes.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        # At the end, so that the order stays that of the arrival.
        self._changes.pop(change.key, None)
        self._changes[change.key] = change
        if change.value is None:
            self._deletions += 1
            self._forget_deletions()
        return True

    def missing_from(self, keys: Iterable[str], revision: int) -> list[store.Change]:
        """Return deletions of the keys that a complete listing did not hold.

        Parameters
        ----------
        keys : iterable of str
            What the listing held.
        revision : int
            The revision of the listing; later changes are left alone.
        """
        held = set(keys)
        return [
            store.Change(change.key, revision, None)
            for change in self._changes.values()
            if change.value is not None
            and change.revision < revision
            and change.key not in held
        ]

    def after(self, revision: int) -> Excerpt:
        """Return what has changed after a revision."""
        complete = revision < self._horizon or revision == 0
        wanted = sorted(
            (
                change
                for change in self._changes.values()
                if (complete and change.value is not None)
                or (not complete and change.revision > revision)
            ),
            key=lambda change: change.revision,
        )
        return Excerpt(tuple(wanted), self._revision, complete)

    def _forget_deletions(self) -> None:
        if self._deletions <= MAXIMUM_DELETIONS:
            return
        self._horizon = max(change.revision for change in self._changes.values())
        self._changes = {
            key: change
            for key, change in self._changes.items()
            if change.value is not None
        }
        self._deletions = 0
