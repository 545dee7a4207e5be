"""Simulation of the users' sites: daemons, leaves, links and configuration."""

import functools
import itertools
from typing import Final, NamedTuple

from amaranthpulley.state import daemon, standin_leaf
from amaranthpulley.state.control import members, topology
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport.bench import links
from amaranthpulley.transport.emulation import standin_tickets, virtual_network

DAEMONS: Final = 6
FIRST_VERSION: Final = 1
MINIMUM_KEYS_PER_PART: Final = 2
START_MS: Final = 2_000
# Shares of the key space at which a repartitioned index is split.
SHIFTED_SPLIT_POINTS: Final = (0.4, 0.7)


class Shape(NamedTuple):
    """Sizes and delays of one service of a user.

    Attributes
    ----------
    service : str
        Name of the service.
    failure_domains : tuple of str
        Failure domains, each in a region of its own.
    instances, shards : int
        Number of copies of the index, and of leaves in each copy.
    slots, connections : int
        Limits of each leaf on concurrent requests and on connections.
    connect_ms : int
        Time to open a connection to a leaf.
    near_ms, far_ms, client_ms : float
        One-way delays within a region, between regions, and to the clients.
    give_way : GiveWay
        What a search sacrifices when not every leaf answers in time.
    """

    service: str
    failure_domains: tuple[str, ...]
    instances: int
    shards: int
    slots: int
    connections: int
    connect_ms: int
    near_ms: float
    far_ms: float
    client_ms: float
    give_way: topology.GiveWay

    def capacity_per_second(self, service_ms: float) -> float:
        """Return the rate of searches that keeps every slot busy."""
        return self.instances * self.slots * 1_000 / service_ms


_BRAZIL: Final = ("Recife", "Fortaleza", "Salvador")
_NEPAL: Final = ("Kathmandu", "Pokhara", "Biratnagar")
_TIME: Final = topology.GiveWay.TIME
_COVERAGE: Final = topology.GiveWay.COVERAGE

DISPATCH: Final = Shape("dispatch", _BRAZIL, 10, 3, 2, 25, 6, 0.5, 12.0, 1.0, _COVERAGE)
OLD_DESK: Final = DISPATCH._replace(service="old-desk", instances=15)
COUNTER_DESK: Final = Shape(
    "counter-desk", _NEPAL, 10, 3, 4, 35, 6, 1.0, 20.0, 1.0, _TIME
)
LEDGER_VIEWER: Final = COUNTER_DESK._replace(service="ledger-viewer", instances=15)
# Has as many leaves for each search as the size that the system is designed for.
WIDE: Final = COUNTER_DESK._replace(service="wide", instances=4, shards=81)


class Policy(NamedTuple):
    """The service settings that an experiment varies."""

    name: str
    hedge_budget: float


FULL: Final = Policy("policy", hedge_budget=0.05)
PLAIN: Final = Policy("plain", hedge_budget=0.0)


