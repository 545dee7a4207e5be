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
RECOVERY_MS: Final = 3_000
SERVICE_MS: Final = 5

Action = Callable[[search_site.Site, int], None]


class NetworkFaults(NamedTuple):
    """Faults of the network; they do not affect calls to the store.

    Attributes
    ----------
    loss : float
        Probability that a message is lost.
    slow : float
        Probability that a message takes 20 ms to 400 ms.
    duplicate_share : float
        Probability that an answer of a leaf arrives twice.
    """

    loss: float
    slow: float
    duplicate_share: float


class ScheduledAction(NamedTuple):
    """An action at a time; `number` selects the leaf, daemon, key or duration."""

    at_ms: int
    action: str
    number: int


def inject_network_faults(site: search_site.Site, faults: NetworkFaults) -> None:
    """Lose, delay and duplicate messages between daemons and leaves."""
    network_random = site.network.random

    def delay(sender: str, receiver: str) -> int | None:
        if "store" in (sender, receiver):
            return 1
        if network_random.random() < faults.loss:
            return None
        if network_random.random() < faults.slow:
            return network_random.randrange(20, 400)
        return network_random.randrange(1, 4)

    site.network.delay = delay
    site.network.targets.duplicate_share = faults.duplicate_share


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
    """Roll out a version with another partition map, then drop the old ones."""
    version = 2 + site.network.now_ms // 100
    for index in range(len(site.targets)):
        leaf = site.leaf(index)
        ranges = search_site.cells_of_shard(
            index % site.settings.shards, site.settings.shards, shift=number
        )
        wait_ms = index * (number % 40)
        site.network.after(wait_ms, _load_version(leaf, version, ranges))
        site.network.after(wait_ms + number * 3, _drop_before(leaf, version))


def _load_version(
    leaf: standin_leaf.StandInLeaf, version: int, ranges: tuple
) -> Action:
    return lambda: leaf.hold(version, ranges, search_site.KEYS)


def _drop_before(leaf: standin_leaf.StandInLeaf, version: int) -> Action:
    def drop() -> None:
        for old in leaf.load.versions:
            if old < version:
                leaf.drop(old)

    return drop


def _move_ranges(site: search_site.Site, number: int) -> None:
    """Repartition the newest version over the leaves of one instance."""
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
    duplicate_share=st.sampled_from([0.0, 0.5, 1.0]),
)
action_lists = st.lists(
    st.builds(
        ScheduledAction,
        at_ms=st.integers(0, RUN_MS),
        action=st.sampled_from(sorted(ACTIONS)),
        number=st.integers(0, 99),
    ),
    max_size=25,
)


def run(
    seed: int, faults: NetworkFaults, actions: list[ScheduledAction], daemons: int = 3
) -> search_site.Site:
    """Run a site through the actions under network faults, with steady searches."""
    site = search_site.Site(seed, search_site.SiteSettings(daemons=daemons))
    inject_network_faults(site, faults)
    start_ms = site.network.now_ms
    for number, at_ms in enumerate(range(0, RUN_MS, 60)):
        actions = [*actions, ScheduledAction(at_ms, "search", number)]
    for scheduled in actions:
        action = ACTIONS[scheduled.action]
        due_ms = start_ms + scheduled.at_ms
        site.network.at(due_ms, lambda a=action, n=scheduled.number: a(site, n))
    site.run_for(RUN_MS + RECOVERY_MS)
    return site


class SearchPropertyTest(unittest.TestCase):
    """Invariants of searches under any interleaving of faults."""

    @SETTINGS
    @hypothesis.given(st.integers(0, 1 << 20), any_network_faults, action_lists)
    def test_answers_have_no_violations(
        self, seed: int, faults: NetworkFaults, actions: list[ScheduledAction]
    ) -> None:
        site = run(seed, faults, actions)
        self.assertEqual(search_site.find_violations(site), [])

    @SETTINGS
    @hypothesis.given(st.integers(0, 1 << 20), any_network_faults, action_lists)
    def test_not_run_is_true_and_each_request_is_answered_once(
        self, seed: int, faults: NetworkFaults, actions: list[ScheduledAction]
    ) -> None:
        # Excludes daemon faults, which lose the caller's connection and its answer.
        actions = [
            a for a in actions if a.action not in ("restart_daemon", "pause_daemon")
        ]
        site = run(seed, faults, actions)
        ran = site.network.targets.started_requests
        for entry in site.network.answers:
            outcome = entry.command.outcome
            if isinstance(outcome, requests.Refusal) and outcome.not_run:
                self.assertNotIn(entry.command.request.request_id, ran)
        self.assertEqual(len(site.network.answers), len(site.sent))
