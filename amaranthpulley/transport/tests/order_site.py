"""An emulated site with order targets and several daemons, under virtual time."""

import collections
from typing import Final, NamedTuple

from amaranthpulley.coordination import stored_values
from amaranthpulley.coordination.orders import claim_segments
from amaranthpulley.state import daemon, requests, standin_leaf, store
from amaranthpulley.state.control import members, topology
from amaranthpulley.state.orders import claims
from amaranthpulley.transport.emulation import standin_tickets, virtual_network

SERVICE: Final = "booking"
CUSTOMER: Final = "forno-limpo"
DEADLINE_MS: Final = 1_000
DOMAIN: Final = "Recife"
START_MS: Final = 100
LIMITS: Final = daemon.Limits()


class SentOrder(NamedTuple):
    """One request for an order."""

    key: str
    payload: str
    at_ms: int


class OrderSite:
    """Daemons named ``vm-0`` and up, with order targets named ``desk-0`` and up.

    Parameters
    ----------
    seed : int
        Seed of the virtual network.
    daemons : int
        Number of daemons.
    desks : int
        Number of targets.
    slots : int
        Slots of each target.
    limits : Limits
        Limits of each daemon.

    Attributes
    ----------
    sent_orders : dict of str to SentOrder
        The orders sent so far, by request identifier.
    """

    def __init__(
        self,
        seed: int,
        daemons: int = 3,
        desks: int = 3,
        slots: int = 4,
        limits: daemon.Limits = LIMITS,
    ) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        self.sent_orders: dict[str, SentOrder] = {}
        self._lives = 0
        self._limits = limits
        targets = []
        for number in range(desks):
            name = f"desk-{number}"
            leaf = standin_leaf.StandInLeaf("boot-1", slots)
            self.network.add_leaf(name, leaf)
            targets.append(topology.Target(name, SERVICE, 0, "all", DOMAIN, name))
        service = topology.Service(
            SERVICE, topology.ServiceKind.ORDER, deadline_ms=DEADLINE_MS
        )
        ticket = topology.ChangeTicket(1, services=(service,), targets=tuple(targets))
        standin_tickets.put(self.network.store, ticket)
        self.vms = tuple(_vm(number) for number in range(daemons))
        self.network.vms = self.vms
        for vm in self.vms:
            self.start(vm.name)
        self.network.run_until(START_MS)

    def start(self, name: str) -> None:
        """Start a daemon; an earlier one of the same name must have crashed."""
        self._lives += 1
        address = next(vm.address for vm in self.vms if vm.name == name)
        identity = daemon.Identity(name, address, DOMAIN, DOMAIN, f"life{self._lives}")
        started = self.network.start_daemon(identity, self._limits)
        started.state.members.replace(self.vms)

    def restart(self, name: str) -> None:
        """Crash a daemon and start it again."""
        self.network.crash(name)
        self.start(name)

    def order(self, name: str, key: str, payload: str = "oven at 09:00") -> str:
        """Send an order to a daemon; return the request's id."""
        request_id = f"request-{len(self.sent_orders)}"
        self.sent_orders[request_id] = SentOrder(key, payload, self.network.now_ms)
        self.network.order(
            name,
            requests.OrderRequest(request_id, CUSTOMER, SERVICE, key, payload),
        )
        return request_id

    @property
    def runs(self) -> collections.Counter[str]:
        """How many times the targets ran the order of each key."""
        return collections.Counter(
            key for leaf in self.network.targets.leaves.values() for key in leaf.runs
        )

    @property
    def outcomes(self) -> dict[str, requests.Outcome]:
        """The outcome of each answered request, by request identifier."""
        return {
            answered.command.request.request_id: answered.command.outcome
            for answered in self.network.answers
        }

    def segment_keys(self) -> tuple[str, ...]:
        """Return the store keys of all segments."""
        listed = store.ListKeys(claim_segments.PREFIX)
        return self.network.store.call(listed, self.network.now_ms).keys

    def segment_bytes(self, key: str) -> int:
        """Return the size of a stored segment, in bytes."""
        return len(self._value_of(key))

    def stored_claims(self) -> list[claims.Claim]:
        """Return the claims of all segments, oldest segment of a range first."""
        segments = [
            stored_values.decode_segment(self._value_of(key))
            for key in self.segment_keys()
        ]
        return [claim for segment in segments for claim in segment.claims]

    def _value_of(self, key: str) -> bytes:
        return self.network.store.call(store.Get(key), self.network.now_ms).value


def _vm(number: int) -> members.Vm:
    return members.Vm(f"vm-{number}", f"10.0.0.{number}:7000", DOMAIN, DOMAIN)
