"""Replays of one account that sends far more than its usual while room is short."""

import collections
import random
import unittest
from typing import NamedTuple
from unittest import mock

from amaranthpulley.coordination.forwarding.overload import fair_queue
from amaranthpulley.coordination.forwarding.overload.tests import overloaded_site
from amaranthpulley.state.forwarding import requests, waiting
from amaranthpulley.state.forwarding.client_accounts import accounts

SERVICE = "visits"
RANK = (1, 1)
# How long a call waits before its client gives up.
WAIT_MS = 600
BURST_MS = 6_000


class Kind(NamedTuple):
    """Calls of one account and rank."""

    account: str
    per_s: float
    rank: waiting.Rank = RANK


def _shard_call(waiting_call: waiting.WaitingCall) -> requests.ShardCall:
    call = requests.ShardCall(SERVICE)
    call.waiting = waiting_call
    return call


def _in_order_of_arrival(
    _turns: waiting.Turns, queued: list[waiting.WaitingCall]
) -> list[waiting.WaitingCall]:
    return list(queued)


def _play(kinds: list[Kind], capacity_per_s: float, order=fair_queue.order):  # noqa: ANN001, ANN202
    """Return the share of the calls of each kind that was sent in time."""
    # Random arrivals: with steady ones, the account that comes first in each
    # millisecond would win in the order of arrival.
    random_source = random.Random(1)
    due_ms = {kind: random_source.expovariate(kind.per_s / 1000) for kind in kinds}
    calls = waiting.WaitingCalls()
    asked: collections.Counter[Kind] = collections.Counter()
    served: collections.Counter[Kind] = collections.Counter()
    by_key: dict[int, Kind] = {}
    room = 0.0
    for now_ms in range(BURST_MS):
        for kind in kinds:
            while due_ms[kind] <= now_ms:
                due_ms[kind] += random_source.expovariate(kind.per_s / 1000)
                asked[kind] += 1
                key = len(by_key)
                by_key[key] = kind
                call = waiting.WaitingCall(kind.rank, now_ms, key, 0, kind.account)
                calls.add(SERVICE, call)
        for call in calls.of_service(SERVICE):
            if now_ms - call.arrived_ms > WAIT_MS:
                calls.remove(SERVICE, call)
        room = min(4.0, room + capacity_per_s / 1000)
        while room >= 1.0 and calls.services:
            queued = calls.of_service(SERVICE)
            first = order(calls.turns_of(SERVICE), queued)[0]
            fair_queue.record_turn(calls, _shard_call(first))
            calls.remove(SERVICE, first)
            served[by_key[first.request_key]] += 1
            room -= 1.0
    return {kind: served[kind] / asked[kind] for kind in kinds}


def _shares(kinds: list[Kind], capacity_per_s: float) -> tuple[float, dict]:
    """Return the share of all calls that was sent in time, and that of each kind."""
    shares = _play(kinds, capacity_per_s)
    total = sum(kind.per_s for kind in kinds)
    return sum(shares[kind] * kind.per_s for kind in kinds) / total, shares


