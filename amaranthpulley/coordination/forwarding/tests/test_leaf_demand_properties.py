"""Property tests of what leaves ask for, over all daemons of a fleet."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import events, leaf_demands, leaf_health
from amaranthpulley.coordination.forwarding.tests import fleet_site

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
DAEMONS = 4
LEAVES = 8
PATHS = ("/visit/1", "/wide/1")


def _steps(*names_and_values: tuple[str, object]) -> strategies.SearchStrategy:
    return strategies.lists(
        strategies.one_of(
            *(strategies.tuples(strategies.just(n), v) for n, v in names_and_values)
        ),
        min_size=4,
        max_size=16,
    )


_daemon = strategies.integers(0, DAEMONS - 1)
_leaf = strategies.integers(0, LEAVES - 1)
STEPS = _steps(
    ("load", strategies.tuples(_daemon, strategies.sampled_from(PATHS))),
    ("load", strategies.tuples(_daemon, strategies.sampled_from(PATHS))),
    ("delegate", _daemon),
    ("wait", strategies.integers(50, 1_500)),
    ("leave", _leaf),
    ("pause", strategies.tuples(_leaf, strategies.sampled_from((300, 1_000, 2_500)))),
    ("resume", _leaf),
    ("limit", strategies.tuples(_leaf, strategies.sampled_from((0.0, 2.0, 12.0)))),
    ("lapse", _leaf),
    ("write", _leaf),
    ("restart", _daemon),
    ("freeze", strategies.tuples(_daemon, strategies.integers(100, 2_000))),
    ("suspect", _leaf),
    ("slow", strategies.tuples(_leaf, strategies.sampled_from((5, 60, 400)))),
)


class _Scenario:
    """A fleet; each step calls the method with its name and an underscore."""

    def __init__(self) -> None:
        self.fleet = fleet_site.Fleet(DAEMONS)
        self.leaves = list(self.fleet.leaves.values())

    def play(self, steps: list[tuple[str, object]]) -> None:
        for kind, drawn in steps:
            getattr(self, f"_{kind}")(drawn)
        for daemon in range(DAEMONS):
            self._load((daemon, PATHS[daemon % 2]))

    def _load(self, drawn: tuple[int, str]) -> None:
        daemon, path = drawn
        for _ in range(25):
            self.fleet.ask(daemon, path)
            self.fleet.advance(20)

    def _delegate(self, daemon: int) -> None:
        for _ in range(10):
            self.fleet.ask(daemon, "/wide/1", delegated=True)
            self.fleet.advance(20)

    def _wait(self, for_ms: int) -> None:
        self.fleet.advance(for_ms)

    def _leave(self, number: int) -> None:
        self.leaves[number].leaving = True

    def _pause(self, drawn: tuple[int, int]) -> None:
        self.leaves[drawn[0]].pause_ms = drawn[1]

    def _resume(self, number: int) -> None:
        self.leaves[number].pause_ms = 0

    def _limit(self, drawn: tuple[int, float]) -> None:
        self.leaves[drawn[0]].set_limit(drawn[1], self.fleet.now_ms)

    def _lapse(self, number: int) -> None:
        self.fleet.feed_all(events.LeafDeleted(self.leaves[number].entry.leaf_id))

    def _write(self, number: int) -> None:
        self.fleet.feed_all(events.LeafWritten(self.leaves[number].entry))

    def _restart(self, daemon: int) -> None:
        self.fleet.restart(daemon)

    def _freeze(self, drawn: tuple[int, int]) -> None:
        self.fleet.freeze(*drawn)

    def _suspect(self, number: int) -> None:
        for site in self.fleet.sites:
            leaf = site.gateway.directory.get(self.leaves[number].entry.leaf_id)
            if leaf is not None:
                leaf_health.suspect(leaf, site.now_ms)

    def _slow(self, drawn: tuple[int, int]) -> None:
        self.leaves[drawn[0]].work_ms = drawn[1]


class LeafDemandPropertiesTest(unittest.TestCase):
    """Leaves that leave, pause and limit themselves in any order."""

    @SETTINGS
    @hypothesis.given(STEPS)
    def test_no_leaf_gets_more_than_it_asked_for(
        self, steps: list[tuple[str, object]]
    ) -> None:
        scenario = _Scenario()
        scenario.play(steps)
        self.assertEqual(scenario.fleet.broken_rules(), [])

    def test_daemons_that_do_not_listen_break_the_rules(self) -> None:
        demands = {"leave": (6, 7), "pause": ((6, 2_500), (7, 2_500))}
        demands["limit"] = ((6, 2.0), (7, 2.0))
        for demand, drawn in demands.items():
            with (
                self.subTest(demand),
                mock.patch.object(leaf_demands, "apply_answer", return_value=[]),
            ):
                scenario = _Scenario()
                for value in drawn:
                    getattr(scenario, f"_{demand}")(value)
                for _ in range(9):
                    scenario._load((0, "/visit/1"))
                self.assertNotEqual(scenario.fleet.broken_rules(), [])

    def test_a_limit_is_used(self) -> None:
        scenario = _Scenario()
        for number in (6, 7):
            scenario._limit((number, 12.0))
        for _ in range(8):
            for daemon in range(DAEMONS):
                scenario._load((daemon, "/visit/1"))
        for leaf in scenario.leaves[6:]:
            got_per_s = len(leaf.arrivals) / 16
            self.assertGreater(got_per_s, 12.0 / 4)
