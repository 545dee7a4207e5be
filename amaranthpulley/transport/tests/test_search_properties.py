"""Properties of searches over random interleavings of faults."""

import unittest
from collections.abc import Callable
from typing import Final, NamedTuple

import hypothesis
import hypothesis.strategies as st

from amaranthpulley.state import requests, standin_leaf
from amaranthpulley.transport.tests import search_site

INTERLEAVINGS: Final = 150
SETTINGS: Final = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=INTERLEAVINGS
)
RUN_MS: Final = 1_500
SETTLE_MS: Final = 3_000
SERVICE_MS: Final = 5

Action = Callable[[search_site.Site, int], None]


class NetworkFaults(NamedTuple):
    """How the network treats messages."""

    loss: float
    slow: float
    duplicates: float


class ScheduledAction(NamedTuple):
    """One act at a time; `number` says on which leaf or daemon."""

    at_ms: int
    act: str
    number: int


def inject_network_faults(site: search_site.Site, weather: NetworkFaults) -> None:
    """Lose, delay and duplicate messages between daemons and leaves."""
    chance = site.network.random

    def delay(sender: str, receiver: str) -> int | None:
        if "store" in (sender, receiver):
            return 1
        if chance.random() < weather.loss:
            return None
        if chance.random() < weather.slow:
            return chance.randrange(20, 400)
        return chance.randrange(1, 4)

    site.network.delay = delay
    site.network.targets.duplicates = weather.duplicates


def _search(site: search_site.Site, number: int) -> None:
    vm = number % site.settings.daemons
    if site.network.daemons[f"vm-{vm}"].alive:
        site.search(vm=vm)


def _look_up(site: search_site.Site, number: int) -> None:
    vm = number % site.settings.daemons
    if site.network.daemons[f"vm-{vm}"].alive:
        site.search(search_site.KEYS[number % len(search_site.KEYS)], vm=vm)


def _restart_leaf(site: search_site.Site, number: int) -> None:
    site.leaf(number % len(site.targets)).restart()


def _silence_leaf(site: search_site.Site, number: int) -> None:
    leaf = site.leaf(number % len(site.targets))
    leaf.faults = standin_leaf.LeafFaults(lost=True)
    heal = standin_leaf.LeafFaults()
    site.network.after(300, lambda: setattr(leaf, "faults", heal))


def _new_version(site: search_site.Site, number: int) -> None:
    """Roll a new version with another map over the leaves, then drop the old ones."""
    version = 2 + site.network.now_ms // 100
    for index in range(len(site.targets)):
        leaf = site.leaf(index)
        ranges = search_site.cells_of_shard(
            index % site.settings.shards, site.settings.shards, shift=number
        )
        wait_ms = index * (number % 40)
        site.network.after(wait_ms, _hold(leaf, version, ranges))
        site.network.after(wait_ms + number * 3, _drop_before(leaf, version))


def _hold(leaf: standin_leaf.StandInLeaf, version: int, ranges: tuple) -> Action:
    return lambda: leaf.hold(version, ranges, search_site.KEYS)


def _drop_before(leaf: standin_leaf.StandInLeaf, version: int) -> Action:
    def drop() -> None:
        for old in leaf.load.versions:
            if old < version:
                leaf.drop(old)

    return drop


def _move_ranges(site: search_site.Site, number: int) -> None:
    """Spread the newest version anew over the leaves of one instance."""
    instance = number % site.settings.instances
    shards = site.settings.shards
    for shard in range(shards):
        leaf = site.leaf(instance * shards + shard)
        ranges = search_site.cells_of_shard(shard, shards, shift=number)
        leaf.hold(leaf.load.versions[-1], ranges, search_site.KEYS)


def _pause_daemon(site: search_site.Site, number: int) -> None:
    site.network.pause(f"vm-{number % site.settings.daemons}", 50 + number * 5)


def _restart_daemon(site: search_site.Site, number: int) -> None:
    name = f"vm-{number % site.settings.daemons}"
    site.network.crash(name)
    site.start_daemon(name, f"life-{site.network.now_ms}")


ACTIONS: Final[dict[str, Action]] = {
    "search": _search,
    "look_up": _look_up,
    "restart_leaf": _restart_leaf,
    "silence_leaf": _silence_leaf,
    "new_version": _new_version,
    "move_ranges": _move_ranges,
    "pause_daemon": _pause_daemon,
    "restart_daemon": _restart_daemon,
}

any_network_faults = st.builds(
    NetworkFaults,
    loss=st.sampled_from([0.0, 0.02, 0.2]),
    slow=st.sampled_from([0.0, 0.05, 0.3]),
    duplicates=st.sampled_from([0.0, 0.5, 1.0]),
)
action_lists = st.lists(
    st.builds(
        ScheduledAction,
        at_ms=st.integers(0, RUN_MS),
        act=st.sampled_from(sorted(ACTIONS)),
        number=st.integers(0, 99),
    ),
    max_size=25,
)


def run(
    seed: int, weather: NetworkFaults, acts: list[ScheduledAction], daemons: int = 3
) -> search_site.Site:
    """Run a site through an interleaving, with searches all the while."""
    site = search_site.Site(seed, search_site.SiteSettings(daemons=daemons))
    inject_network_faults(site, weather)
    begun_ms = site.network.now_ms
    for number, at_ms in enumerate(range(0, RUN_MS, 60)):
        acts = [*acts, ScheduledAction(at_ms, "search", number)]
    for happening in acts:
        act = ACTIONS[happening.act]
        due_ms = begun_ms + happening.at_ms
        site.network.at(due_ms, lambda a=act, n=happening.number: a(site, n))
    site.run_for(RUN_MS + SETTLE_MS)
    return site


class SearchPropertyTest(unittest.TestCase):
    """What holds for each search, whatever fails meanwhile."""

    @SETTINGS
    @hypothesis.given(st.integers(0, 1 << 20), any_network_faults, action_lists)
    def test_one_snapshot_true_coverage_and_own_answer(
        self, seed: int, weather: NetworkFaults, acts: list[ScheduledAction]
    ) -> None:
        site = run(seed, weather, acts)
        self.assertEqual(search_site.find_violations(site), [])

    @SETTINGS
    @hypothesis.given(st.integers(0, 1 << 20), any_network_faults, action_lists)
    def test_not_run_is_true_and_each_request_ends_once(
        self, seed: int, weather: NetworkFaults, acts: list[ScheduledAction]
    ) -> None:
        # Losses of the connection's own are left out: they need another daemon.
        acts = [a for a in acts if a.act not in ("restart_daemon", "pause_daemon")]
        site = run(seed, weather, acts)
        ran = site.network.targets.reached
        for entry in site.network.answers:
            outcome = entry.command.outcome
            if isinstance(outcome, requests.Refusal) and outcome.not_run:
                self.assertNotIn(entry.command.request.request_id, ran)
        self.assertEqual(len(site.network.answers), len(site.sent))
