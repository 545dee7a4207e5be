"""Tests of what leaves ask for in their answers."""

import unittest

from amaranthpulley.coordination.forwarding import (
    commands,
    events,
    leaf_health,
    leaf_permits,
)
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, requests


def limited(per_s: float | None, **changes: object) -> requests.LeafAnswer:
    """Return an answer that names a limit."""
    return gateway_site.answer(demands=requests.LeafDemands(per_s), **changes)


class LeafLimitTest(unittest.TestCase):
    """A service whose only leaf names a limit of 10 requests a second."""

    def setUp(self) -> None:
        self.site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.single())
        self.site.begin(found, gateway_site.entry("l", "visits"))

    def _ask_for(self, seconds: float, per_s: int, given: requests.LeafAnswer) -> int:
        """Send requests and answer each at once; return how many reached the leaf."""
        before = len(self.site.sent)
        answered = before
        for _ in range(int(seconds * per_s)):
            self.site.request("/visit/1")
            while answered < len(self.site.sent):
                self.site.reply(self.site.sent[answered], given)
                answered += 1
            self.site.advance(1000 // per_s)
            while answered < len(self.site.sent):
                self.site.reply(self.site.sent[answered], given)
                answered += 1
        return len(self.site.sent) - before

    def _add_daemons(self, count: int) -> None:
        for number in range(2, count + 1):
            member = gateway.Member("a1", f"vm-{number}:1")
            self.site.feed(events.MemberChanged(f"vm-{number}", member))

    def test_one_daemon_uses_the_limit(self) -> None:
        sent = self._ask_for(4.0, 50, limited(10.0))
        self.assertLessEqual(sent, 1.5 * 40 + 5)
        self.assertGreaterEqual(sent, 40)

    def test_daemons_divide_the_limit(self) -> None:
        self._add_daemons(4)
        sent = self._ask_for(4.0, 50, limited(10.0))
        self.assertLessEqual(sent, (1.5 * 40 + 5) / 4)
        self.assertGreaterEqual(sent, 10)

    def test_the_limit_ends_when_the_leaf_no_longer_names_it(self) -> None:
        self._ask_for(1.0, 50, limited(2.0))
        self.site.advance(2_000)
        self.assertGreater(self._ask_for(1.0, 50, limited(None)), 40)

    def test_requests_between_two_limits_do_not_count_for_the_second(self) -> None:
        self._ask_for(0.5, 50, limited(10.0))
        self.site.advance(2_000)
        self._ask_for(4.0, 50, limited(None))
        self._ask_for(0.5, 50, limited(10.0))
        sent = self._ask_for(4.0, 50, limited(10.0))
        self.assertGreaterEqual(sent, 40)
        self.assertLessEqual(sent, 1.5 * 40 + 5)

    def test_a_rejection_without_a_limit_does_not_end_it(self) -> None:
        self._ask_for(0.1, 50, limited(2.0))
        self.site.advance(2_000)
        sent = self._ask_for(2.0, 50, gateway_site.REJECTED)
        self.assertLessEqual(sent, 1.5 * 4 + 5)

    def test_the_end_of_a_limit_of_zero_is_learned(self) -> None:
        self._ask_for(0.1, 50, limited(0.0))
        sent = self._ask_for(8.0, 10, limited(0.0))
        self.assertLessEqual(sent, 5 * 2)
        self.assertGreaterEqual(sent, 1)

    def test_a_request_that_cannot_be_served_in_time_is_refused_at_once(self) -> None:
        self._add_daemons(8)
        self._ask_for(0.1, 50, limited(1.0))
        key = self.site.request("/visit/1", deadline_ms=300)
        refusal = self.site.answers[key]
        self.assertIsInstance(refusal, commands.Refuse)
        self.assertTrue(refusal.not_run)
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_a_waiting_request_names_the_limit_as_its_reason(self) -> None:
        self._ask_for(0.1, 50, limited(10.0))
        key = self.site.request("/visit/1")
        request = self.site.gateway.requests[key]
        waited = [t for t in request.trace if t.decision == "leaves_busy"]
        self.assertEqual(waited[0].detail, leaf_permits.HoldReason.LIMIT.value)

    def test_an_answer_of_another_leaf_sets_no_limit(self) -> None:
        key = self.site.request("/visit/1")
        misdirected = limited(1.0, status=421, signature=b"", not_run=True)
        self.site.reply(self.site.sends_of(key)[0], misdirected)
        entry = gateway_site.entry("l", "visits")
        self.site.feed(events.LeafWritten(entry))
        self.assertGreater(self._ask_for(1.0, 50, gateway_site.answer()), 40)


class LeafPauseTest(unittest.TestCase):
    """Leaves that turn requests away and want a pause of 2 s."""

    def setUp(self) -> None:
        self.site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.route(), gateway_site.single())
        services = (*gateway_site.SHARDS, "visits")
        entries = [gateway_site.entry(f"{s}-0", s) for s in services]
        self.site.begin(found, *entries)

    def _pause(self, path: str, *services: str) -> None:
        """Let the leaves of services turn a request away; the others answer."""
        paused = requests.LeafDemands(pause_ms=2_000)
        for sent in self.site.sends_of(self.site.request(path)):
            service = sent.command.leaf_id.rpartition("-")[0]
            given = gateway_site.answer()
            if service in services:
                given = gateway_site.REJECTED._replace(demands=paused)
            self.site.reply(sent, given)

    def _refusal_of(self, path: str, deadline_ms: int) -> commands.Refuse:
        key = self.site.request(path, deadline_ms)
        refusal = self.site.answers[key]
        self.assertIsInstance(refusal, commands.Refuse)
        return refusal

    def test_what_cannot_be_served_by_its_end_is_refused_with_that_time(self) -> None:
        self._pause("/visit/1", "visits")
        refusal = self._refusal_of("/visit/1", 700)
        self.assertEqual(refusal.reason, commands.Refusal.OVERLOADED)
        self.assertTrue(refusal.not_run)
        self.assertGreater(refusal.retry_after_ms, 100)

    def test_a_search_that_cannot_have_its_coverage_is_refused_at_once(self) -> None:
        self._pause("/wide/1", *gateway_site.SHARDS[:2])
        refusal = self._refusal_of("/wide/1", 700)
        self.assertEqual(refusal.reason, commands.Refusal.OVERLOADED)
        self.assertTrue(refusal.not_run)

    def test_a_search_with_enough_shards_is_served(self) -> None:
        self._pause("/wide/1", gateway_site.SHARDS[0])
        key = self.site.request("/wide/1", 700)
        self.assertEqual(len(self.site.sends_of(key)), 2)

    def test_a_paused_leaf_gets_no_health_check(self) -> None:
        self._pause("/visit/1", "visits")
        leaf_health.suspect(
            self.site.gateway.directory.get("visits-0"), self.site.now_ms
        )
        self.site.others.clear()
        self.site.advance(1_900)
        probes = [c for c in self.site.others if isinstance(c, commands.ProbeLeaf)]
        self.assertEqual(probes, [])
        self.site.advance(1_000)
        probes = [c for c in self.site.others if isinstance(c, commands.ProbeLeaf)]
        self.assertEqual(len(probes), 1)


