"""Quotas of client accounts: tokens that this daemon spends, and those that it grants.

The rights are kept in memory only. A daemon that restarts grants and spends nothing
that its previous process knew of.
"""

import collections
from typing import Final, NamedTuple

from amaranthpulley.state.forwarding import (
    peer_messages,
    requests,
    retry_window,
    token_bucket,
)

# An account's arrivals at this daemon are counted over this time.
DEMAND_WINDOW_MS: Final = 1_000
# The previous process of a daemon ended at least this long before the next one has
# listed the store: the start of the interpreter and its imports take longer.
RESTART_MS: Final = 300
# An owner's denials of an account's token requests are counted over this time.
DENIAL_WINDOW_MS: Final = 1_000
# A process sends fewer messages in a millisecond. Its numbers begin at its start times
# this, so that a grant to its previous process is not taken for one of its own.
_NUMBERS_PER_MS: Final = 65_536


class Ask(NamedTuple):
    """A token request that has not been answered.

    Attributes
    ----------
    owner : str
        Name of the daemon that was asked.
    wanted : int
        Number of tokens.
    asked_ms : int
        Time of the request.
    answer_by_ms : int
        After this time another owner is asked.
    overdue : bool
        Whether that time has passed; a late grant is still accepted.
    postponed : bool
        Whether that time was moved because this daemon's loop was late.
    """

    owner: str
    wanted: int
    asked_ms: int
    answer_by_ms: int
    overdue: bool = False
    postponed: bool = False


class WaitingRequest(NamedTuple):
    """A request that waits for a token.

    Attributes
    ----------
    request : ForwardedRequest
        The request.
    until_ms : int
        Time at which it is refused.
    """

    request: requests.ForwardedRequest
    until_ms: int


class Grant(NamedTuple):
    """A grant that was sent, kept in case its request arrives again.

    Attributes
    ----------
    at_ms : int
        Time of the grant.
    message : TokenGrant
        The message.
    """

    at_ms: int
    message: peer_messages.TokenGrant


class AccountTokens:
    """An account's tokens and waiting requests at the daemon that spends them.

    Parameters
    ----------
    now_ms : int
        Time of its creation.
    """

    def __init__(self, now_ms: int) -> None:
        # Times at which the tokens were asked for, the oldest first.
        self.held: collections.deque[int] = collections.deque()
        self.waiting: dict[int, WaitingRequest] = {}
        self.asks: dict[int, Ask] = {}
        # By owner, when it has a token again.
        self.empty_until_ms: dict[str, int] = {}
        # Until when this account is known to be far over its quota.
        self.pressed_until_ms = now_ms
        # Number of token requests to owners in other regions, which are asked in turn.
        self.far_asks = 0
        self.demand = retry_window.RetryWindow(DEMAND_WINDOW_MS)
        self.used_ms = now_ms
        self.next_log_ms = now_ms


class Quotas:
    """Quotas at one daemon, as an owner and as one that spends.

    Parameters
    ----------
    started_ms : int
        Start of the process, by the monotonic clock.
    """

    def __init__(self, started_ms: int) -> None:
        self.accounts: dict[str, AccountTokens] = {}
        # By number of a token request, the name of its account.
        self.asked_for: dict[int, str] = {}
        # By key of a waiting request, the name of its account.
        self.waiting_for: dict[int, str] = {}
        # By owner, until when it is asked last.
        self.silent_until_ms: dict[str, int] = {}
        # As an owner: this daemon's part of each bucket, and its recent grants by
        # sender and number.
        self.buckets: dict[str, token_bucket.TokenBucket] = {}
        self.grants: dict[tuple[str, int], Grant] = {}
        # As an owner, its recent denials by account.
        self.denials: dict[str, retry_window.RetryWindow] = {}
        self.owners: dict[tuple[str, int], tuple[str, ...]] = {}
        # The claim to be counted by all daemons: its number, its time, the daemons that
        # have not confirmed it, and when the last one did.
        self.claim: int | None = None
        self.claimed_ms = started_ms
        # A dictionary, to go through them in turn.
        self.unconfirmed: dict[str, None] = {}
        self.confirmed_ms: int | None = None
        # Since when this daemon can only have lost accounts to others, not gained any.
        self.gained_ms = started_ms - RESTART_MS
        self._next_number = started_ms * _NUMBERS_PER_MS

    def next_number(self) -> int:
        """Return a number that no process of this daemon has used."""
        self._next_number += 1
        return self._next_number

    def add_waiting(self, name: str, waiting: WaitingRequest) -> None:
        """Add a request that waits for a token of an account."""
        key = waiting.request.incoming.key
        self.accounts[name].waiting[key] = waiting
        self.waiting_for[key] = name

    def remove_waiting(self, key: int) -> requests.ForwardedRequest | None:
        """Remove a waiting request; None if it does not wait."""
        name = self.waiting_for.pop(key, None)
        if name is None:
            return None
        return self.accounts[name].waiting.pop(key).request

    def drop_claim(self) -> None:
        """End the claim: other daemons may have stopped counting this one."""
        self.claim = None
        self.confirmed_ms = None
        self.unconfirmed.clear()
        self.buckets.clear()
        self.denials.clear()
