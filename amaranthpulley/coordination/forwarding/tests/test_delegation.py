"""Tests of requests that are handed over to delegates."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import commands, delegation, events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import delegations, gateway, requests

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
VERSION = 1


class DelegatingSite:
    """A daemon in a domain of 20 with the delegates fast-0 and fast-1.

    Parameters
    ----------
    name : str
        Name of the daemon; fast-0 makes it a delegate.
    """

    def __init__(self, name: str = "vm-1", **route: object) -> None:
        self.site = gateway_site.GatewaySite()
        place = self.site.gateway.place._replace(name=name)
        self.site.gateway = gateway.Gateway(
            place, gateway.Limits(retry_slack=200), self.site.now_ms - 60_000
        )
        found = gateway_site.configuration(
            gateway_site.route(**route), gateway_site.single(), version=VERSION
        )
        entries = [
            gateway_site.entry(f"{service}-{number}", service, domain)
            for service in (*gateway_site.SHARDS, "visits")
            for number, domain in enumerate(("a1", "a1", "b1"))
        ]
        self.site.begin(found, *entries)
        names = ["fast-0", "fast-1", *(f"vm-{number}" for number in range(1, 19))]
        for other in names:
            speed = 2.0 if other.startswith("fast") else 0.5
            member = gateway.Member("a1", f"{other}:1", f"{other}:2", speed)
            self.site.feed(events.MemberChanged(other, member))

    def handed_over(self) -> list[commands.SendToDelegate]:
        """Return the commands that sent requests to delegates."""
        found = self.site.others
        return [c for c in found if isinstance(c, commands.SendToDelegate)]

    def receive(self, origin: delegations.Origin) -> int:
        """Feed a request of another daemon and return its key."""
        incoming = requests.IncomingRequest(
            99, "r99", gateway_site.HOST, "/wide/1", (99,), 800, origin
        )
        self.site.feed(events.RequestArrived(incoming))
        return 99


def _merged() -> requests.LeafAnswer:
    return gateway_site.answer(signature=b"", body=b"records")


class HandOverTest(unittest.TestCase):
    """Which requests are handed over."""

    def test_sharded_requests_are_and_single_ones_are_not(self) -> None:
        delegating = DelegatingSite()
        key = delegating.site.request()
        delegating.site.request("/visit/1")
        (sent,) = delegating.handed_over()
        self.assertEqual(sent.request_key, key)
        self.assertEqual(sent.origin, delegations.Origin(VERSION, 0))
        self.assertEqual(delegating.site.sends_of(key), [])

    def test_a_delegate_runs_its_own_requests(self) -> None:
        delegating = DelegatingSite("fast-0")
        key = delegating.site.request()
        self.assertEqual(delegating.handed_over(), [])
        self.assertEqual(len(delegating.site.sends_of(key)), len(gateway_site.SHARDS))

    def test_a_route_of_other_regions_is_not_handed_over(self) -> None:
        delegating = DelegatingSite(regions=frozenset({"b"}))
        delegating.site.request()
        self.assertEqual(delegating.handed_over(), [])

    def test_a_request_that_must_not_run_twice_is_not_handed_over(self) -> None:
        delegating = DelegatingSite(idempotent=False)
        delegating.site.request()
        self.assertEqual(delegating.handed_over(), [])

    def test_a_daemon_with_much_traffic_runs_its_own_requests(self) -> None:
        delegating = DelegatingSite()
        for _ in range(50):
            delegating.site.request()
            number = delegating.handed_over()[-1].delegation
            delegating.site.feed(events.DelegateAnswered(number, _merged(), 0))
            delegating.site.advance(100)
        key = delegating.site.request()
        self.assertTrue(delegating.site.sends_of(key))

    def test_the_answer_is_passed_on(self) -> None:
        delegating = DelegatingSite()
        key = delegating.site.request()
        (sent,) = delegating.handed_over()
        delegating.site.feed(events.DelegateHeard(sent.delegation))
        answer = _merged()
        delegating.site.feed(events.DelegateAnswered(sent.delegation, answer, 0))
        expected = commands.PassAnswer(key, answer)
        self.assertEqual(delegating.site.answers[key], expected)
        self.assertEqual(delegating.site.gateway.requests, {})

    def test_it_is_cancelled_when_the_client_disconnects(self) -> None:
        delegating = DelegatingSite()
        key = delegating.site.request()
        (sent,) = delegating.handed_over()
        delegating.site.feed(events.ClientLeft(key))
        cancelled = commands.CancelAttempt(sent.delegation)
        self.assertIn(cancelled, delegating.site.others)
        self.assertEqual(delegating.site.gateway.delegations, {})


class LostDelegateTest(unittest.TestCase):
    """Delegates that are silent, lost, stopped or refuse a request."""

    def setUp(self) -> None:
        self.delegating = DelegatingSite()
        self.site = self.delegating.site
        self.key = self.site.request()

    def _latest(self) -> commands.SendToDelegate:
        return self.delegating.handed_over()[-1]

    def test_a_silent_one_is_replaced_and_then_the_leaves_are_asked(self) -> None:
        self.site.advance(delegation.ACKNOWLEDGEMENT_TIMEOUT_MS)
        first, second = self.delegating.handed_over()
        self.assertNotEqual(first.address, second.address)
        self.assertIn(commands.CancelAttempt(first.delegation), self.site.others)
        self.site.advance(delegation.ACKNOWLEDGEMENT_TIMEOUT_MS)
        self.assertEqual(len(self.site.sends_of(self.key)), len(gateway_site.SHARDS))

    def test_a_silent_one_gets_no_requests_for_a_while(self) -> None:
        first = self._latest()
        self.site.advance(delegation.ACKNOWLEDGEMENT_TIMEOUT_MS)
        self.site.feed(events.DelegateHeard(self._latest().delegation))
        self.site.request()
        self.assertNotEqual(self._latest().address, first.address)
        self.site.advance(delegation.FIRST_SUSPICION_MS)
        self.site.request()
        self.assertEqual(self._latest().address, first.address)

    def test_one_that_works_for_long_is_waited_for(self) -> None:
        sent = self._latest()
        for _ in range(6):
            self.site.feed(events.DelegateHeard(sent.delegation))
            self.site.advance(100)
        self.assertEqual(len(self.delegating.handed_over()), 1)

    def test_one_that_is_lost_after_it_may_have_run_the_request_ends_it(self) -> None:
        """Other leaves than the lost delegate's would be more than the route allows."""
        ends = set(requests.AttemptEnd) - requests.NOT_ARRIVED
        for end in sorted(ends, key=lambda end: end.value):
            with self.subTest(end):
                key = self.site.request()
                self.site.gateway.suspected_delegates.clear()
                self.site.feed(events.DelegateFailed(self._latest().delegation, end))
                self._check_unknown(key)

    def test_one_that_falls_silent_after_its_acknowledgement_ends_it(self) -> None:
        self.site.feed(events.DelegateHeard(self._latest().delegation))
        self.site.advance(delegation.SILENCE_TIMEOUT_MS)
        self._check_unknown(self.key)

    def _check_unknown(self, key: int) -> None:
        refused = self.site.answers[key]
        self.assertEqual(refused.reason, commands.Refusal.OUTCOME_UNKNOWN)
        self.assertFalse(refused.not_run)
        self.assertEqual(self.site.sends_of(key), [])

    def test_sends_after_silence_are_repeats_on_fewer_leaves(self) -> None:
        self.site.advance(2 * delegation.ACKNOWLEDGEMENT_TIMEOUT_MS)
        for service in gateway_site.SHARDS:
            window = self.site.gateway.window_of(service)
            self.assertEqual(window.totals(self.site.now_ms), (0, 1))
        self.site.advance(200)
        by_shard = {sent.command.leaf_id for sent in self.site.sends_of(self.key)}
        self.assertEqual(len(by_shard), len(gateway_site.SHARDS))

    def test_sends_after_a_refusal_are_first_sends(self) -> None:
        for _ in range(2):
            refused = gateway_site.answer(503, signature=b"")
            number = self._latest().delegation
            self.site.feed(events.DelegateAnswered(number, refused, None))
        for service in gateway_site.SHARDS:
            window = self.site.gateway.window_of(service)
            self.assertEqual(window.totals(self.site.now_ms), (1, 0))

    def test_a_request_without_an_answer_is_not_said_to_have_not_run(self) -> None:
        for _ in range(10):
            self.site.feed(events.DelegateHeard(self._latest().delegation))
            self.site.advance(100)
        refused = self.site.answers[self.key]
        self.assertEqual(refused.reason, commands.Refusal.TIMED_OUT)
        self.assertFalse(refused.not_run)
        cancelled = commands.CancelAttempt(self._latest().delegation)
        self.assertIn(cancelled, self.site.others)

    def test_late_messages_of_an_earlier_delegate_change_nothing(self) -> None:
        first = self._latest()
        self.site.advance(delegation.ACKNOWLEDGEMENT_TIMEOUT_MS)
        self.site.feed(events.DelegateHeard(first.delegation))
        self.site.feed(events.DelegateAnswered(first.delegation, _merged(), 0))
        self.assertEqual(self.site.answers, {})