class Site:
    """A simulated site: one user's service with its daemons and leaves.

    Parameters
    ----------
    shape : Shape
        Sizes and delays.
    policy : Policy
        Settings of the service.
    seed : int
        Seeds all random choices.
    deadline_ms : int
        Deadline of the service.
    """

    def __init__(
        self, shape: Shape, policy: Policy, seed: int, deadline_ms: int
    ) -> None:
        self.shape = shape
        self.network = virtual_network.VirtualNetwork(seed)
        self.leaves: dict[str, standin_leaf.StandInLeaf] = {}
        self.domains: dict[str, str] = {}
        self.links = links.Links(shape, self.domains, self.network)
        self.network.delay = self.links.delay
        targets = tuple(
            self._add_leaf(instance, shard)
            for instance in range(shape.instances)
            for shard in range(shape.shards)
        )
        self._apply(_ticket(shape, policy, targets, deadline_ms))
        self.vms = tuple(_vm(shape, number) for number in range(DAEMONS))
        self.network.vms = self.vms
        for vm in self.vms:
            self.start_daemon(vm, life="1")
        self.network.run_until(START_MS)

    def start_daemon(self, vm: members.Vm, life: str) -> None:
        """Start the daemon of a VM under the given life."""
        self.domains[vm.address] = vm.failure_domain
        identity = daemon.Identity(
            vm.name, vm.address, vm.failure_domain, vm.region, life
        )
        self.network.start_daemon(identity)

    def load_version(self, leaf: standin_leaf.StandInLeaf, version: int) -> None:
        """Load a version of the index into a leaf, as that version partitions it."""
        shard = int(_leaf_name(leaf).rsplit("-", 1)[1])
        part = partition(self.shape.shards, version)[shard]
        leaf.hold(version, (part,), list(keys_of(self.shape.shards)))

    def leaves_of(self, failure_domain: str) -> list[standin_leaf.StandInLeaf]:
        """Return the leaves of a failure domain."""
        return [
            leaf
            for address, leaf in self.leaves.items()
            if self.domains[address] == failure_domain
        ]

    def _add_leaf(self, instance: int, shard: int) -> topology.Target:
        shape = self.shape
        name = f"{shape.service}-{instance}-{shard}"
        leaf = standin_leaf.StandInLeaf(f"{name}/0", shape.slots)
        self.load_version(leaf, FIRST_VERSION)
        self.leaves[name] = leaf
        domain = shape.failure_domains[instance % len(shape.failure_domains)]
        self.domains[name] = domain
        self.network.add_leaf(name, leaf)
        return topology.Target(
            name,
            shape.service,
            instance,
            f"shard-{shard}",
            domain,
            address=name,
            slots=shape.slots,
            connections=shape.connections,
        )

    def _apply(self, ticket: topology.ChangeTicket) -> None:
        standin_tickets.put(self.network.store, ticket)


def partition(shards: int, version: int) -> list[keyspace.KeyRange]:
    """Return the parts of an index version.

    With three shards, an even version is split at `SHIFTED_SPLIT_POINTS`. Otherwise the
    parts are equal.
    """
    if version % 2 or shards != len(SHIFTED_SPLIT_POINTS) + 1:
        return keyspace.split_evenly(shards)
    size = keyspace.KEY_SPACE_SIZE
    bounds = [0, *(int(point * size) for point in SHIFTED_SPLIT_POINTS), size]
    return [keyspace.KeyRange(*pair) for pair in itertools.pairwise(bounds)]


@functools.cache
def keys_of(shards: int) -> tuple[str, ...]:
    """Return keys, at least `MINIMUM_KEYS_PER_PART` in each part of any version."""
    parts = [part for version in (1, 2) for part in partition(shards, version)]
    missing = {part: MINIMUM_KEYS_PER_PART for part in parts}
    keys = []
    for number in itertools.count():
        key = f"slot-{number:04d}"
        position = keyspace.position_of(key)
        found = [part for part in missing if part.start <= position < part.end]
        if any(missing[part] > 0 for part in found):
            keys.append(key)
            missing.update({part: missing[part] - 1 for part in found})
        if all(count <= 0 for count in missing.values()):
            break
    return tuple(keys)


def _leaf_name(leaf: standin_leaf.StandInLeaf) -> str:
    return leaf.boot_id.rsplit("/", 1)[0]


def _vm(shape: Shape, number: int) -> members.Vm:
    domain = shape.failure_domains[number % len(shape.failure_domains)]
    return members.Vm(f"vm-{number}", f"10.0.0.{number + 1}:7000", domain, domain)


def _ticket(
    shape: Shape,
    policy: Policy,
    targets: tuple[topology.Target, ...],
    deadline_ms: int,
) -> topology.ChangeTicket:
    service = topology.Service(
        shape.service,
        topology.ServiceKind.SEARCH,
        deadline_ms=deadline_ms,
        hard_deadline_ms=2 * deadline_ms,
        give_way=shape.give_way,
        hedge_budget=policy.hedge_budget,
    )
    domains = tuple(
        topology.FailureDomain(name, region=name) for name in shape.failure_domains
    )
    return topology.ChangeTicket(1, (service,), domains, targets)
