"""Requests that another daemon runs for this one."""

from typing import NamedTuple


class Fleet(NamedTuple):
    """Division of the sharded requests among the registered daemons.

    Attributes
    ----------
    delegates : dict
        By failure domain, the daemons that run requests for the others of it; missing
        where every daemon runs its own.
    runners : frozenset of str
        All daemons that run requests regularly: the delegates, and every daemon of a
        failure domain without them.
    runners_by_region, daemons_by_region : dict
        Numbers of runners and of all daemons by region.
    position : float
        Place of this daemon among all in the order of their names, from 0 to 1.
    """

    delegates: dict[str, tuple[str, ...]]
    runners: frozenset[str]
    runners_by_region: dict[str, int]
    daemons_by_region: dict[str, int]
    position: float


class Origin(NamedTuple):
    """What a delegate learns about a request from the daemon that accepted it.

    Attributes
    ----------
    version : int
        Version of the configuration that the request was routed by.
    elapsed_ms : int
        Time since it arrived there.
    account : str
        Name of the client account; empty for a request without one.
    """

    version: int
    elapsed_ms: int
    account: str = ""


class Delegation(NamedTuple):
    """A request that was sent to a delegate.

    Attributes
    ----------
    number : int
        Unique in this process; numbered together with the attempts.
    daemon : str
        Name of the delegate.
    heard_ms : int
        Time of its latest message, or of the send.
    silent_at_ms : int
        Time at which it counts as silent if nothing more is heard.
    acknowledged : bool
        Whether it has said that it received the request.
    """

    number: int
    daemon: str
    heard_ms: int
    silent_at_ms: int
    acknowledged: bool = False


class Suspicion(NamedTuple):
    """A delegate that did not answer.

    Attributes
    ----------
    until_ms : int
        It gets no request before this time.
    pause_ms : int
        Length of the pause; the next one is longer.
    """

    until_ms: int
    pause_ms: int
