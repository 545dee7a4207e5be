"""Operations of the platform's key-value store and their results.

The store increments its revision with every write; 0 stands for a key that does not
exist. `StoreFailed` with `unknown` set means that a write may have taken effect
although its reply was lost.
"""

from typing import Final, NamedTuple

# Numbers of revisions in one era.
_ERA_SPAN: Final = 2**44


def revision_in(era: int, number: int) -> int:
    """Return a revision that rises over the eras of a store.

    A store that comes back from a copy gives numbers out again, in another era.
    """
    return era * _ERA_SPAN + number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // _ERA_SPAN


def number_of(revision: int) -> int:
    """Return the number that the store gave to a revision."""
    return revision % _ERA_SPAN


class Get(NamedTuple):
    """Read one key."""

    key: str


class ListKeys(NamedTuple):
    """List the keys with a prefix, without their values, after a given key.

    Attributes
    ----------
    prefix : str
        Prefix of the keys.
    after : str
        Only greater keys are listed.
    limit : int
        Maximum number of keys in the result.
    """

    prefix: str
    after: str = ""
    limit: int = 1_000


class Swap(NamedTuple):
    """Write a key if its revision is the expected one.

    Attributes
    ----------
    key : str
        The key to write.
    expected_revision : int
        The revision that the key must have; 0 when it must not exist.
    value : bytes or None
        The new value, at most a megabyte; None deletes the key.
    lease_id : str or None
        The lease with which the key is deleted when it lapses.
    """

    key: str
    expected_revision: int
    value: bytes | None
    lease_id: str | None = None


class Watch(NamedTuple):
    """Wait for a change, after a revision, of a key with a prefix."""

    prefix: str
    after_revision: int
    wait_ms: int


class GrantLease(NamedTuple):
    """Create a lease; the store counts its time from the arrival of the call."""

    lease_id: str
    ttl_ms: int


class RenewLease(NamedTuple):
    """Restart the time of a lease."""

    lease_id: str


class RevokeLease(NamedTuple):
    """End a lease at once and delete its keys."""

    lease_id: str


Operation = Get | ListKeys | Swap | Watch | GrantLease | RenewLease | RevokeLease


class Value(NamedTuple):
    """The result of `Get`; value None and revision 0 when there is no such key."""

    value: bytes | None
    revision: int


class Keys(NamedTuple):
    """The result of `ListKeys`: keys in order, and the store's revision."""

    keys: tuple[str, ...]
    revision: int


class Swapped(NamedTuple):
    """The result of `Swap`; on failure `revision` is the key's current one."""

    succeeded: bool
    revision: int


class Change(NamedTuple):
    """One changed key; value None when it was deleted."""

    key: str
    revision: int
    value: bytes | None


class Changes(NamedTuple):
    """The result of `Watch`: the last state of each changed key.

    Attributes
    ----------
    changes : tuple of Change
        In ascending order of revision; empty when the wait ended without a change.
    revision : int
        The revision after which the next watch continues.
    """

    changes: tuple[Change, ...]
    revision: int


class LeaseState(NamedTuple):
    """The result of the lease operations; not held once it has lapsed."""

    held: bool
    ttl_ms: int


class StoreFailed(NamedTuple):
    """The store refused a call or did not answer.

    Attributes
    ----------
    reason : str
        Description for the log.
    unknown : bool
        True when a write may have taken effect.
    """

    reason: str
    unknown: bool


Result = Value | Keys | Swapped | Changes | LeaseState | StoreFailed
