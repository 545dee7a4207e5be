"""Leaves that were lost while they ran a request, by the request's fingerprint."""

import collections
from typing import Final, NamedTuple

# Fingerprints that are kept; the oldest is dropped.
MAXIMUM_FINGERPRINTS: Final = 2_000
# Losses whose end is kept; the oldest ends at once.
MAXIMUM_ENDS: Final = 4_000


class Loss(NamedTuple):
    """One start of a leaf that was lost while it ran a request.

    Attributes
    ----------
    fingerprint : int
        Fingerprint of the request.
    start : int
        Hash of the leaf's start, the same at every daemon.
    later : bool
        Whether the request was sent when an earlier loss under it was known.
    sharded : bool
        Whether the request goes to a leaf of each shard.
    """

    fingerprint: int
    start: int
    later: bool = False
    sharded: bool = False


class LossTable:
    """Losses that this daemon has seen or learned from other daemons."""

    def __init__(self) -> None:
        self._losses: dict[int, dict[int, Loss]] = {}
        # By fingerprint, when the latest loss became known.
        self._latest_ms: dict[int, int] = {}
        # By fingerprint, the key of the request that tests a refused one.
        self.trials: dict[int, int] = {}
        # Ends of losses, in the order in which they were set.
        self._ends_ms: collections.deque[tuple[int, Loss]] = collections.deque()
        # Losses that the store has.
        self._stored: set[Loss] = set()

    def add(self, loss: Loss, now_ms: int) -> bool:
        """Add a loss, or replace one that was not `later`; return whether it is new."""
        losses = self._losses.get(loss.fingerprint)
        if losses is None:
            if len(self._losses) >= MAXIMUM_FINGERPRINTS:
                self.clear(next(iter(self._losses)))
            losses = self._losses[loss.fingerprint] = {}
        known = losses.get(loss.start)
        if known is not None and known.later >= loss.later:
            return False
        losses[loss.start] = loss
        self._latest_ms[loss.fingerprint] = now_ms
        return True

    def latest_ms(self, fingerprint: int) -> int:
        """Return when the latest loss under a fingerprint became known."""
        return self._latest_ms[fingerprint]

    def has(self, fingerprint: int, start: int) -> bool:
        """Return whether a start of a leaf was lost under a fingerprint."""
        return start in self._losses.get(fingerprint, {})

    def all_sharded(self, fingerprint: int) -> bool:
        """Return whether all losses under a fingerprint are of sharded requests."""
        losses = self._losses.get(fingerprint, {}).values()
        return all(loss.sharded for loss in losses)

    def end_at(self, loss: Loss, end_ms: int) -> None:
        """Let a loss end at a time, unless the store has it then."""
        if len(self._ends_ms) >= MAXIMUM_ENDS:
            self.discard(self._ends_ms.popleft()[1])
        self._ends_ms.append((end_ms, loss))

    def discard_ended(self, now_ms: int) -> None:
        """Remove the losses that have ended and are not in the store."""
        for _ in range(len(self._ends_ms)):
            end_ms, loss = self._ends_ms.popleft()
            if end_ms > now_ms:
                self._ends_ms.append((end_ms, loss))
            elif loss not in self._stored:
                self.discard(loss)

    def set_stored(self, loss: Loss, stored: bool) -> None:
        """Record whether the store has a loss."""
        if stored:
            self._stored.add(loss)
        else:
            self._stored.discard(loss)

    def discard(self, loss: Loss) -> None:
        """Remove a loss, if it is known."""
        losses = self._losses.get(loss.fingerprint)
        if losses is not None and losses.get(loss.start) == loss:
            del losses[loss.start]
            if not losses:
                self.clear(loss.fingerprint)

    def clear(self, fingerprint: int) -> tuple[Loss, ...]:
        """Remove and return the losses under a fingerprint."""
        self._latest_ms.pop(fingerprint, None)
        self.trials.pop(fingerprint, None)
        return tuple(sorted(self._losses.pop(fingerprint, {}).values()))

    def count(self, fingerprint: int) -> int:
        """Return the number of losses that happened one after the other.

        Leaves that were lost before any loss was known may have been lost together,
        for a reason that has nothing to do with the request. They count as one.
        """
        losses = self._losses.get(fingerprint, {}).values()
        later_count = sum(loss.later for loss in losses)
        return later_count + (later_count < len(losses))
