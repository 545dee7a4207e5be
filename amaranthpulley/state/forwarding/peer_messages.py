"""Messages between daemons that are lost without harm."""

from typing import NamedTuple


class TokenRequest(NamedTuple):
    """Asks an owner of an account's quota for tokens.

    Attributes
    ----------
    number : int
        Number of the request, repeated in the grant.
    account : str
        Name of the account.
    wanted : int
        Number of tokens.
    """

    number: int
    account: str
    wanted: int


class TokenGrant(NamedTuple):
    """Answers a `TokenRequest`.

    Attributes
    ----------
    number : int
        Number of the request.
    granted : int
        Tokens that the asking daemon may spend.
    retry_after_ms : int
        Time until the owner has a token again; 0 if it granted all.
    """

    number: int
    granted: int
    retry_after_ms: int


class MembershipQuery(NamedTuple):
    """Asks whether the recipient counts the sender among the registered daemons.

    Attributes
    ----------
    number : int
        Number of the sender's claim, repeated in the confirmation.
    name : str
        Name of the sender.
    """

    number: int
    name: str


class MembershipConfirmation(NamedTuple):
    """Says that its sender counts the recipient of it among the registered daemons.

    Attributes
    ----------
    number : int
        Number of the claim.
    name : str
        Name of the daemon that confirms it.
    """

    number: int
    name: str


PeerMessage = TokenRequest | TokenGrant | MembershipQuery | MembershipConfirmation
