"""Tests of the budget for retries and hedges."""

import unittest

from amaranthpulley.coordination.forwarding import (
    events,
    leaf_selection,
    retry_budget,
)
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, requests

LIMITS = gateway.Limits(retry_ratio=0.2, retry_slack=20)
DAEMONS = 4


def _site(started_ago_ms: int = 60_000) -> gateway_site.GatewaySite:
    site = gateway_site.GatewaySite(LIMITS)
    site.gateway.started_ms = site.now_ms - started_ago_ms
    entries = [gateway_site.entry(f"l{n}", "visits", slots=40) for n in range(6)]
    site.begin(gateway_site.configuration(gateway_site.single()), *entries)
    for number in range(2, DAEMONS + 1):
        member = gateway.Member("a1", "")
        site.feed(events.MemberChanged(f"vm-{number}", member))
    return site


def _failed_and_retried(site: gateway_site.GatewaySite, count: int) -> int:
    """Fail the first attempt of each of `count` requests; return the retries sent."""
    for _ in range(count):
        key = site.request("/visit/1")
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.FAILED)
    return len(site.sent) - count


class RetryBudgetTest(unittest.TestCase):
    """Retries and hedges that one of several daemons may send."""

    def test_it_spends_its_part_of_the_slack_and_the_ratio_of_its_requests(
        self,
    ) -> None:
        repeats = _failed_and_retried(_site(), 100)
        most = LIMITS.retry_ratio * 100 + LIMITS.retry_slack / DAEMONS
        self.assertLessEqual(repeats, most)
        self.assertGreaterEqual(repeats, 0.85 * most)

    def test_a_daemon_that_has_just_started_has_no_slack(self) -> None:
        asked = 20
        fresh = _failed_and_retried(_site(started_ago_ms=0), asked)
        self.assertLessEqual(fresh, LIMITS.retry_ratio * asked)
        self.assertGreater(_failed_and_retried(_site(), asked), fresh)

    def test_hedges_leave_a_part_of_the_budget_to_retries(self) -> None:
        site = _site()
        for _ in range(60):
            site.request("/visit/1")
            site.advance(1)
        site.advance(300)
        hedges = len(site.sent) - 60
        most = LIMITS.retry_ratio * 60 + LIMITS.retry_slack / DAEMONS
        self.assertLess(hedges, 0.85 * most)

    def test_a_request_waits_for_a_spent_budget(self) -> None:
        site = _site()
        _failed_and_retried(site, 100)
        # The requests that wait for the budget time out.
        site.advance(1_000)
        key = site.request("/visit/1")
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.FAILED)
        self.assertNotIn(key, site.answers)
        # Further requests increase the budget.
        for _ in range(30):
            other = site.request("/visit/1")
            site.reply(site.sends_of(other)[0], gateway_site.answer())
        site.advance(50)
        self.assertEqual(len(site.sends_of(key)), 2)

    def test_no_retry_is_sent_that_cannot_be_answered_in_time(self) -> None:
        # Guards against a request that all leaves have rejected and that is sent again
        # just before its deadline: the client gets 504 in place of 503 (REFUSED).
        # A spent budget is checked every 20 ms, so that the last check comes at another
        # distance from each of these deadlines.
        for deadline_ms in range(300, 320):
            with self.subTest(deadline_ms):
                site = _site()
                _failed_and_retried(site, 100)
                site.advance(1_000)
                key = site.request("/visit/1", deadline_ms=deadline_ms)
                site.reply(site.sends_of(key)[0], gateway_site.REJECTED)
                request = site.gateway.requests[key]
                fastest_ms = leaf_selection.fastest_answer_ms(
                    site.gateway, request.route
                )
                self.assertGreater(fastest_ms, 5)
                latest_ms = request.give_up_ms - int(fastest_ms)
                site.advance(latest_ms - site.now_ms)
                # Further requests increase the budget.
                for _ in range(30):
                    site.request("/visit/1")
                site.advance(request.give_up_ms - latest_ms)
                late = [s.at_ms for s in site.sends_of(key) if s.at_ms > latest_ms]
                self.assertEqual(late, [])
                self.assertTrue(site.answers[key].not_run)

    def test_a_retry_after_an_unreachable_leaf_is_free(self) -> None:
        site = _site(started_ago_ms=0)
        key = site.request("/visit/1")
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.UNREACHABLE)
        self.assertEqual(len(site.sends_of(key)), 2)


class ScarcityTest(unittest.TestCase):
    """How the spent part of the budget delays hedges."""

    def test_it_grows_with_the_repeats_up_to_one(self) -> None:
        site = _site()
        found = []
        for count in (0, 2, 3, 40):
            for _ in range(count):
                site.gateway.window_of("visits").add_repeat(site.now_ms)
            spent = retry_budget.scarcity(site.gateway, "visits", site.now_ms)
            found.append(spent)
        self.assertEqual(found, sorted(found))
        self.assertLess(found[0], 0.5)
        self.assertEqual(found[-1], 1.0)

    def test_an_attempt_is_late_sooner_while_the_budget_is_unused(self) -> None:
        site = _site()
        leaf = site.gateway.directory.get("l0")
        route = gateway_site.single(objective_ms=2_000)
        times = [
            leaf_selection.late_after_ms(site.gateway, leaf, route, spent)
            for spent in (0.0, 0.5, 1.0)
        ]
        self.assertEqual(times, sorted(times))
        self.assertLess(times[0], times[-1])


class RejectingLeafTest(unittest.TestCase):
    """Leaves that reject requests."""

    def test_a_rejecting_leaf_is_avoided_and_later_used_again(self) -> None:
        site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.single())
        near = gateway_site.entry("near", "visits", "a1")
        site.begin(found, near, gateway_site.entry("far", "visits", "b1"))
        for _ in range(12):
            key = site.request("/visit/1")
            for sent in site.sends_of(key):
                if sent.command.leaf_id == "near":
                    site.reply(sent, gateway_site.REJECTED)
            if key not in site.answers:
                site.reply(site.sends_of(key)[-1], gateway_site.answer())
            site.advance(30)
        key = site.request("/visit/1")
        self.assertEqual(site.sends_of(key)[0].command.leaf_id, "far")
        site.reply(site.sends_of(key)[0], gateway_site.answer())
        site.advance(30_000)
        key = site.request("/visit/1")
        self.assertEqual(site.sends_of(key)[0].command.leaf_id, "near")