class GreedyAccountTest(unittest.TestCase):
    """An account at 7.5 times its usual rate takes the turns of the others."""

    # Usual rate of each account, and the capacity over the usual rate of all.
    CASES = (
        (2, 20.0, 0.8),
        (2, 20.0, 1.2),
        (10, 10.0, 0.8),
        (10, 10.0, 1.0),
        (10, 10.0, 1.3),
        (30, 3.0, 0.8),
        (30, 3.0, 1.1),
    )

    def test_the_others_are_served_at_least_as_in_the_order_of_arrival(self) -> None:
        for count, per_s, capacity in self.CASES:
            with self.subTest(count=count, capacity=capacity):
                kinds = [Kind("greedy", 7.5 * per_s)]
                kinds += [Kind(f"a{n}", per_s) for n in range(1, count)]
                capacity_per_s = capacity * per_s * count
                before = _play(kinds, capacity_per_s, _in_order_of_arrival)
                after = _play(kinds, capacity_per_s)
                others = kinds[1:]
                self.assertGreaterEqual(
                    sum(after[kind] for kind in others),
                    sum(before[kind] for kind in others),
                )
                self.assertGreaterEqual(
                    min(after[kind] for kind in others),
                    min(before[kind] for kind in others),
                )

    def test_no_account_is_served_less_than_a_quarter_as_often_as_all(self) -> None:
        for count, per_s, capacity in self.CASES:
            with self.subTest(count=count, capacity=capacity):
                kinds = [Kind("greedy", 7.5 * per_s)]
                kinds += [Kind(f"a{n}", per_s) for n in range(1, count)]
                whole, shares = _shares(kinds, capacity * per_s * count)
                for kind in kinds:
                    self.assertGreaterEqual(shares[kind], whole / 4, kind)

    def test_accounts_of_unlike_size_are_not_starved(self) -> None:
        kinds = [Kind(f"a{n}", 1.0 + n * n) for n in range(8)]
        whole, shares = _shares(kinds, 0.5 * sum(kind.per_s for kind in kinds))
        for kind in kinds:
            self.assertGreaterEqual(shares[kind], whole / 4, kind)

    def test_idle_room_is_used_by_the_account_that_wants_it(self) -> None:
        kinds = [Kind("greedy", 75.0), Kind("a1", 10.0)]
        shares = _play(kinds, 100.0)
        for kind in kinds:
            self.assertGreater(shares[kind], 0.98)


class GreedyAccountReplayTest(unittest.TestCase):
    """The same load at a daemon: the turns are not used, or not charged."""

    LEAVES, WORK_MS = 3, 60
    # What the leaves can run, divided among the accounts.
    CAPACITY_PER_S = 100
    COUNT = 8

    def _play(self, greedy_factor: float) -> tuple[float, list[float]]:
        """Return the answered shares of the greedy account and of the others."""
        names = [f"a{n}" for n in range(self.COUNT)]
        table = accounts.AccountTable(
            {name: accounts.Account(name, 1, frozenset(), 0.0, 0.0) for name in names},
            {name.encode(): name for name in names},
        )
        site = overloaded_site.OverloadedSite(self.LEAVES, self.WORK_MS, table)
        random_source = random.Random(2)
        usual_per_ms = self.CAPACITY_PER_S / self.COUNT / 1000
        per_ms = dict.fromkeys(names, usual_per_ms)
        per_ms[names[0]] *= greedy_factor
        keys: dict[str, list[int]] = {name: [] for name in names}
        due_ms = {name: random_source.expovariate(per_ms[name]) for name in names}
        for passed_ms in range(BURST_MS):
            for name in names:
                while due_ms[name] <= passed_ms:
                    due_ms[name] += random_source.expovariate(per_ms[name])
                    keys[name].append(site.ask(account=name))
            site.advance(1)
        site.advance(1_000)
        answered = {
            name: sum(key in site.answered_ms for key in found) / len(found)
            for name, found in keys.items()
        }
        return answered.pop(names[0]), list(answered.values())

    def test_the_others_are_served_at_least_as_they_were(self) -> None:
        with mock.patch.object(fair_queue, "order", _in_order_of_arrival):
            _, before = self._play(7.5)
        greedy, after = self._play(7.5)
        self.assertGreater(min(after), max(before))
        self.assertGreater(sum(after) / len(after), 0.85)
        whole = (7.5 * greedy + sum(after)) / (7.5 + len(after))
        self.assertGreater(greedy, whole / 4)

    def test_without_a_greedy_account_all_are_served(self) -> None:
        first, others = self._play(0.5)
        self.assertGreater(min(first, *others), 0.95)


