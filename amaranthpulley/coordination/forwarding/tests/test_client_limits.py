"""Tests of what is refused or closed when too much is held for clients."""

import unittest
from typing import Final, NamedTuple

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import client_limits
from amaranthpulley.state.forwarding import client_budget, client_holdings

NOW_MS: Final = 10_000
STALLED: Final = NOW_MS - client_limits.STALLED_MS
FRONT: Final = client_budget.Server.FRONT
_CONNECTION_BYTES: Final = client_holdings.CONNECTION_BYTES


class _Client(NamedTuple):
    """What is held for one connection."""

    name: str
    releasable_bytes: int = 0
    in_progress_bytes: int = 0
    moved_ms: int = NOW_MS
    served: bool = False


def _holdings(
    memory_bytes: int, connections: int, *clients: _Client
) -> tuple[client_holdings.ClientHoldings, dict[client_holdings.Holding, str]]:
    limits = dict.fromkeys(client_budget.Server, connections)
    held = client_holdings.ClientHoldings(client_budget.Budget(memory_bytes, limits))
    names = {}
    for client in clients:
        holding = client_holdings.Holding(FRONT, client.moved_ms)
        holding.served = client.served
        held.add(holding)
        held.update(holding, client.in_progress_bytes, client.releasable_bytes)
        names[holding] = client.name
    return held, names


class ReleaseTest(unittest.TestCase):
    """Which connections give up what they hold, and when."""

    def _released(self, memory_bytes: int, *clients: _Client) -> list[str]:
        held, names = _holdings(memory_bytes, 100, *clients)
        return [names[found] for found in client_limits.releases(held, NOW_MS)]

    def test_nothing_is_released_within_the_budget(self) -> None:
        clients = (_Client("a", 100_000, moved_ms=STALLED), _Client("b", 90_000))
        budget_bytes = 190_000 + 2 * _CONNECTION_BYTES
        self.assertEqual(self._released(budget_bytes, *clients), [])

    def test_the_order_of_releases(self) -> None:
        # Guards against an ordinary client that pays for one that has stopped.
        cases = {
            "stalled before moving": (
                _Client("second", 200_000),
                _Client("first", 1_000, moved_ms=STALLED),
            ),
            "large before small": (
                _Client("second", 1_000, moved_ms=STALLED),
                _Client("first", 200_000, moved_ms=STALLED),
            ),
            "without a served request before others": (
                _Client("second", 200_000, served=True),
                _Client("first", 199_000),
            ),
            "large before the served": (
                _Client("second", 1_000),
                _Client("first", 200_000, served=True),
            ),
        }
        for name, clients in cases.items():
            with self.subTest(name):
                self.assertEqual(self._released(0, *clients), ["first", "second"])

    def test_a_tenth_of_the_budget_is_freed_as_well(self) -> None:
        clients = [_Client(str(n), 10_000) for n in range(100)]
        budget_bytes = 100 * (10_000 + _CONNECTION_BYTES) - 1
        self.assertEqual(len(self._released(budget_bytes, *clients)), 15)

    def test_connections_that_hold_nothing_are_kept(self) -> None:
        clients = (_Client("idle", moved_ms=0), _Client("works", 0, 50_000))
        self.assertEqual(self._released(0, *clients), [])


class BeginTest(unittest.TestCase):
    """Whether a complete request may begin."""

    def test_requests_in_progress_leave_room_for_others(self) -> None:
        held, _ = _holdings(1_000, 100, _Client("works", 500, 700))
        for server, size_bytes, expected in (
            (FRONT, 50, True),
            (FRONT, 51, False),
            (client_budget.Server.DELEGATED, 51, False),
            (client_budget.Server.RELAY, 51, False),
            # The load balancer and the operators are answered in any case.
            (client_budget.Server.READINESS, 51, True),
            (client_budget.Server.METRICS, 51, True),
        ):
            with self.subTest(server=server, size_bytes=size_bytes):
                found = client_limits.may_begin(held, server, size_bytes)
                self.assertEqual(found, expected)

    def test_a_body_is_received_while_there_is_room(self) -> None:
        held, _ = _holdings(1_000 + _CONNECTION_BYTES, 100, _Client("a", 700))
        self.assertTrue(client_limits.may_receive(held, 300))
        self.assertFalse(client_limits.may_receive(held, 301))


