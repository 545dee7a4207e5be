"""Tests of hedges, retries and their budgets."""

import unittest

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.searches import retry_policy
from amaranthpulley.state import budgets, latency, requests, standin_leaf
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport.tests import search_site

_SERVICE = topology.Service(search_site.SERVICE, topology.ServiceKind.SEARCH)
_SETTINGS = search_site.SiteSettings(instances=3, service=_SERVICE)
_WARM_UP_SEARCHES = 60


def _warm_site(
    settings: search_site.SiteSettings = _SETTINGS, seed: int = 1
) -> search_site.Site:
    site = search_site.Site(seed, settings)
    for _ in range(_WARM_UP_SEARCHES):
        site.search()
        site.run_for(20)
    return site


def _total(site: search_site.Site, name: str, **labels: str) -> float:
    return sum(
        vm.state.counters.total(name, service=search_site.SERVICE, **labels)
        for vm in site.network.daemons.values()
    )


class HedgeTest(unittest.TestCase):
    """Second attempts at other replicas when the first ones are slow."""

    def test_hedge_answers_first_and_the_straggler_is_cancelled(self) -> None:
        site = _warm_site()
        for number in (0, 1, 2):
            site.leaf(number).faults = standin_leaf.LeafFaults(delay_ms=150)
        for _ in range(30):
            site.search()
            site.run_for(200)
        elapsed_ms = [answered.command.elapsed_ms for answered in site.network.answers]
        self.assertLess(max(elapsed_ms), 60)
        self.assertEqual(search_site.find_violations(site), [])
        self.assertEqual([site.leaf(number).busy_slots for number in range(9)], [0] * 9)
        for vm in site.network.daemons.values():
            for target in site.targets:
                self.assertEqual(vm.state.targets.of(target.name).in_flight, 0)

    def test_hedges_stay_within_their_budget(self) -> None:
        site = _warm_site()
        site.network.targets.service_ms = lambda leaf, command: (
            100 if site.network.random.random() < 0.3 else 5
        )
        for _ in range(300):
            site.search()
            site.run_for(30)
        hedges = _total(site, "attempts_total", kind="hedge")
        first = _total(site, "attempts_total", kind="first")
        self.assertGreater(_total(site, "hedges_denied_total"), 0)
        self.assertLessEqual(hedges, 10 + 0.05 * first)

    def test_zero_budget_sends_no_hedge(self) -> None:
        service = _SERVICE._replace(hedge_budget=0.0)
        site = _warm_site(_SETTINGS._replace(service=service))
        site.leaf(0).faults = standin_leaf.LeafFaults(delay_ms=100)
        for _ in range(20):
            site.search()
            site.run_for(200)
        self.assertEqual(_total(site, "attempts_total", kind="hedge"), 0)


class RetryTest(unittest.TestCase):
    """Attempts after a failed attempt."""

    def test_silent_target_does_not_delay_a_search(self) -> None:
        site = _warm_site()
        site.leaf(0).faults = standin_leaf.LeafFaults(lost=True)
        for _ in range(10):
            site.search()
            site.run_for(300)
        elapsed_ms = [answered.command.elapsed_ms for answered in site.network.answers]
        self.assertLess(max(elapsed_ms), 150)
        self.assertEqual(search_site.find_violations(site), [])

    def test_retries_stay_within_their_budget(self) -> None:
        site = _warm_site()
        vm = site.network.daemons["vm-0"]
        lost = events.Failure.CONNECTION_LOST

        def fail_attempt(daemon: object, command: commands.SendAttempt) -> None:
            end = events.AttemptFailed(command.attempt_id, lost)
            site.network.after(2, lambda: site.network.feed(vm, end))

        site.network.targets.send = fail_attempt
        before = _total(site, "attempts_total", kind="first")
        for _ in range(400):
            site.search()
            site.run_for(10)
        first = _total(site, "attempts_total", kind="first") - before
        retries = _total(site, "attempts_total", kind="retry")
        self.assertLessEqual(retries, 100 + retry_policy.RETRY_BUDGET_RATIO * first + 1)

    def test_refused_attempts_are_retried_at_other_replicas(self) -> None:
        site = _warm_site()
        for number in range(3):
            site.leaf(number).slots = 0
        for _ in range(20):
            site.search()
            site.run_for(50)
        coverages = {a.command.outcome.coverage for a in site.network.answers}
        self.assertEqual(coverages, {1.0})

    def test_unreachable_replicas_are_retried_until_the_deadline(self) -> None:
        site = _warm_site()
        site.network.targets.leaves.clear()
        request_id = site.search()
        site.run_for(1_000)
        outcome = site.outcome(request_id)
        self.assertIs(outcome.code, requests.RefusalCode.NO_TARGET)
        self.assertTrue(outcome.not_run)
        self.assertEqual(site.network.answers[-1].command.elapsed_ms, 200)

    def test_duplicate_answer_is_discarded(self) -> None:
        site = _warm_site()
        site.network.targets.duplicate_share = 1.0
        position = keyspace.position_of(search_site.KEYS[0])
        self.assertLess(position, keyspace.KEY_SPACE_SIZE)
        for key in search_site.KEYS[:20]:
            site.search(key)
            site.search()
            site.run_for(2)
        site.run_for(500)
        self.assertEqual(search_site.find_violations(site), [])
        self.assertEqual(len(site.network.answers), len(site.sent))


class LatencyHistogramTest(unittest.TestCase):
    """Quantiles of the recent latencies."""

    def test_quantiles(self) -> None:
        histogram = latency.LatencyHistogram()
        self.assertEqual(histogram.quantile_ms(0.95, default_ms=77), 77)
        for value in [10] * 90 + [200] * 10:
            histogram.observe(value)
        self.assertAlmostEqual(histogram.quantile_ms(0.5, 0), 10, delta=1)
        self.assertAlmostEqual(histogram.quantile_ms(0.95, 0), 200, delta=20)

    def test_old_latencies_lose_their_weight(self) -> None:
        histogram = latency.LatencyHistogram()
        for value in [500] * 4_000 + [10] * 20_000:
            histogram.observe(value)
        self.assertLess(histogram.quantile_ms(0.95, 0), 20)


class TokenBudgetTest(unittest.TestCase):
    """Tokens are earned up to a maximum, and a spent budget denies more."""

    def test_spending_and_earning_are_bounded(self) -> None:
        budget = budgets.TokenBudget(2.0)
        self.assertEqual([budget.spend() for _ in range(3)], [True, True, False])
        for _ in range(100):
            budget.earn(0.05)
        self.assertEqual(budget.tokens, 2.0)