class DelegatedRequestTest(unittest.TestCase):
    """Requests that a delegate runs for another daemon."""

    def test_it_runs_them_itself(self) -> None:
        delegating = DelegatingSite()
        key = delegating.receive(delegations.Origin(VERSION, 0))
        self.assertEqual(delegating.handed_over(), [])
        self.assertEqual(len(delegating.site.sends_of(key)), len(gateway_site.SHARDS))

    def test_time_that_has_passed_counts(self) -> None:
        delegating = DelegatingSite()
        key = delegating.receive(delegations.Origin(VERSION, 60))
        request = delegating.site.gateway.requests[key]
        self.assertEqual(request.arrived_ms, delegating.site.now_ms - 60)

    def test_another_version_is_refused_as_not_run(self) -> None:
        for version in (VERSION - 1, VERSION + 1):
            with self.subTest(version=version):
                delegating = DelegatingSite()
                key = delegating.receive(delegations.Origin(version, 0))
                refused = delegating.site.answers[key]
                self.assertEqual(refused.reason, commands.Refusal.OTHER_VERSION)
                self.assertTrue(refused.not_run)

    def test_a_draining_delegate_refuses_them(self) -> None:
        delegating = DelegatingSite()
        delegating.site.feed(events.DrainRequested())
        key = delegating.receive(delegations.Origin(VERSION, 0))
        refused = delegating.site.answers[key]
        self.assertEqual(refused.reason, commands.Refusal.DRAINING)
        self.assertTrue(refused.not_run)


