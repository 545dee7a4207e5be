"""Versions that answer well or badly, for tests of roll-outs."""

import random
from collections.abc import Callable
from typing import Final, NamedTuple

GOOD: Final = "good"
FAILING: Final = "failing"
SLOW: Final = "slow"


class Run(NamedTuple):
    """A request at a leaf of the ordered version, as a fault sees it.

    Attributes
    ----------
    since_ms : int
        Time since the order.
    path : str
        Path of the request.
    per_s : float
        Requests a second at all leaves of the version.
    """

    since_ms: int
    path: str
    per_s: float


Fault = Callable[[Run, random.Random], str]


def good(run: Run, chance: random.Random) -> str:
    """Answer well."""
    return GOOD


def bad_from(after_ms: int, share: float, kind: str = FAILING) -> Fault:
    """Return a version of whose answers a share is bad from a time after the order."""

    def fault(run: Run, chance: random.Random) -> str:
        is_bad = run.since_ms >= after_ms and chance.random() < share
        return kind if is_bad else GOOD

    return fault


def bad_under_load(per_s: float, share: float, kind: str = FAILING) -> Fault:
    """Return a version that is bad while it gets more requests than this."""

    def fault(run: Run, chance: random.Random) -> str:
        return kind if run.per_s > per_s and chance.random() < share else GOOD

    return fault


def bad_on_route(path: str, share: float, kind: str = FAILING) -> Fault:
    """Return a version that is bad on one route only."""

    def fault(run: Run, chance: random.Random) -> str:
        return kind if run.path == path and chance.random() < share else GOOD

    return fault
