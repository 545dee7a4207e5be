"""Tests of the reports of slow leaves between daemons."""

import unittest

from amaranthpulley.coordination.forwarding import commands, events, slowness_reports
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway

ORDINARY_MS = 10
SLOW_MS = 80


def _site() -> gateway_site.GatewaySite:
    """Return a site with a near and a far leaf and a measured mean time."""
    site = gateway_site.GatewaySite()
    found = gateway_site.configuration(gateway_site.single(objective_ms=400))
    near = gateway_site.entry("near", "visits", "a1")
    site.begin(found, near, gateway_site.entry("far", "visits", "b1"))
    for number in range(2, 31):
        domain = "a1" if number <= 20 else "b1"
        member = gateway.Member(domain, f"vm-{number}:1")
        site.feed(events.MemberChanged(f"vm-{number}", member))
    for _ in range(40):
        _answer_after(site, ORDINARY_MS)
    return site


def _answer_after(site: gateway_site.GatewaySite, passed_ms: int) -> str:
    """Answer a new request after a time and return the identity of its leaf."""
    key = site.request("/visit/1")
    first = site.sends_of(key)[0]
    site.advance(passed_ms)
    site.reply(first, gateway_site.answer())
    site.advance(10)
    return first.command.leaf_id


def _sent_reports(site: gateway_site.GatewaySite) -> list[commands.ReportSlowness]:
    return [c for c in site.others if isinstance(c, commands.ReportSlowness)]


class SentReportTest(unittest.TestCase):
    """A late answer is reported to some daemons of the region."""

    def test_ordinary_answers_are_not_reported(self) -> None:
        self.assertEqual(_sent_reports(_site()), [])

    def test_a_late_answer_is_reported_once_to_daemons_of_the_region(self) -> None:
        site = _site()
        _answer_after(site, SLOW_MS)
        (report,) = _sent_reports(site)
        self.assertEqual(report.leaf_id, "near")
        self.assertGreater(report.slowness, slowness_reports.REPORTED_SLOWNESS)
        self.assertEqual(
            len(set(report.addresses)), slowness_reports.MAXIMUM_RECIPIENTS
        )
        region = {f"vm-{number}:1" for number in range(2, 21)}
        self.assertLessEqual(set(report.addresses), region)

    def test_the_rate_of_reports_is_bounded(self) -> None:
        site = _site()
        for _ in range(2):
            self.assertEqual(_answer_after(site, SLOW_MS), "near")
        self.assertEqual(len(_sent_reports(site)), 1)
        site.advance(slowness_reports.MINIMUM_REPORT_INTERVAL_MS)
        _answer_after(site, SLOW_MS)
        self.assertEqual(len(_sent_reports(site)), 2)

    def test_leaves_of_other_regions_are_not_reported(self) -> None:
        site = _site()
        site.feed(events.EvacuationChanged("a1", True))
        for _ in range(40):
            self.assertEqual(_answer_after(site, ORDINARY_MS + 30), "far")
        _answer_after(site, 10 * SLOW_MS)
        self.assertEqual(_sent_reports(site), [])


class ReceivedReportTest(unittest.TestCase):
    """A received report weighs as much as an answer to the daemon itself."""

    def test_one_report_does_not_change_the_selection(self) -> None:
        site = _site()
        site.feed(events.SlownessReported("near", 8.0))
        self.assertEqual(_answer_after(site, ORDINARY_MS), "near")

    def test_repeated_reports_move_requests_to_another_leaf(self) -> None:
        site = _site()
        # Gives the far leaf an open connection and a measured distance.
        site.feed(events.EvacuationChanged("a1", True))
        _answer_after(site, ORDINARY_MS + 30)
        site.feed(events.EvacuationChanged("a1", False))
        for _ in range(16):
            site.feed(events.SlownessReported("near", 8.0))
            site.advance(150)
        self.assertEqual(_answer_after(site, ORDINARY_MS + 30), "far")
        site.advance(20_000)
        self.assertEqual(_answer_after(site, ORDINARY_MS), "near")

    def test_a_report_of_an_unknown_leaf_is_ignored(self) -> None:
        site = _site()
        site.feed(events.SlownessReported("nobody", 8.0))
        self.assertEqual(_answer_after(site, ORDINARY_MS), "near")
