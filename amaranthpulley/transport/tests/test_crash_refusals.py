"""Tests of the refusal of requests that crash targets, with several daemons."""

import random
import unittest
from typing import Final

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.searches import crash_attribution
from amaranthpulley.state import crashes, requests
from amaranthpulley.state.control import facts, topology
from amaranthpulley.transport.tests import search_site

PROFILE: Final = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=6
)
SEEDS: Final = strategies.integers(0, 1 << 32)

POISON: Final = "item poison"
DAEMONS: Final = 3
FAULTS_DURATION_MS: Final = 4_000
RECOVERY_DURATION_MS: Final = 40_000
REFUSED: Final = requests.RefusalCode.CRASHES_TARGETS


class CrashScenario:
    """A site whose leaves crash on a query with the poison, and the queries sent."""

    def __init__(self, seed: int, poison: str = POISON) -> None:
        service = topology.Service(
            search_site.SERVICE, topology.ServiceKind.SEARCH, deadline_ms=400
        )
        settings = search_site.SiteSettings(daemons=DAEMONS, service=service)
        self.chance = random.Random(seed)
        self.site = search_site.Site(seed, settings)
        self.network = self.site.network
        self.queries: dict[str, str] = {}
        for leaf in self.leaves:
            leaf.poison = poison

    @property
    def leaves(self) -> list:
        """The stand-in leaves."""
        return list(self.network.targets.leaves.values())

    def search(self, query: str, vm: int | None = None) -> str:
        """Send a query to a daemon, a random one by default; return its identifier."""
        request_id = f"q{len(self.queries)}"
        self.queries[request_id] = query
        chosen = self.chance.randrange(DAEMONS) if vm is None else vm
        self.network.search(
            f"vm-{chosen}",
            requests.SearchRequest(request_id, "c", search_site.SERVICE, query),
        )
        return request_id

    def send_harmless_queries(self, until_ms: int) -> None:
        """Send harmless queries, repeated ones and rarer ones, until a time."""
        now_ms = self.network.now_ms
        if now_ms >= until_ms:
            return
        popular = self.chance.random() < 0.5
        self.search("item" if popular else f"item-{self.chance.randrange(30)}")
        wait_ms = self.chance.choice((50, 100, 250))
        self.network.after(wait_ms, lambda: self.send_harmless_queries(until_ms))

    def refused_queries(self) -> set[str]:
        """Return the queries refused because they crash targets."""
        return {
            self.queries[answered.command.request.request_id]
            for answered in self.network.answers
            if isinstance(answered.command.outcome, requests.Refusal)
            and answered.command.outcome.code is REFUSED
        }


def _restart_leaf(scenario: CrashScenario) -> None:
    scenario.chance.choice(scenario.leaves).restart()


def _impair_links(scenario: CrashScenario) -> None:
    loss = scenario.chance.choice((0.0, 0.0, 0.05))
    network_random = scenario.network.random
    scenario.network.delay = lambda sender, receiver: (
        None if network_random.random() < loss else network_random.randint(1, 3)
    )


def _run_with_faults(seed: int, poisoned: bool) -> CrashScenario:
    scenario = CrashScenario(seed)
    start_ms = scenario.network.now_ms
    end_ms = start_ms + FAULTS_DURATION_MS
    scenario.send_harmless_queries(end_ms + RECOVERY_DURATION_MS)
    for _ in range(8):
        due_ms = scenario.chance.randrange(start_ms, end_ms)
        fault = scenario.chance.choice((_restart_leaf, _impair_links))
        scenario.network.at(due_ms, lambda fault=fault: fault(scenario))
    if poisoned:
        # The deaths after the faults are far enough apart to count as separate ones.
        poison_times_ms = [
            scenario.chance.randrange(start_ms, end_ms) for _ in range(4)
        ]
        poison_times_ms += [
            end_ms + n * 2 * crash_attribution.SAME_DEATH_WINDOW_MS for n in (1, 2)
        ]
        for due_ms in poison_times_ms:
            scenario.network.at(due_ms, lambda: scenario.search(POISON))
    scenario.network.run_until(end_ms)
    scenario.network.delay = lambda sender, receiver: 1
    scenario.network.run_until(end_ms + RECOVERY_DURATION_MS)
    return scenario


