"""Tests of what daemons tell each other about slow leaves."""

import unittest

from amaranthpulley.coordination.forwarding import commands, events, slowness_reports
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway

USUAL_MS = 10
SLOW_MS = 80


def _site() -> gateway_site.GatewaySite:
    """Return a site with a near and a far leaf, and with usual times known."""
    site = gateway_site.GatewaySite()
    found = gateway_site.configuration(gateway_site.single(objective_ms=400))
    near = gateway_site.entry("near", "visits", "a1")
    site.begin(found, near, gateway_site.entry("far", "visits", "b1"))
    for number in range(2, 31):
        domain = "a1" if number <= 20 else "b1"
        member = gateway.Member(domain, f"vm-{number}:1")
        site.feed(events.MemberChanged(f"vm-{number}", member))
    for _ in range(40):
        _answer_after(site, USUAL_MS)
    return site


def _answer_after(site: gateway_site.GatewaySite, passed_ms: int) -> str:
    """Let a request be answered after a time; return the leaf."""
    key = site.request("/visit/1")
    first = site.sends_of(key)[0]
    site.advance(passed_ms)
    site.reply(first, gateway_site.answer())
    site.advance(10)
    return first.command.leaf_id


def _told(site: gateway_site.GatewaySite) -> list[commands.ReportSlowness]:
    return [c for c in site.others if isinstance(c, commands.ReportSlowness)]


class TellingTest(unittest.TestCase):
    """A late answer is told to some daemons of the region."""

    def test_usual_answers_are_not_told(self) -> None:
        self.assertEqual(_told(_site()), [])

    def test_a_late_answer_is_told_once_to_daemons_of_the_region(self) -> None:
        site = _site()
        _answer_after(site, SLOW_MS)
        (told,) = _told(site)
        self.assertEqual(told.leaf_id, "near")
        self.assertGreater(told.slowness, slowness_reports.REPORTED_SLOWNESS)
        self.assertEqual(len(set(told.addresses)), slowness_reports.MAXIMUM_RECIPIENTS)
        region = {f"vm-{number}:1" for number in range(2, 21)}
        self.assertLessEqual(set(told.addresses), region)

    def test_answers_are_told_at_a_bounded_pace(self) -> None:
        site = _site()
        for _ in range(2):
            self.assertEqual(_answer_after(site, SLOW_MS), "near")
        self.assertEqual(len(_told(site)), 1)
        site.advance(slowness_reports.MINIMUM_REPORT_INTERVAL_MS)
        _answer_after(site, SLOW_MS)
        self.assertEqual(len(_told(site)), 2)

    def test_leaves_of_other_regions_are_not_told(self) -> None:
        site = _site()
        site.feed(events.EvacuationChanged("a1", True))
        for _ in range(40):
            self.assertEqual(_answer_after(site, USUAL_MS + 30), "far")
        _answer_after(site, 10 * SLOW_MS)
        self.assertEqual(_told(site), [])


class HearingTest(unittest.TestCase):
    """What other daemons have seen counts like an answer of the daemon's own."""

    def test_one_late_answer_is_no_proof(self) -> None:
        site = _site()
        site.feed(events.SlownessReported("near", 8.0))
        self.assertEqual(_answer_after(site, USUAL_MS), "near")

    def test_several_late_answers_turn_requests_elsewhere(self) -> None:
        site = _site()
        # The far leaf has an open connection and a known distance.
        site.feed(events.EvacuationChanged("a1", True))
        _answer_after(site, USUAL_MS + 30)
        site.feed(events.EvacuationChanged("a1", False))
        for _ in range(16):
            site.feed(events.SlownessReported("near", 8.0))
            site.advance(150)
        self.assertEqual(_answer_after(site, USUAL_MS + 30), "far")
        site.advance(20_000)
        self.assertEqual(_answer_after(site, USUAL_MS), "near")

    def test_an_unknown_leaf_changes_nothing(self) -> None:
        site = _site()
        site.feed(events.SlownessReported("nobody", 8.0))
        self.assertEqual(_answer_after(site, USUAL_MS), "near")
