"""An emulated site of searches under virtual time, and checks of its answers.

The expected rows and coverage follow from the keys that every instance holds.
"""

import bisect
import itertools
from typing import Final, NamedTuple

from amaranthpulley.state import daemon, requests, standin_leaf
from amaranthpulley.state.control import members, topology
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport.emulation import standin_tickets, virtual_network

SERVICE: Final = "stock"
# Equal parts of the key space, which the shards of a partition map hold.
CELLS: Final = keyspace.split_evenly(12)
KEYS: Final = [f"item-{number}" for number in range(90)]
DOMAINS: Final = ("Kathmandu", "Pokhara", "Biratnagar")
READY_MS: Final = 3_000

_STARTS: Final = [cell.start for cell in CELLS]


def _cell_of(key: str) -> int:
    return bisect.bisect_right(_STARTS, keyspace.position_of(key)) - 1


KEYS_BY_CELL: Final = {
    cell: frozenset(keys)
    for cell, keys in itertools.groupby(sorted(KEYS, key=_cell_of), key=_cell_of)
}


class SiteSettings(NamedTuple):
    """The size of a site and the settings of its service."""

    instances: int = 2
    shards: int = 3
    daemons: int = 1
    slots: int = 4
    connections: int = 35
    service: topology.Service = topology.Service(SERVICE, topology.ServiceKind.SEARCH)


class Site:
    """The leaves and daemons of a site, and the searches sent to them.

    Attributes
    ----------
    sent : dict of str to SearchRequest
        The searches sent so far, by request identifier.
    """

    def __init__(self, seed: int, settings: SiteSettings) -> None:
        self.settings = settings
        self.network = virtual_network.VirtualNetwork(seed)
        self.sent: dict[str, requests.SearchRequest] = {}
        self.sent_ms: dict[str, int] = {}
        self.targets = [
            self._add_target(instance, shard)
            for instance in range(settings.instances)
            for shard in range(settings.shards)
        ]
        self.tickets = 0
        self.apply(
            services=(settings.service,),
            failure_domains=tuple(topology.FailureDomain(d, d) for d in DOMAINS),
            targets=tuple(self.targets),
        )
        vms = [_vm(number) for number in range(settings.daemons)]
        self.network.vms = tuple(vms)
        for vm in vms:
            self.start_daemon(vm.name, "a")
        self.network.run_until(READY_MS)

    def start_daemon(self, name: str, life: str) -> None:
        """Start a daemon whose member table lists all VMs."""
        vm = next(vm for vm in self.network.vms if vm.name == name)
        identity = daemon.Identity(
            vm.name, vm.address, vm.failure_domain, vm.region, life
        )
        started = self.network.start_daemon(identity)
        started.state.members.replace(self.network.vms)

    def apply(self, **entries: tuple) -> None:
        """Write a change ticket to the store."""
        self.tickets += 1
        ticket = topology.ChangeTicket(self.tickets, **entries)
        store = self.network.store
        standin_tickets.put(store, ticket, self.network.now_ms)

    def leaf(self, number: int) -> standin_leaf.StandInLeaf:
        """Return the stand-in leaf of a target, given its index in `targets`."""
        return self.network.targets.leaves[self.targets[number].address]

    def search(
        self, key: str | None = None, vm: int = 0, deadline_ms: int | None = None
    ) -> str:
        """Send a search, or a look-up if a key is given; return the request's id."""
        request_id = f"r{len(self.sent)}"
        request = requests.SearchRequest(
            request_id, "customer", SERVICE, "item", key, deadline_ms
        )
        self.sent[request_id] = request
        self.sent_ms[request_id] = self.network.now_ms
        self.network.search(f"vm-{vm}", request)
        return request_id

    def run_for(self, time_ms: int) -> None:
        """Advance the virtual time."""
        self.network.run_until(self.network.now_ms + time_ms)

    def outcome(self, request_id: str) -> requests.Outcome:
        """Return the outcome of a request that was answered once."""
        [outcome] = [
            answered.command.outcome
            for answered in self.network.answers
            if answered.command.request.request_id == request_id
        ]
        return outcome

    def _add_target(self, instance: int, shard: int) -> topology.Target:
        settings = self.settings
        name = f"stock-{instance}-{shard}"
        leaf = standin_leaf.StandInLeaf(f"{name}-boot", settings.slots)
        leaf.hold(1, cells_of_shard(shard, settings.shards), KEYS)
        self.network.add_leaf(name, leaf)
        domain = DOMAINS[instance % len(DOMAINS)]
        return topology.Target(
            name,
            SERVICE,
            instance,
            f"s{shard}",
            domain,
            name,
            settings.slots,
            settings.connections,
        )


def _vm(number: int) -> members.Vm:
    domain = DOMAINS[number % len(DOMAINS)]
    return members.Vm(f"vm-{number}", f"10.0.0.{number}:1", domain, domain)


def cells_of_shard(
    shard: int, shards: int, shift: int = 0
) -> tuple[keyspace.KeyRange, ...]:
    """Return the ranges of a shard; each shift gives another partition map."""
    count = len(CELLS)
    chosen = [
        (index + shift) % count
        for index in range(count * shard // shards, count * (shard + 1) // shards)
    ]
    return tuple(CELLS[index] for index in sorted(chosen))


def find_violations(site: Site) -> list[str]:
    """Return a description of each answer that is not correct.

    Checks that each request is answered at most once, that the rows are of one version,
    complete for each covered range and not repeated, and that the coverage matches.
    """
    violations = []
    answered: set[str] = set()
    for entry in site.network.answers:
        request, outcome = entry.command.request, entry.command.outcome
        name = request.request_id
        if name in answered or site.sent.get(name) != request:
            violations.append(f"{name}: answered twice, or for another request")
        answered.add(name)
        if isinstance(outcome, requests.SearchAnswer):
            violations += [
                f"{name}: {violation}" for violation in _violations_of_answer(entry)
            ]
    return violations


def _violations_of_answer(entry: virtual_network.ReceivedAnswer) -> list[str]:
    request, outcome = entry.command.request, entry.command.outcome
    if any(row.value != f"{row.key} v{outcome.version}" for row in outcome.rows):
        return ["rows of another version than that of the answer"]
    keys = [row.key for row in outcome.rows]
    if len(set(keys)) != len(keys):
        return ["a repeated row"]
    if request.key is not None:
        expected = [request.key] if outcome.coverage == 1.0 else []
        return [] if keys == expected else ["the row and the coverage differ"]
    covered = 0
    for cell, held in KEYS_BY_CELL.items():
        found = held.intersection(keys)
        if found and found != held:
            return ["only some of the rows of a range"]
        covered += (CELLS[cell].end - CELLS[cell].start) * bool(found)
    if abs(covered / keyspace.KEY_SPACE_SIZE - outcome.coverage) > 1e-9:
        return [f"coverage {outcome.coverage} instead of {covered}"]
    return []
