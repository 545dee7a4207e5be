"""Judges an ordered version against the old one by Wald's sequential test.

Each test compares the share of bad answers, failures or slow ones, with what the old
leaves show in the same time. If the version is no worse, the likelihood ratio exceeds
``e**limit`` with a probability of ``e**-limit`` at most, however often it is looked at.
The limit is chosen so that all tests of an order together condemn a good version with a
probability of `FALSE_ALARM` if the old share is known. It is estimated from the old
leaves' answers and raised by a margin; docs/design/rollouts.md has the rates that a
simulation gave.
"""

import math
from collections.abc import Iterable
from typing import Final

from amaranthpulley.state.forwarding import rollouts

# Probability of condemning a good version, over all tests of an order.
FALSE_ALARM: Final = 0.001
# Steps of an order for which tests begin anew, the move included, and the total.
PERIODS: Final = 8
# Failures and slow answers are tested each for itself, since the old leaves often have
# many of one kind and none of the other.
KINDS: Final = 2
# A version is no worse up to this multiple of the old share, at least the floor.
TOLERATED_RATIO: Final = 1.5
TOLERATED_FLOOR: Final = 0.01
# It is bad when its share is greater than the tolerated one by this much.
BAD_EXCESS: Final = 0.05
LARGEST_SHARE: Final = 0.95
# Answers without which a version is not judged good. A version of which a fifth of the
# answers are bad shows at most one bad answer of 30 with a probability of 1.1%.
ENOUGH_ANSWERS: Final = 30
# The operators' bound is 50 bad answers; some are under way when they are counted.
MOST_BAD: Final = 40
# Bad answers beyond this multiple of the old share condemn a version at `MOST_BAD`.
CLEAR_RATIO: Final = 2.0


def judge(found: rollouts.Evidence) -> tuple[rollouts.Verdict, str]:
    """Return the verdict on a version and what it rests on, for the log."""
    limit = _limit(len(found.routes))
    for route, pair in sorted(found.routes.items()):
        kind = _bad_kind(pair, limit)
        if kind:
            return rollouts.Verdict.BAD, f"{kind} on route {route}"
    whole = sum_of(found.routes.values())
    for pair, period in ((whole, "step"), (found.total, "order")):
        kind = _bad_kind(pair, limit)
        if kind:
            return rollouts.Verdict.BAD, f"{kind} in the {period}"
    if _is_over_bound(found.total):
        return rollouts.Verdict.BAD, "bad answers near the bound"
    if _is_good(found.total) and _is_good_in_step(whole):
        return rollouts.Verdict.GOOD, "no worse than the old leaves"
    return rollouts.Verdict.OPEN, "too few answers"


def sum_of(pairs: Iterable[rollouts.Pair]) -> rollouts.Pair:
    """Return the sum of pairs."""
    total = rollouts.Pair()
    for pair in pairs:
        total = total.plus(pair)
    return total


def log_ratio(bad: int, answers: int, old_bad: int, old_answers: int) -> float:
    """Return the logarithm of the likelihood ratio of "bad" to "no worse"."""
    old_share = (old_bad + 1) / (old_answers + 2)
    tolerated = max(TOLERATED_FLOOR, TOLERATED_RATIO * old_share)
    tolerated = min(LARGEST_SHARE - BAD_EXCESS, tolerated)
    assumed = tolerated + BAD_EXCESS
    return bad * math.log(assumed / tolerated) + (answers - bad) * math.log(
        (1 - assumed) / (1 - tolerated)
    )


def _limit(routes: int) -> float:
    return math.log(PERIODS * KINDS * (routes + 2) / FALSE_ALARM)


def _bad_kind(pair: rollouts.Pair, limit: float) -> str:
    """Return the kind of bad answers that condemns a version; empty for none."""
    new, old = pair
    if log_ratio(new.failed, new.answers, old.failed, old.answers) >= limit:
        return "failures"
    if log_ratio(new.slow, new.answers, old.slow, old.answers) >= limit:
        return "slow answers"
    return ""


def _is_over_bound(pair: rollouts.Pair) -> bool:
    new, old = pair
    bad = new.failed + new.slow
    old_share = (old.failed + old.slow + 1) / (old.answers + 2)
    return bad >= MOST_BAD and bad > CLEAR_RATIO * old_share * new.answers


def _is_good(pair: rollouts.Pair) -> bool:
    return pair.new.answers >= ENOUGH_ANSWERS and _is_no_worse(pair)


def _is_good_in_step(pair: rollouts.Pair) -> bool:
    return pair.new.answers > 0 and _leans_to_good(pair, 1.0)


def _is_no_worse(pair: rollouts.Pair) -> bool:
    return _leans_to_good(pair, 0.0)


def _leans_to_good(pair: rollouts.Pair, above: float) -> bool:
    new, old = pair
    failures = log_ratio(new.failed, new.answers, old.failed, old.answers)
    slowness = log_ratio(new.slow, new.answers, old.slow, old.answers)
    return max(failures, slowness) < above