class RankTest(unittest.TestCase):
    """A less urgent kind is served more often than a more urgent one."""

    def test_a_more_urgent_rank_goes_first_whatever_its_account_has_had(self) -> None:
        urgent = Kind("greedy", 60.0, (0, 1))
        usual = [Kind(f"a{n}", 10.0, (1, 0)) for n in range(4)]
        shares = _play([urgent, *usual], 80.0)
        self.assertGreater(shares[urgent], 0.98)
        for kind in usual:
            self.assertLess(shares[kind], shares[urgent])

    def test_the_route_decides_among_the_ranks_of_one_account_priority(self) -> None:
        urgent, usual = Kind("a", 30.0, (1, 0)), Kind("a", 30.0, (1, 2))
        shares = _play([usual, urgent], 40.0)
        self.assertGreater(shares[urgent], 0.98)
        self.assertLess(shares[usual], 0.5)


class EstimateTest(unittest.TestCase):
    """A call of an account with few is refused for the queue of another account."""

    def test_only_calls_that_go_first_are_ahead(self) -> None:
        calls = waiting.WaitingCalls()
        for key in range(20):
            calls.add(SERVICE, waiting.WaitingCall(RANK, key, key, 0, "greedy"))
        urgent = waiting.WaitingCall((0, 0), 0, 30, 0, "other")
        calls.add(SERVICE, urgent)
        count = fair_queue.count_ahead
        self.assertEqual(count(calls, SERVICE, RANK, "greedy"), 21)
        self.assertLessEqual(count(calls, SERVICE, RANK, "other"), 3)
        self.assertEqual(count(calls, SERVICE, (2, 0), "other"), 21)
        self.assertEqual(count(calls, "idle", RANK, "other"), 0)

    def test_late_calls_of_others_keep_their_turns(self) -> None:
        """Only calls of the same rank and account go by their objective."""
        calls = waiting.WaitingCalls()
        late = waiting.WaitingCall((0, 0), 0, 1, 0, "own", True)
        calls.add(SERVICE, late)
        for key in range(2, 6):
            calls.add(SERVICE, waiting.WaitingCall(RANK, key, key, 0, "other", True))
            own = waiting.WaitingCall(RANK, key, 10 + key, 0, "own", True)
            calls.add(SERVICE, own)
        new = waiting.WaitingCall(RANK, 90, 90, 0, "own")
        queued = sorted(
            [*calls.of_service(SERVICE), new],
            key=lambda call: (call.rank, call.deferred, call.arrived_ms),
        )
        place = fair_queue.order(calls.turns_of(SERVICE), queued).index(new)
        ahead = fair_queue.count_ahead(calls, SERVICE, RANK, "own", 50.0)
        self.assertIn(ahead - place, (0, 1))
        self.assertGreaterEqual(place, 1)


class OrderTest(unittest.TestCase):
    """Without accounts the order changes, or an absent account saves turns up."""

    def _call(self, key: int, account: str = "") -> waiting.WaitingCall:
        return waiting.WaitingCall(RANK, key, key, 0, account)

    def test_calls_of_one_account_keep_their_order(self) -> None:
        queued = [self._call(key) for key in (3, 1, 2)]
        self.assertEqual(fair_queue.order(waiting.Turns(), queued), queued)

    def test_an_absent_account_has_no_turns_saved_up(self) -> None:
        turns = waiting.Turns()
        for _ in range(50):
            turns.charge(RANK, "busy", 1.0)
        queued = [self._call(n, "busy") for n in range(4)]
        queued += [self._call(n, "back") for n in range(4, 8)]
        order = [call.account for call in fair_queue.order(turns, queued)]
        self.assertEqual(order, ["back", "busy"] * 4)

    def test_turns_end_with_the_queue(self) -> None:
        calls = waiting.WaitingCalls()
        call = self._call(1, "busy")
        calls.add(SERVICE, call)
        fair_queue.record_turn(calls, _shard_call(call))
        calls.remove(SERVICE, call)
        self.assertEqual(calls.turns_of(SERVICE).start_of(RANK, "busy"), 0.0)
