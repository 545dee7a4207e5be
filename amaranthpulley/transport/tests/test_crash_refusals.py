"""Properties of the refusal of requests that crash targets, with several daemons."""

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
CHAOS_MS: Final = 4_000
CALM_MS: Final = 40_000
REFUSED: Final = requests.RefusalCode.CRASHES_TARGETS


class Crowd:
    """Callers of a site with poisoned leaves and the queries that they send."""

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
        """The stand-in targets."""
        return list(self.network.targets.leaves.values())

    def search(self, query: str, vm: int | None = None) -> str:
        """Send a query to a daemon."""
        request_id = f"q{len(self.queries)}"
        self.queries[request_id] = query
        chosen = self.chance.randrange(DAEMONS) if vm is None else vm
        self.network.search(
            f"vm-{chosen}",
            requests.SearchRequest(request_id, "c", search_site.SERVICE, query),
        )
        return request_id

    def bystanders(self, until_ms: int) -> None:
        """Let callers send a popular query and queries of their own all the time."""
        now_ms = self.network.now_ms
        if now_ms >= until_ms:
            return
        popular = self.chance.random() < 0.5
        self.search("item" if popular else f"item-{self.chance.randrange(30)}")
        wait_ms = self.chance.choice((50, 100, 250))
        self.network.after(wait_ms, lambda: self.bystanders(until_ms))

    def refused_queries(self) -> set[str]:
        """Return the queries that were refused for crashing targets."""
        return {
            self.queries[answered.command.request.request_id]
            for answered in self.network.answers
            if isinstance(answered.command.outcome, requests.Refusal)
            and answered.command.outcome.code is REFUSED
        }


def _restart_leaf(crowd: Crowd) -> None:
    crowd.chance.choice(crowd.leaves).restart()


def _cut_links(crowd: Crowd) -> None:
    loss = crowd.chance.choice((0.0, 0.0, 0.05))
    draw = crowd.network.random
    crowd.network.delay = lambda sender, receiver: (
        None if draw.random() < loss else draw.randint(1, 3)
    )


def _run_chaos(seed: int, poisoned: bool) -> Crowd:
    crowd = Crowd(seed)
    start_ms = crowd.network.now_ms
    end_ms = start_ms + CHAOS_MS
    crowd.bystanders(end_ms + CALM_MS)
    for _ in range(8):
        due_ms = crowd.chance.randrange(start_ms, end_ms)
        fault = crowd.chance.choice((_restart_leaf, _cut_links))
        crowd.network.at(due_ms, lambda fault=fault: fault(crowd))
    if poisoned:
        # Those of the calm time are apart enough to count as deaths of their own.
        dues_ms = [crowd.chance.randrange(start_ms, end_ms) for _ in range(4)]
        dues_ms += [
            end_ms + n * 2 * crash_attribution.SAME_DEATH_WINDOW_MS for n in (1, 2)
        ]
        for due_ms in dues_ms:
            crowd.network.at(due_ms, lambda: crowd.search(POISON))
    crowd.network.run_until(end_ms)
    crowd.network.delay = lambda sender, receiver: 1
    crowd.network.run_until(end_ms + CALM_MS)
    return crowd


class CrashBlameTest(unittest.TestCase):
    """Which requests are refused when targets die."""

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_poison_alone_is_refused_by_every_daemon(self, seed: int) -> None:
        crowd = _run_chaos(seed, poisoned=True)
        boots = [leaf.boot_id for leaf in crowd.leaves]
        asked = [crowd.search(POISON, vm) for vm in range(DAEMONS)]
        crowd.site.run_for(1_000)
        for request_id in asked:
            refusal = crowd.site.outcome(request_id)
            self.assertIsInstance(refusal, requests.Refusal)
            self.assertEqual((refusal.code, refusal.not_run), (REFUSED, True))
        self.assertEqual([leaf.boot_id for leaf in crowd.leaves], boots)
        self.assertEqual(crowd.refused_queries(), {POISON})

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_restarts_alone_blame_nobody(self, seed: int) -> None:
        crowd = _run_chaos(seed, poisoned=False)
        self.assertEqual(crowd.refused_queries(), set())

    def test_refusal_expires(self) -> None:
        crowd = _run_chaos(1, poisoned=True)
        crowd.site.run_for(crash_attribution.FACT_VALID_MS)
        for leaf in crowd.leaves:
            leaf.poison = ""
        request_id = crowd.search(POISON)
        crowd.site.run_for(1_000)
        self.assertIsInstance(crowd.site.outcome(request_id), requests.SearchAnswer)


def _suspect(crowd: Crowd, vm: int, query: str, death: str, value: int) -> None:
    state = crowd.network.daemons[f"vm-{vm}"].state
    content = crashes.RequestContent(search_site.SERVICE, query, "")
    subject = f"{crash_attribution.fingerprint_of(content)}@{death}"
    fact = facts.Fact(facts.FactKind.CRASH_COUNT, subject, value)
    state.facts.publish(fact, crowd.network.now_ms + crash_attribution.FACT_VALID_MS)


class ProofTest(unittest.TestCase):
    """What counts as a proven crash."""

    def _refused(self, *suspicions: tuple[int, str, str, int]) -> set[str]:
        crowd = Crowd(1, poison="")
        for suspicion in suspicions:
            _suspect(crowd, *suspicion)
        crowd.site.run_for(2 * crash_attribution.SETTLE_MS)
        for query in ("a", "b"):
            for vm in range(DAEMONS):
                crowd.search(query, vm)
        crowd.site.run_for(1_000)
        return crowd.refused_queries()

    def test_one_death_is_no_proof(self) -> None:
        self.assertEqual(self._refused((0, "a", "t1@1", 1)), set())

    def test_two_deaths_are_proof_over_all_daemons(self) -> None:
        found = self._refused((0, "a", "t1@1", 1), (1, "a", "t2@1", 1))
        self.assertEqual(found, {"a"})

    def test_the_same_death_counts_once(self) -> None:
        found = self._refused((0, "a", "t1@1", 1), (1, "a", "t1@1", 1))
        self.assertEqual(found, set())

    def test_suspects_that_stood_together_are_not_blamed(self) -> None:
        both = [(0, q, death, 1) for q in "ab" for death in ("t1@1", "t2@1")]
        self.assertEqual(self._refused(*both), set())

    def test_the_other_daemons_suspect_prevents_the_blame(self) -> None:
        own = [(0, "a", "t1@1", 1), (0, "a", "t2@1", 1)]
        others = [(1, "b", "t1@1", 1), (1, "b", "t2@1", 1)]
        self.assertEqual(self._refused(*own, *others), set())

    def test_cleared_suspect_leaves_the_other_one(self) -> None:
        both = [(0, q, death, 1) for q in "ab" for death in ("t1@1", "t2@1")]
        cleared = [(1, "a", death, 2) for death in ("t1@1", "t2@1")]
        self.assertEqual(self._refused(*both, *cleared), {"b"})

    def test_late_suspicion_of_another_daemon_is_waited_for(self) -> None:
        crowd = Crowd(1, poison="")
        for death in ("t1@1", "t2@1"):
            _suspect(crowd, 0, "a", death, 1)
        crowd.site.run_for(1_000)
        for death in ("t1@1", "t2@1"):
            _suspect(crowd, 1, "b", death, 1)
        for _ in range(2 * crash_attribution.SETTLE_MS // 100):
            crowd.site.run_for(100)
            for daemon in crowd.network.daemons.values():
                self.assertEqual(daemon.state.crashes.refused, frozenset())
