"""Load of the control plane by number of daemons, under virtual time."""

import functools
import time
from typing import Final, NamedTuple

import msgspec

from amaranthpulley.coordination import events
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.transport.bench import capacity_tables, quantities
from amaranthpulley.transport.emulation import standin_tickets, virtual_network

DAEMONS: Final = (8, 32, 64, 128, 256, 512)
# Smaller fleets have fewer daemons than all failure domains together have watchers.
FIT_FROM: Final = 32
TARGET_DAEMONS: Final = 8_300
LEAVES: Final = 90
WARM_UP_MS: Final = 20_000
MEASURED_MS: Final = 20_000


class ControlLoad(NamedTuple):
    """Load of the control plane per second while the configuration does not change.

    Attributes
    ----------
    store_calls : float
        Total of all daemons.
    messages, received_bytes : float
        For one daemon: calls and replies from peers, and their encoded size.
    cpu_ms : float
        For one daemon, including the emulator's own processor time.
    """

    store_calls: float
    messages: float
    received_bytes: float
    cpu_ms: float


class _Fleet:
    """Idle daemons with a small configuration."""

    def __init__(self, daemons: int, seed: int) -> None:
        self.messages = 0
        self.received_bytes = 0
        self.network = virtual_network.VirtualNetwork(seed)
        self.network.observe = self._observe
        standin_tickets.put(self.network.store, capacity_tables.ticket(LEAVES))
        self.network.vms = tuple(
            capacity_tables.vm(number) for number in range(daemons)
        )
        for vm in self.network.vms:
            identity = daemon_state.Identity(
                vm.name, vm.address, vm.failure_domain, vm.region, "1"
            )
            self.network.start_daemon(identity)

    def _observe(
        self, daemon: virtual_network.VirtualDaemon, event: events.Event
    ) -> None:
        if isinstance(event, events.PeerCalled):
            self._count(event.message)
        elif isinstance(event, events.PeerReplied):
            self._count(event.reply)

    def _count(self, message: object) -> None:
        self.messages += 1
        self.received_bytes += len(msgspec.msgpack.encode(message))


@functools.cache
def control_load(daemons: int, seed: int) -> ControlLoad:
    """Measure the control plane's load in an idle fleet.

    Parameters
    ----------
    daemons : int
        Number of daemons.
    seed : int
        Seeds all random choices.
    """
    fleet = _Fleet(daemons, seed)
    network = fleet.network
    network.run_until(WARM_UP_MS)
    fleet.messages = fleet.received_bytes = 0
    calls = network.store.calls
    started = time.process_time()
    network.run_until(WARM_UP_MS + MEASURED_MS)
    cpu_ms = (time.process_time() - started) * 1_000
    seconds = MEASURED_MS / 1_000
    return ControlLoad(
        (network.store.calls - calls) / seconds,
        fleet.messages / seconds / daemons,
        fleet.received_bytes / seconds / daemons,
        cpu_ms / seconds / daemons,
    )


def _quantity(name: str, unit: str, field: str) -> quantities.Quantity:
    return quantities.Quantity(
        name,
        unit,
        "daemons",
        DAEMONS,
        TARGET_DAEMONS,
        lambda daemons, seed: getattr(control_load(daemons, seed), field),
        FIT_FROM,
    )


QUANTITIES: Final = (
    _quantity("store calls of an idle fleet", "calls/s", "store_calls"),
    _quantity("messages to an idle daemon", "messages/s", "messages"),
    _quantity("bytes to an idle daemon", "bytes/s", "received_bytes"),
    _quantity("processor time of an idle daemon", "cpu ms/s", "cpu_ms"),
)
