"""Tests of requests from end to end, under virtual time."""

import unittest

from amaranthpulley.state import daemon, requests, standin_leaf
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport.emulation import standin_tickets, virtual_network

SHARDS = 3
KEYS = [f"item-{number}" for number in range(50)]


def _network() -> virtual_network.VirtualNetwork:
    network = virtual_network.VirtualNetwork(seed=1)
    ranges = keyspace.split_evenly(SHARDS)
    targets = []
    for instance in range(2):
        for shard in range(SHARDS):
            name = f"leaf-{instance}-{shard}"
            leaf = standin_leaf.StandInLeaf("boot-1", slots=2)
            leaf.hold(1, (ranges[shard],), KEYS)
            network.add_leaf(name, leaf)
            targets.append(
                topology.Target(name, "stock", instance, f"s{shard}", "Pokhara", name)
            )
    targets.append(topology.Target("desk", "orders", 0, "all", "Pokhara", "desk"))
    network.add_leaf("desk", standin_leaf.StandInLeaf("boot-1", slots=2))
    ticket = topology.ChangeTicket(
        1,
        services=(
            topology.Service("stock", topology.ServiceKind.SEARCH),
            topology.Service("orders", topology.ServiceKind.ORDER),
        ),
        targets=tuple(targets),
    )
    standin_tickets.put(network.store, ticket)
    network.start_daemon(
        daemon.Identity("vm-1", "10.0.0.1:1", "Pokhara", "Pokhara", "a")
    )
    network.run_until(100)
    return network


class EndToEndTest(unittest.TestCase):
    """Requests from their arrival at a daemon to the answer."""

    def test_search_returns_all_rows(self) -> None:
        network = _network()
        network.search("vm-1", requests.SearchRequest("r1", "c", "stock", "item"))
        network.run_until(1_000)
        [answered] = network.answers
        outcome = answered.command.outcome
        self.assertEqual(sorted(row.key for row in outcome.rows), sorted(KEYS))
        self.assertEqual(outcome.coverage, 1.0)

    def test_lost_shard_lowers_the_coverage(self) -> None:
        network = _network()
        for instance in range(2):
            leaf = network.targets.leaves[f"leaf-{instance}-0"]
            leaf.faults = standin_leaf.LeafFaults(lost=True)
        network.search("vm-1", requests.SearchRequest("r1", "c", "stock", "item"))
        network.run_until(5_000)
        [answered] = network.answers
        self.assertAlmostEqual(answered.command.outcome.coverage, 2 / 3, places=6)

    def test_repeated_order_runs_once(self) -> None:
        network = _network()
        for number in range(3):
            request = requests.OrderRequest(f"r{number}", "c", "orders", "key", "p")
            network.order("vm-1", request)
            network.run_until((number + 1) * 1_000)
        repeated = [answer.command.outcome.repeated for answer in network.answers]
        self.assertEqual(repeated, [False, True, True])
        self.assertEqual(network.targets.leaves["desk"].runs, ["key"])
