"""A simulated site of daemons and order targets."""

import collections
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination.orders import claim_segments
from amaranthpulley.state import daemon, requests, standin_leaf, store
from amaranthpulley.state.control import members, topology
from amaranthpulley.transport.emulation import (
    standin_tickets,
    virtual_network,
    virtual_platform,
)

SERVICE: Final = "booking"
DOMAINS: Final = ("Recife", "Fortaleza", "Salvador")
TARGETS: Final = 20
DEADLINE_MS: Final = 1_000
READY_MS: Final = 3_000
STORE_DELAY_MS: Final = 2
LIMITS: Final = daemon.Limits(maximum_requests_in_progress=10_000)
USUAL_STORE: Final = virtual_platform.StoreFaults(delay_ms=STORE_DELAY_MS)


class Sent(NamedTuple):
    """One request for an order; a repeat of the order is another one."""

    key: str
    at_ms: int


class StoreCalls(NamedTuple):
    """Totals of the store calls that concern claims."""

    writes: int = 0
    reads: int = 0
    written_bytes: int = 0


class StoreCallCounter:
    """Counts the store calls that concern claims."""

    def __init__(self) -> None:
        self.calls = StoreCalls()

    def count(self, operation: store.Operation) -> None:
        """Count an operation if it concerns claims."""
        is_listing = isinstance(operation, store.ListKeys)
        key = operation.prefix if is_listing else getattr(operation, "key", "")
        if not key.startswith(claim_segments.PREFIX):
            return
        writes, reads, written_bytes = self.calls
        if isinstance(operation, store.Swap):
            size = len(operation.value or b"")
            self.calls = StoreCalls(writes + 1, reads, written_bytes + size)
        else:
            self.calls = StoreCalls(writes, reads + 1, written_bytes)


class OrderSite:
    """Daemons ``vm-0``, ``vm-1``, ..., `TARGETS` targets, and the orders sent to them.

    Parameters
    ----------
    seed : int
        Seeds all random choices.
    daemons : int
        Number of daemons.
    slots : int
        Number of orders that a target runs at the same time.
    """

    def __init__(self, seed: int, daemons: int, slots: int) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        self.network.platform.faults = USUAL_STORE
        self.sent: dict[str, Sent] = {}
        self.store_call_counter = StoreCallCounter()
        self._lives = 0
        targets = tuple(self._add_target(number, slots) for number in range(TARGETS))
        service = topology.Service(
            SERVICE, topology.ServiceKind.ORDER, deadline_ms=DEADLINE_MS
        )
        ticket = topology.ChangeTicket(1, services=(service,), targets=targets)
        standin_tickets.put(self.network.store, ticket)
        self.vms = tuple(_vm(number) for number in range(daemons))
        self.network.vms = self.vms
        for vm in self.vms:
            self.start(vm)
        self.network.run_until(READY_MS)
        self._count_store_calls()

    @property
    def runs(self) -> collections.Counter[str]:
        """The number of times that the targets ran each key."""
        leaves = self.network.targets.leaves.values()
        return collections.Counter(key for leaf in leaves for key in leaf.runs)

    def start(self, vm: members.Vm) -> None:
        """Start a daemon, or restart it after a crash."""
        self._lives += 1
        identity = daemon.Identity(*vm[:4], f"life{self._lives}")
        started = self.network.start_daemon(identity, LIMITS)
        started.state.members.replace(self.vms)

    def order(self, vm: members.Vm, key: str) -> str:
        """Send an order to a daemon and return its request id."""
        request_id = f"request-{len(self.sent)}"
        self.sent[request_id] = Sent(key, self.network.now_ms)
        request = requests.OrderRequest(
            request_id, "forno-limpo", SERVICE, key, f"oven visit {key} in the morning"
        )
        self.network.order(vm.name, request)
        return request_id

    def draw_vm(self) -> members.Vm:
        """Return the VM of a random daemon, as the balancer selects it."""
        return self.network.random.choice(self.vms)

    def schedule_arrivals(
        self, rate_per_second: float, end_ms: int, send: Callable[[int], None]
    ) -> None:
        """Schedule a Poisson process of orders; `send` gets the number of each."""
        due_ms = float(self.network.now_ms)
        number = 0
        while due_ms < end_ms:
            self.network.at(int(due_ms), lambda number=number: send(number))
            due_ms += self.network.random.expovariate(rate_per_second) * 1_000
            number += 1

    def _add_target(self, number: int, slots: int) -> topology.Target:
        name = f"desk-{number}"
        self.network.add_leaf(name, standin_leaf.StandInLeaf(f"{name}-boot", slots))
        domain = DOMAINS[number % len(DOMAINS)]
        return topology.Target(name, SERVICE, 0, "all", domain, name, slots)

    def _count_store_calls(self) -> None:
        call = self.network.store.call

        def call_and_count(operation: store.Operation, now_ms: int) -> store.Result:
            self.store_call_counter.count(operation)
            return call(operation, now_ms)

        self.network.store.call = call_and_count


def _vm(number: int) -> members.Vm:
    domain = DOMAINS[number % len(DOMAINS)]
    return members.Vm(f"vm-{number}", f"10.0.0.{number}:7000", domain, domain)
