"""Tests of daemons whose clients send a request that crashes the leaves running it."""

import heapq
import itertools
import unittest
from typing import Final, NamedTuple

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import crashes, gateway, requests

DAEMONS: Final = 6
SHARDS: Final = tuple(f"index-{n}" for n in range(10))
DOMAINS: Final = ("a1", "b1", "c1")
LEAVES: Final = len(SHARDS) * len(DOMAINS)
# At most half of the leaves may be lost under a crashing request.
BEARABLE_LOSSES: Final = LEAVES // 2
CRASHING: Final = 7
ANSWER_MS: Final = 8
CRASH_MS: Final = 45
# Time until a datagram of another daemon has come.
TOLD_MS: Final = 14
UNREACHABLE_MS: Final = 2


class _Due(NamedTuple):
    """Something that happens at a time."""

    at_ms: int
    order: int
    daemon: int
    event: events.Event
    crashed: str


class CrashingFleet:
    """Daemons that share leaves, some of which are down."""

    def __init__(self) -> None:
        self.down: set[str] = set()
        self.silent: set[str] = set()
        self.crashed_by_request: set[str] = set()
        self.crashing: set[int] = {CRASHING}
        self.now_ms = 0
        self._due: list[_Due] = []
        self._order = itertools.count()
        self.sites = [self._start(number) for number in range(DAEMONS)]
        self.now_ms = self.sites[0].now_ms
        self._delivered = [0] * DAEMONS
        self._published = [0] * DAEMONS

    def _start(self, number: int) -> gateway_site.GatewaySite:
        site = gateway_site.GatewaySite(gateway.Limits(), f"vm-{number}")
        route = gateway_site.route(
            shards=SHARDS, maximum_leaves=3, minimum_coverage=0.89
        )
        entries = [
            gateway_site.entry(f"{shard}-{domain}", shard, domain, slots=4)
            for shard in SHARDS
            for domain in DOMAINS
        ]
        site.begin(gateway_site.configuration(route), *entries)
        for other in range(DAEMONS):
            member = gateway.Member("a1", f"vm-{other}:1")
            site.feed(events.MemberChanged(f"vm-{other}", member))
        return site

    def ask(self, number: int, fingerprint: int) -> int:
        """Send a request to a daemon; return its key."""
        key = self.sites[number].request(fingerprints=(fingerprint,))
        self._collect(number)
        return key

    def answer_to(self, number: int, key: int) -> object:
        """Return the answer to a request, None if it has none yet."""
        return self.sites[number].answers.get(key)

    def crash(self, leaf_ids: set[str]) -> None:
        """End leaves for a reason that is not a request."""
        self.down |= leaf_ids
        lost: list[_Due] = []
        for due in self._due:
            sent = self._sent_of(due)
            if sent is not None and sent.command.leaf_id in leaf_ids:
                end = events.AttemptFailed(
                    sent.command.attempt, requests.AttemptEnd.LOST
                )
                due = due._replace(at_ms=self.now_ms + 1, event=end, crashed="")
            lost.append(due)
        self._due = lost
        heapq.heapify(self._due)

    def advance(self, by_ms: int) -> None:
        """Advance all daemons in steps of a millisecond."""
        for _ in range(by_ms):
            self.now_ms += 1
            for number, site in enumerate(self.sites):
                site.advance(self.now_ms - site.now_ms)
                self._collect(number)
            while self._due and self._due[0].at_ms <= self.now_ms:
                self._happen(heapq.heappop(self._due))

    def _happen(self, due: _Due) -> None:
        if due.crashed:
            self.down.add(due.crashed)
            self.crashed_by_request.add(due.crashed)
        self.sites[due.daemon].feed(due.event)
        self._collect(due.daemon)

    def _sent_of(self, due: _Due) -> gateway_site.Sent | None:
        if not isinstance(due.event, events.AttemptAnswered | events.AttemptFailed):
            return None
        return next(
            sent
            for sent in self.sites[due.daemon].sent
            if sent.command.attempt == due.event.attempt
        )

    def _add(
        self, after_ms: int, daemon: int, event: events.Event, crashed: str = ""
    ) -> None:
        at_ms = self.now_ms + after_ms
        due = _Due(at_ms, next(self._order), daemon, event, crashed)
        heapq.heappush(self._due, due)

    def _collect(self, number: int) -> None:
        site = self.sites[number]
        while self._delivered[number] < len(site.sent):
            sent = site.sent[self._delivered[number]]
            self._delivered[number] += 1
            self._deliver(number, sent)
        for command in site.others[self._published[number] :]:
            if isinstance(command, commands.PublishLosses):
                self._tell(number, command.losses)
        self._published[number] = len(site.others)

    def _deliver(self, number: int, sent: gateway_site.Sent) -> None:
        attempt, leaf_id = sent.command.attempt, sent.command.leaf_id
        request = self.sites[number].gateway.requests[sent.command.request_key]
        if leaf_id in self.silent:
            return
        if leaf_id in self.down:
            end = events.AttemptFailed(attempt, requests.AttemptEnd.UNREACHABLE)
            self._add(UNREACHABLE_MS, number, end)
        elif self.crashing & set(request.incoming.fingerprints):
            end = events.AttemptFailed(attempt, requests.AttemptEnd.LOST)
            self._add(CRASH_MS + attempt % 7, number, end, leaf_id)
        else:
            given = gateway_site.answer(signature=leaf_id.encode())
            self._add(ANSWER_MS, number, events.AttemptAnswered(attempt, given))

    def _tell(self, teller: int, losses: tuple[crashes.Loss, ...]) -> None:
        for number in range(DAEMONS):
            for loss in losses if number != teller else ():
                self._add(TOLD_MS, number, events.LossTold(loss))


