"""Replays of leaves that start or recover, with and without a pace.

Run as a program, it prints the means over some seeds as a table; the figures of the
design note are its output.
"""

import itertools
import sys
from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination.forwarding.tests import gateway_site, pace_site

# Two warm leaves run 400 requests a second.
USUAL_PER_S: Final = 320.0
OVERLOAD_PER_S: Final = 460.0
# Time of the replay before something happens.
BEFORE_MS: Final = 500

Replay = Callable[[int, bool, int], pace_site.Outcome]


def one_leaf_back(daemons: int, has_pace: bool, seed: int) -> pace_site.Outcome:
    """Start a cold leaf beside two warm ones that bear the load."""
    return _one_leaf_back(daemons, has_pace, seed, USUAL_PER_S, 3_000)


def one_leaf_back_too_early(
    daemons: int, has_pace: bool, seed: int
) -> pace_site.Outcome:
    """Start a leaf that needs longer to get warm than its entry says."""
    return _one_leaf_back(daemons, has_pace, seed, USUAL_PER_S, 1)


def one_leaf_back_under_load(
    daemons: int, has_pace: bool, seed: int
) -> pace_site.Outcome:
    """Start a cold leaf beside two warm ones that do not bear the load."""
    return _one_leaf_back(daemons, has_pace, seed, OVERLOAD_PER_S, 3_000)


def _one_leaf_back(
    daemons: int, has_pace: bool, seed: int, per_s: float, cold_ms: int
) -> pace_site.Outcome:
    site = pace_site.PaceSite(daemons, has_pace, 2, seed=seed)
    site.advance(BEFORE_MS, per_s)
    begin_ms = site.now_ms
    site.start("visits", 2, cold_ms)
    site.advance(3_500, per_s)
    return site.outcome(begin_ms, "visits-2")


def failure_domain_back(daemons: int, has_pace: bool, seed: int) -> pace_site.Outcome:
    """Start a cold leaf of each shard; every request needs all shards."""
    shards = gateway_site.SHARDS
    site = pace_site.PaceSite(daemons, has_pace, 2, seed=seed, services=shards)
    site.advance(BEFORE_MS, USUAL_PER_S)
    begin_ms = site.now_ms
    for shard in shards:
        site.start(shard, 2, 3_000)
    site.advance(2_500, USUAL_PER_S)
    return site.outcome(begin_ms, f"{shards[0]}-2")


def flapping_leaf(daemons: int, has_pace: bool, seed: int) -> pace_site.Outcome:
    """Lose a leaf and start it cold, again and again."""
    site = pace_site.PaceSite(daemons, has_pace, 3, seed=seed)
    site.advance(BEFORE_MS, USUAL_PER_S)
    begin_ms = site.now_ms
    for _ in range(4):
        site.stop("visits-0")
        site.advance(600, USUAL_PER_S)
        site.start("visits", 0, 2_000)
        site.advance(400, USUAL_PER_S)
    return site.outcome(begin_ms, "visits-0")


def power_failure(daemons: int, has_pace: bool, seed: int) -> pace_site.Outcome:
    """Start all leaves cold, one after the other, while requests arrive."""
    site = pace_site.PaceSite(daemons, has_pace, 0, seed=seed)
    begin_ms = site.now_ms
    for number in range(3):
        site.start("visits", number, 3_000)
        site.advance(150, USUAL_PER_S)
    site.advance(3_500, USUAL_PER_S)
    return site.outcome(begin_ms, "visits-0")


def false_health_checks(daemons: int, has_pace: bool, seed: int) -> pace_site.Outcome:
    """Let a leaf answer health checks, and requests no longer."""
    site = pace_site.PaceSite(daemons, has_pace, 3, seed=seed)
    site.advance(BEFORE_MS, USUAL_PER_S)
    begin_ms = site.now_ms
    site.leaves["visits-0"].is_mute = True
    site.advance(4_000, USUAL_PER_S)
    return site.outcome(begin_ms, "visits-0")


REPLAYS: Final[tuple[Replay, ...]] = (
    one_leaf_back,
    one_leaf_back_too_early,
    one_leaf_back_under_load,
    failure_domain_back,
    flapping_leaf,
    power_failure,
    false_health_checks,
)


def mean(
    replay: Replay, daemons: int, has_pace: bool, seeds: range
) -> pace_site.Outcome:
    """Return the mean outcome of a replay over some seeds."""
    found = [replay(daemons, has_pace, seed) for seed in seeds]
    return pace_site.Outcome(
        *(sum(one) / len(found) for one in zip(*found, strict=True))
    )


def main() -> None:
    """Print the table; the argument is the number of seeds."""
    seeds = range(1, 1 + int(sys.argv[1]))
    for replay, daemons in itertools.product(REPLAYS, (4, 24)):
        without, found = (mean(replay, daemons, on, seeds) for on in (False, True))
        cells = [replay.__name__, str(daemons)]
        for before, after in zip(without, found, strict=True):
            cells.append(f"{before:.3f} / {after:.3f}")
        print(f"| {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