class CrashRefusalTest(unittest.TestCase):
    """Only the requests that crash targets are refused."""

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_every_daemon_refuses_only_the_poison(self, seed: int) -> None:
        scenario = _run_with_faults(seed, poisoned=True)
        boot_ids = [leaf.boot_id for leaf in scenario.leaves]
        request_ids = [scenario.search(POISON, vm) for vm in range(DAEMONS)]
        scenario.site.run_for(1_000)
        for request_id in request_ids:
            refusal = scenario.site.outcome(request_id)
            self.assertIsInstance(refusal, requests.Refusal)
            self.assertEqual((refusal.code, refusal.not_run), (REFUSED, True))
        self.assertEqual([leaf.boot_id for leaf in scenario.leaves], boot_ids)
        self.assertEqual(scenario.refused_queries(), {POISON})

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_restarts_without_poison_refuse_nothing(self, seed: int) -> None:
        scenario = _run_with_faults(seed, poisoned=False)
        self.assertEqual(scenario.refused_queries(), set())

    def test_refusal_expires(self) -> None:
        scenario = _run_with_faults(1, poisoned=True)
        scenario.site.run_for(crash_attribution.FACT_VALID_MS)
        for leaf in scenario.leaves:
            leaf.poison = ""
        request_id = scenario.search(POISON)
        scenario.site.run_for(1_000)
        self.assertIsInstance(scenario.site.outcome(request_id), requests.SearchAnswer)


def _publish_suspicion(
    scenario: CrashScenario, vm: int, query: str, death: str, value: int
) -> None:
    """Publish the fact that a query is suspected (1) or cleared (2) of a death."""
    state = scenario.network.daemons[f"vm-{vm}"].state
    content = crashes.RequestContent(search_site.SERVICE, query, "")
    subject = f"{crash_attribution.fingerprint_of(content)}@{death}"
    fact = facts.Fact(facts.FactKind.CRASH_COUNT, subject, value)
    state.facts.publish(fact, scenario.network.now_ms + crash_attribution.FACT_VALID_MS)


class ProvenCrashTest(unittest.TestCase):
    """The suspicions that amount to a proven crash."""

    def _refused(self, *suspicions: tuple[int, str, str, int]) -> set[str]:
        scenario = CrashScenario(1, poison="")
        for suspicion in suspicions:
            _publish_suspicion(scenario, *suspicion)
        scenario.site.run_for(2 * crash_attribution.SETTLE_MS)
        for query in ("a", "b"):
            for vm in range(DAEMONS):
                scenario.search(query, vm)
        scenario.site.run_for(1_000)
        return scenario.refused_queries()

    def test_one_death_is_not_enough(self) -> None:
        self.assertEqual(self._refused((0, "a", "t1@1", 1)), set())

    def test_deaths_seen_by_different_daemons_add_up(self) -> None:
        found = self._refused((0, "a", "t1@1", 1), (1, "a", "t2@1", 1))
        self.assertEqual(found, {"a"})

    def test_the_same_death_counts_once(self) -> None:
        found = self._refused((0, "a", "t1@1", 1), (1, "a", "t1@1", 1))
        self.assertEqual(found, set())

    def test_deaths_with_two_suspects_prove_nothing(self) -> None:
        both = [(0, q, death, 1) for q in "ab" for death in ("t1@1", "t2@1")]
        self.assertEqual(self._refused(*both), set())

    def test_suspect_of_another_daemon_prevents_the_proof(self) -> None:
        own = [(0, "a", "t1@1", 1), (0, "a", "t2@1", 1)]
        others = [(1, "b", "t1@1", 1), (1, "b", "t2@1", 1)]
        self.assertEqual(self._refused(*own, *others), set())

    def test_clearing_one_suspect_proves_the_other(self) -> None:
        both = [(0, q, death, 1) for q in "ab" for death in ("t1@1", "t2@1")]
        cleared = [(1, "a", death, 2) for death in ("t1@1", "t2@1")]
        self.assertEqual(self._refused(*both, *cleared), {"b"})

    def test_review_waits_for_late_suspicions_of_other_daemons(self) -> None:
        scenario = CrashScenario(1, poison="")
        for death in ("t1@1", "t2@1"):
            _publish_suspicion(scenario, 0, "a", death, 1)
        scenario.site.run_for(1_000)
        for death in ("t1@1", "t2@1"):
            _publish_suspicion(scenario, 1, "b", death, 1)
        for _ in range(2 * crash_attribution.SETTLE_MS // 100):
            scenario.site.run_for(100)
            for daemon in scenario.network.daemons.values():
                self.assertEqual(daemon.state.crashes.refused, frozenset())