class CrashingFleetTest(unittest.TestCase):
    """Six daemons, ten shards of three leaves, and requests that crash leaves.

    Guards against a sharded request that crashes its leaves and whose retries and
    repeats take every replica of every shard.
    """

    def setUp(self) -> None:
        self.fleet = CrashingFleet()

    def _repeat(self, fingerprint: int, repeats: int) -> None:
        for number in range(repeats):
            key = self.fleet.ask(number % DAEMONS, fingerprint)
            while self.fleet.answer_to(number % DAEMONS, key) is None:
                self.fleet.advance(1)
            self.fleet.advance(TOLD_MS)

    def test_a_crashing_search_and_its_repeats_leave_half_of_the_leaves(self) -> None:
        self._repeat(CRASHING, DAEMONS)
        self.assertLessEqual(len(self.fleet.crashed_by_request), BEARABLE_LOSSES)

    def test_a_second_crashing_search_does_not_take_the_other_half(self) -> None:
        self.fleet.crashing.add(CRASHING + 1)
        self._repeat(CRASHING, 2)
        self._repeat(CRASHING + 1, 2)
        self.assertLessEqual(len(self.fleet.crashed_by_request), BEARABLE_LOSSES)

    def test_other_searches_are_served_after_it(self) -> None:
        self._repeat(CRASHING, DAEMONS)
        for number in range(DAEMONS):
            key = self.fleet.ask(number, 100 + number)
            self.fleet.advance(200)
            answer = self.fleet.answer_to(number, key)
            self.assertIsInstance(answer, commands.SendMerged)

    def test_searches_whose_leaves_crash_together_are_answered(self) -> None:
        lost = {f"{shard}-{domain}" for shard in SHARDS for domain in ("a1", "b1")}
        keys = [(n, self.fleet.ask(n, 200 + n)) for n in range(DAEMONS)]
        self.fleet.advance(ANSWER_MS // 2)
        self.fleet.crash(lost)
        self.fleet.advance(600)
        for number, key in keys:
            answer = self.fleet.answer_to(number, key)
            self.assertIsInstance(answer, commands.SendMerged)
        self._repeat(200, DAEMONS)
        self.assertIsInstance(self.fleet.sites[0].answers[2], commands.SendMerged)

    def test_searches_are_served_while_the_nearest_leaves_are_silent(self) -> None:
        self.fleet.silent = {f"{shard}-a1" for shard in SHARDS}
        keys = [(n, self.fleet.ask(n, 300 + n)) for n in range(DAEMONS)]
        self.fleet.advance(500)
        for number, key in keys:
            answer = self.fleet.answer_to(number, key)
            self.assertIsInstance(answer, commands.SendMerged)
            self.assertEqual(answer.missing, 0)


class CrashingFleetPropertiesTest(unittest.TestCase):
    """Crashing and harmless requests at random daemons and times."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=15
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, DAEMONS - 1),
                strategies.booleans(),
                strategies.integers(150, 400),
            ),
            max_size=8,
        )
    )
    def test_half_of_the_leaves_survive(self, steps: list) -> None:
        fleet = CrashingFleet()
        for order, (number, crashes_leaves, pause_ms) in enumerate(steps):
            fleet.ask(number, CRASHING if crashes_leaves else 300 + order)
            fleet.advance(pause_ms)
        self.assertLessEqual(len(fleet.crashed_by_request), BEARABLE_LOSSES)