class DelegationPropertiesTest(unittest.TestCase):
    """Interleavings of requests, messages of delegates, and waits."""

    STEPS = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ("ask", "hear", "answer", "refuse", "lose", "miss", "part", "leave")
            ),
            strategies.integers(0, 60),
        ),
        max_size=50,
    )

    @SETTINGS
    @hypothesis.given(STEPS)
    def test_each_request_gets_one_answer_and_bounded_work(
        self, steps: list[tuple[str, int]]
    ) -> None:
        """`GatewaySite` fails on a second answer."""
        delegating = DelegatingSite()
        site = delegating.site
        asked: set[int] = set()
        for kind, drawn in steps:
            sent = delegating.handed_over()
            chosen = sent[drawn % len(sent)].delegation if sent else 0
            if kind == "ask":
                asked.add(site.request())
            elif kind == "hear":
                site.feed(events.DelegateHeard(chosen))
            elif kind == "answer":
                site.feed(events.DelegateAnswered(chosen, _merged(), 0))
            elif kind == "refuse":
                refused = gateway_site.answer(503, signature=b"")
                site.feed(events.DelegateAnswered(chosen, refused, None))
            elif kind == "lose":
                site.feed(events.DelegateFailed(chosen, requests.AttemptEnd.LOST))
            elif kind == "miss":
                end = requests.AttemptEnd.UNREACHABLE
                site.feed(events.DelegateFailed(chosen, end))
            elif kind == "part" and site.sent:
                site.reply(site.sent[drawn % len(site.sent)], gateway_site.answer())
            elif kind == "leave" and drawn in asked:
                site.feed(events.ClientLeft(drawn))
                asked.discard(drawn)
            site.advance(drawn)
            self._check_leaves(site)
        site.advance(3_000)
        self.assertLessEqual(asked, set(site.answers))
        self.assertEqual(site.gateway.delegations, {})
        self.assertEqual(site.gateway.requests, {})

    def _check_leaves(self, site: gateway_site.GatewaySite) -> None:
        for request in site.gateway.requests.values():
            for call in request.calls:
                used = len(call.runs) + call.runs_elsewhere
                self.assertLessEqual(used, request.route.maximum_leaves)