class SurplusTest(unittest.TestCase):
    """Which connections are closed when a server has too many."""

    def _closed(self, maximum: int, *clients: _Client) -> list[str]:
        held, names = _holdings(1_000_000, maximum, *clients, _Client("newest"))
        newest = list(names)[-1]
        found = client_limits.surplus(held, newest, NOW_MS)
        return [names[holding] for holding in found]

    def test_all_connections_are_kept_up_to_the_limit(self) -> None:
        self.assertEqual(self._closed(2, _Client("a", moved_ms=0)), [])

    def test_the_order_of_closes(self) -> None:
        cases = {
            "the longest idle": (
                _Client("kept", moved_ms=1),
                _Client("closed", moved_ms=0),
            ),
            "without a served request": (
                _Client("kept", moved_ms=0, served=True),
                _Client("closed", moved_ms=1),
            ),
            "idle before one that has just moved": (
                _Client("kept"),
                _Client("closed", moved_ms=0, served=True),
            ),
            "never with a request in progress": (
                _Client("kept", 0, 1, moved_ms=0),
                _Client("closed"),
            ),
        }
        for name, clients in cases.items():
            with self.subTest(name):
                self.assertEqual(self._closed(2, *clients), ["closed"])

    def test_the_newest_is_closed_when_all_others_work(self) -> None:
        clients = (_Client("a", 0, 1, moved_ms=0), _Client("b", 0, 1, moved_ms=0))
        self.assertEqual(self._closed(2, *clients), ["newest"])


class ClientHoldingsTest(unittest.TestCase):
    """The accounting agrees with its connections after any sequence of changes."""

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("add", "update", "remove")),
                strategies.integers(0, 5),
                strategies.integers(0, 300_000),
                strategies.integers(0, 300_000),
            )
        )
    )
    def test_totals(self, changes: list[tuple[str, int, int, int]]) -> None:
        held = client_holdings.ClientHoldings(client_budget.budget_of())
        known: list[client_holdings.Holding] = []
        for change, position, in_progress_bytes, releasable_bytes in changes:
            if change == "add":
                known.append(client_holdings.Holding(FRONT, 0))
                held.add(known[-1])
            elif position < len(known):
                # A removed connection may be updated or removed again.
                if change == "remove":
                    held.remove(known[position])
                else:
                    sizes = in_progress_bytes, releasable_bytes
                    held.update(known[position], *sizes)
            kept = list(held.all())
            in_progress = sum(holding.in_progress_bytes for holding in kept)
            releasable = sum(holding.releasable_bytes for holding in kept)
            fixed = len(kept) * _CONNECTION_BYTES
            self.assertEqual(held.in_progress_bytes, in_progress)
            self.assertEqual(held.total_bytes, fixed + in_progress + releasable)


class BudgetTest(unittest.TestCase):
    """The budget from the resources of a VM."""

    def test_budgets_of_the_deployments(self) -> None:
        cases = (
            (200.0, 4_100, 50_000_000, 2_340),
            (552.0, 8_192, 138_000_000, 4_795),
            (0.0, 0, 0, 1),
        )
        for memory_mb, descriptors, memory_bytes, connections in cases:
            with self.subTest(memory_mb=memory_mb):
                budget = client_budget.budget_of(memory_mb, descriptors)
                self.assertEqual(budget.memory_bytes, memory_bytes)
                self.assertEqual(budget.connections[FRONT], connections)

    def test_a_part_of_the_descriptors_is_left_for_leaves(self) -> None:
        # Guards against requests that are accepted and cannot be sent on.
        for descriptors in (4_100, 8_192, 11_275):
            budget = client_budget.budget_of(descriptors=descriptors)
            left = descriptors - sum(budget.connections.values())
            self.assertGreaterEqual(left, client_budget.FILE_DESCRIPTORS + 870)
