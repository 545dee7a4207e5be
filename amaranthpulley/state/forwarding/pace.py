"""The pace of leaves that have started or recovered a short time ago."""

import enum
from typing import Final

# Weight of one answer in the moving averages. Three slow answers in a row raise the
# average by two thirds of their excess, and one late answer by less than a third.
ANSWER_WEIGHT: Final = 0.3
# Addresses of which the number of returns is kept.
MAXIMUM_KEPT: Final = 4_096


class Cause(enum.Enum):
    """Why a leaf has a pace."""

    STARTED = "started"
    RECOVERED = "recovered"


class Answers:
    """Moving averages of what some leaves have answered lately.

    Attributes
    ----------
    slowness : float
        Time of the answers over the routes' mean, without the part of the machine.
    failures : float
        Share of rejections and failures.
    """

    def __init__(self) -> None:
        self.slowness = 1.0
        self.failures = 0.0

    def record_time(self, slowness: float) -> None:
        """Add the time of an answer."""
        self.slowness += ANSWER_WEIGHT * (slowness - self.slowness)

    def record_outcome(self, failed: bool) -> None:
        """Add an answer that was or was not a rejection or a failure."""
        self.failures += ANSWER_WEIGHT * (float(failed) - self.failures)


class Pace:
    """The share of a usual leaf's requests that a leaf gets from this daemon.

    Parameters
    ----------
    cause : Cause
        Why it has one.
    share : float
        The share at first, up to 1.
    returns : int
        How often the leaf had returned lately before.
    credit : float
        Requests that it may get at once.
    now_ms : int
        The current time.

    Attributes
    ----------
    answers : Answers
        What the leaf has answered since.
    grown_ms : int
        Until when the share has been grown.
    good_ms : int or None
        Time of the last answer that was like those of its peers.
    shrunk_ms : int or None
        Time of the last cut of the share.
    logged : bool
        Whether its begin has been logged.
    """

    def __init__(
        self, cause: Cause, share: float, returns: int, credit: float, now_ms: int
    ) -> None:
        self.cause = cause
        self.share = share
        self.returns = returns
        self.credit = credit
        self.answers = Answers()
        self.began_ms = self.grown_ms = now_ms
        self.good_ms: int | None = None
        self.shrunk_ms: int | None = None
        self.logged = False


class ServicePaces:
    """The leaves of a service that have a pace, and the answers of the others.

    Attributes
    ----------
    leaf_ids : set of str
        Leaves with a pace.
    peers : Answers
        Answers of the leaves without one, in the time in which others have one.
    """

    def __init__(self) -> None:
        self.leaf_ids: set[str] = set()
        self.peers = Answers()


class PaceTable:
    """The services that have leaves with a pace, and the returns of leaves.

    Attributes
    ----------
    by_service : dict
        Empty while no leaf has a pace.
    """

    def __init__(self) -> None:
        self.by_service: dict[str, ServicePaces] = {}
        self._returns: dict[tuple[str, str], tuple[int, int]] = {}

    def add(self, service: str, leaf_id: str) -> None:
        """Add a leaf that has a pace."""
        self.by_service.setdefault(service, ServicePaces()).leaf_ids.add(leaf_id)

    def remove(self, service: str, leaf_id: str) -> None:
        """Remove a leaf that has none any more."""
        paces = self.by_service[service]
        paces.leaf_ids.discard(leaf_id)
        if not paces.leaf_ids:
            del self.by_service[service]

    def count_return(self, place: tuple[str, str], valid_ms: int, now_ms: int) -> int:
        """Count a return of a leaf; return how often it had returned lately before.

        Parameters
        ----------
        place : tuple of str
            Service and address: a leaf may return with another identity.
        valid_ms : int
            Time after which earlier returns no longer count.
        """
        count, last_ms = self._returns.pop(place, (0, now_ms))
        if now_ms - last_ms > valid_ms:
            count = 0
        if len(self._returns) >= MAXIMUM_KEPT:
            self._returns.pop(next(iter(self._returns)))
        self._returns[place] = (count + 1, now_ms)
        return count
