"""Client accounts, from one version of the operators' configuration."""

from typing import NamedTuple


class Account(NamedTuple):
    """A client account.

    Attributes
    ----------
    name : str
        Stable name; leaves get it in place of the client's key.
    priority : int or None
        Rank of its requests, in place of the route's; None for the route's own.
    regions : frozenset of str
        Regions in which its requests may be served; empty for all.
    rate_per_s : float
        Requests a second that all daemons together accept; 0 for no limit.
    burst : float
        Requests that it may save up beyond its rate.
    """

    name: str
    priority: int | None
    regions: frozenset[str]
    rate_per_s: float
    burst: float


class SharedKeys(NamedTuple):
    """Keys that the configuration lists at two accounts.

    Attributes
    ----------
    holder : str
        Name of the account to which they belong, the first one in the list.
    other : str
        Name of the later account.
    keys : int
        Number of such keys.
    """

    holder: str
    other: str
    keys: int


class AccountTable(NamedTuple):
    """The accounts of a configuration.

    Attributes
    ----------
    by_name : dict
        Accounts by name; accounts that no key identifies are left out.
    names_by_key : dict
        Names of accounts by the digest of each of their keys.
    shared_keys : tuple of SharedKeys
        Keys that are listed at several accounts.
    """

    by_name: dict[str, Account]
    names_by_key: dict[bytes, str]
    shared_keys: tuple[SharedKeys, ...] = ()

    def holder_of(self, key_digest: bytes | None) -> Account | None:
        """Return the account that holds a key, or None for an unknown one."""
        name = self.names_by_key.get(key_digest) if key_digest is not None else None
        return None if name is None else self.by_name.get(name)
