"""Property tests of forwarded requests over generated sequences of events."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import commands, events, leaf_selection
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, requests

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
LIMITS = gateway.Limits(retry_ratio=0.2, retry_slack=10)
# Statuses that mean "not run" to clients. A leaf that sends one without marking its
# answer as not run may have run the request.
NOT_RUN_STATUSES = (408, 421, 429, 503)

# Each step is a request, the end of a running attempt, a wait, or a change of a leaf.
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("ask"), strategies.sampled_from(("/wide/1", "/visit/1"))
        ),
        strategies.tuples(strategies.just("answer"), strategies.integers(0, 50)),
        strategies.tuples(strategies.just("reject"), strategies.integers(0, 50)),
        strategies.tuples(strategies.just("error"), strategies.integers(0, 50)),
        strategies.tuples(
            strategies.just("unproven_not_run"), strategies.integers(0, 50)
        ),
        strategies.tuples(strategies.just("lose"), strategies.integers(0, 50)),
        strategies.tuples(strategies.just("unreachable"), strategies.integers(0, 50)),
        strategies.tuples(strategies.just("opening"), strategies.integers(0, 50)),
        strategies.tuples(strategies.just("wait"), strategies.integers(1, 300)),
        strategies.tuples(strategies.just("leave"), strategies.integers(0, 20)),
        strategies.tuples(strategies.just("drain"), strategies.integers(0, 11)),
        strategies.tuples(strategies.just("delete"), strategies.integers(0, 11)),
        strategies.tuples(strategies.just("evacuate"), strategies.booleans()),
    ),
    max_size=60,
)


class _Scenario:
    """A site with the runs of its leaves.

    Each step of a sequence calls the method with its name and an underscore.
    """

    def __init__(self, idempotent: bool) -> None:
        self.site = gateway_site.GatewaySite(LIMITS)
        found = gateway_site.configuration(
            gateway_site.route(), gateway_site.single(idempotent=idempotent)
        )
        services = (*gateway_site.SHARDS, "visits")
        self.entries = [
            gateway_site.entry(f"{service}-{n}", service, domain)
            for service in services
            for n, domain in enumerate(("a1", "a1", "b1"))
        ]
        self.site.begin(found, *self.entries)
        # Number of runs by request, service and leaf.
        self.runs: collections.Counter[tuple[int, str, str]] = collections.Counter()
        # Attempts that wait for their connection.
        self.opening: set[int] = set()
        self.leaving_ms: dict[str, int] = {}
        self.evacuated_ms: int | None = None

    def play(self, steps: list[tuple[str, object]]) -> None:
        for kind, drawn in steps:
            before = len(self.site.sent)
            getattr(self, f"_{kind}")(drawn)
            self._check_sends(before)

    def finish(self) -> None:
        self.site.advance(2_000)

    def _running(self, drawn: int) -> gateway_site.Sent | None:
        running = [
            sent
            for sent in self.site.sent
            if sent.command.attempt in self.site.gateway.attempts
        ]
        return running[drawn % len(running)] if running else None

    def _count_run(self, sent: gateway_site.Sent) -> None:
        leaf_id = sent.command.leaf_id
        service = leaf_id.rpartition("-")[0]
        self.runs[sent.command.request_key, service, leaf_id] += 1

    def _ask(self, path: str) -> None:
        self.site.request(path)

    def _opening(self, drawn: int) -> None:
        sent = self._running(drawn)
        if sent is not None:
            self.opening.add(sent.command.attempt)
            self.site.feed(events.AttemptOpening(sent.command.attempt))

    def _send(self, sent: gateway_site.Sent) -> None:
        if sent.command.attempt in self.opening:
            self.opening.remove(sent.command.attempt)
            self.site.feed(events.AttemptSent(sent.command.attempt))

    def _end(self, drawn: int, given: requests.LeafAnswer, ran: bool) -> None:
        sent = self._running(drawn)
        if sent is not None:
            self._send(sent)
            if ran:
                self._count_run(sent)
            self.site.reply(sent, given)

    def _answer(self, drawn: int) -> None:
        self._end(drawn, gateway_site.answer(signature=b"%d" % drawn), True)

    def _reject(self, drawn: int) -> None:
        self._end(drawn, gateway_site.REJECTED, False)

    def _error(self, drawn: int) -> None:
        self._end(drawn, gateway_site.answer(500), True)

    def _unproven_not_run(self, drawn: int) -> None:
        self._end(drawn, gateway_site.answer(NOT_RUN_STATUSES[drawn % 4]), True)

    def _lose(self, drawn: int) -> None:
        sent = self._running(drawn)
        if sent is not None:
            self._send(sent)
            self._count_run(sent)
            self.site.fail(sent, requests.AttemptEnd.LOST)

    def _unreachable(self, drawn: int) -> None:
        sent = self._running(drawn)
        if sent is not None:
            self.site.fail(sent, requests.AttemptEnd.UNREACHABLE)

    def _wait(self, drawn: int) -> None:
        self.site.advance(drawn)

    def _leave(self, drawn: int) -> None:
        self.site.feed(events.ClientLeft(drawn))

    def _drain(self, drawn: int) -> None:
        entry = self.entries[drawn]._replace(draining=True)
        self.leaving_ms.setdefault(entry.leaf_id, self.site.now_ms)
        self.site.feed(events.LeafWritten(entry))

    def _delete(self, drawn: int) -> None:
        leaf_id = self.entries[drawn].leaf_id
        self.leaving_ms.setdefault(leaf_id, self.site.now_ms)
        self.site.feed(events.LeafDeleted(leaf_id))

    def _evacuate(self, drawn: bool) -> None:
        self.evacuated_ms = self.site.now_ms if drawn else None
        self.site.feed(events.EvacuationChanged("b1", drawn))

    def _check_sends(self, first: int) -> None:
        domains = {entry.leaf_id: entry.failure_domain for entry in self.entries}
        for sent in self.site.sent[first:]:
            leaf_id = sent.command.leaf_id
            left_ms = self.leaving_ms.get(leaf_id)
            if left_ms is not None and sent.at_ms - left_ms > LIMITS.drain_ms:
                raise AssertionError(f"{leaf_id} got a request after its drain time")
            if self.evacuated_ms is not None and domains[leaf_id] == "b1":
                raise AssertionError(f"{leaf_id} got a request while evacuated")


class ForwardingPropertiesTest(unittest.TestCase):
    """Invariants that hold for every sequence of events."""

    @SETTINGS
    @hypothesis.given(STEPS)
    def test_a_run_once_request_runs_at_most_once_and_not_run_is_true(
        self, steps: list[tuple[str, object]]
    ) -> None:
        scenario = _Scenario(idempotent=False)
        scenario.play(steps)
        scenario.finish()
        for key, answer in scenario.site.answers.items():
            ran = sum(
                count
                for (asked, service, _), count in scenario.runs.items()
                if (asked, service) == (key, "visits")
            )
            self.assertLessEqual(ran, 1)
            if isinstance(answer, commands.Refuse) and answer.not_run:
                self.assertEqual(ran, 0)
                self.assertEqual(
                    [
                        s
                        for s in scenario.site.sends_of(key)
                        if _is_running(scenario, s)
                    ],
                    [],
                )
            if isinstance(answer, commands.PassAnswer):
                self.assertNotIn(answer.answer.status, NOT_RUN_STATUSES)

    @SETTINGS
    @hypothesis.given(STEPS)
    def test_every_request_is_answered_once_and_in_time(
        self, steps: list[tuple[str, object]]
    ) -> None:
        scenario = _Scenario(idempotent=True)
        scenario.play(steps)
        scenario.finish()
        asked = sum(kind == "ask" for kind, _ in steps)
        left = {drawn for kind, drawn in steps if kind == "leave"}
        unanswered = set(range(1, asked + 1)) - set(scenario.site.answers)
        self.assertLessEqual(unanswered, left)
        self.assertEqual(scenario.site.gateway.requests, {})
        self.assertEqual(scenario.site.gateway.attempts, {})

    @SETTINGS
    @hypothesis.given(STEPS)
    def test_no_shard_runs_on_more_leaves_than_allowed(
        self, steps: list[tuple[str, object]]
    ) -> None:
        scenario = _Scenario(idempotent=True)
        scenario.play(steps)
        scenario.finish()
        most = gateway_site.route().maximum_leaves
        leaves = collections.Counter(
            (key, service) for key, service, _ in scenario.runs
        )
        self.assertLessEqual(max(leaves.values(), default=0), most)
        on_one_leaf = max(scenario.runs.values(), default=0)
        self.assertLessEqual(on_one_leaf, leaf_selection.MAXIMUM_RUNS_PER_LEAF)

    @SETTINGS
    @hypothesis.given(STEPS)
    def test_repeats_stay_within_the_budget(
        self, steps: list[tuple[str, object]]
    ) -> None:
        scenario = _Scenario(idempotent=True)
        scenario.play(steps)
        asked = sum(kind == "ask" for kind, _ in steps)
        for service in (*gateway_site.SHARDS, "visits"):
            _, repeats = scenario.site.gateway.window_of(service).totals(
                scenario.site.now_ms
            )
            allowed = LIMITS.retry_ratio * asked + LIMITS.retry_slack
            self.assertLessEqual(repeats, allowed)


def _is_running(scenario: _Scenario, sent: gateway_site.Sent) -> bool:
    return sent.command.attempt in scenario.site.gateway.attempts
