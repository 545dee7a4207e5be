"""A token of a client account's quota."""

from typing import NamedTuple


class Token(NamedTuple):
    """The right to send one request of an account to leaves.

    Attributes
    ----------
    account : str
        Name of the account.
    asked_ms : int
        When it was asked for, by this daemon's monotonic clock.
    """

    account: str
    asked_ms: int