class LeafStartTest(unittest.TestCase):
    """Answers that come after the directory has changed."""

    LEAVING = gateway_site.answer(demands=requests.LeafDemands(leaving=True))

    def setUp(self) -> None:
        self.site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.single())
        self.entry = gateway_site.entry("l", "visits")
        self.site.begin(found, self.entry)
        self.sent = self.site.sends_of(self.site.request("/visit/1"))[0]

    def _is_leaving(self) -> bool:
        leaf = self.site.gateway.directory.get("l")
        return leaf_permits.leaving_since_ms(leaf) is not None

    def test_one_of_an_earlier_start_says_nothing_of_the_new_one(self) -> None:
        self.site.feed(events.LeafWritten(self.entry._replace(born_ms=2_000)))
        self.site.reply(self.sent, self.LEAVING)
        self.assertFalse(self._is_leaving())

    def test_one_that_comes_while_the_entry_is_gone_is_remembered(self) -> None:
        self.site.feed(events.LeafDeleted("l"))
        self.site.feed(events.ProbeEnded("l", False, replaced=True))
        self.assertIsNone(self.site.gateway.directory.get("l"))
        self.site.reply(self.sent, self.LEAVING)
        self.site.feed(events.LeafWritten(self.entry))
        self.assertTrue(self._is_leaving())

    def test_a_health_check_that_says_so_counts(self) -> None:
        demands = requests.LeafDemands(leaving=True)
        self.site.feed(events.ProbeEnded("l", False, demands=demands))
        self.assertTrue(self._is_leaving())

    def test_a_health_check_without_a_limit_ends_none(self) -> None:
        self.site.reply(self.sent, limited(2.0))
        self.site.feed(events.ProbeEnded("l", True))
        pressure = self.site.gateway.directory.get("l").backpressure
        self.assertEqual(pressure.limit_per_s, 2.0)
