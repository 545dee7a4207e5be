"""How fast change tickets and duties move, and what control work costs a daemon.

All of it runs under virtual time: only the processor time is the machine's.
"""

import time
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import events
from amaranthpulley.coordination.control import named_leases, ticket_store
from amaranthpulley.protocol import peer_codec, store_api
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import store
from amaranthpulley.state.control import topology
from amaranthpulley.transport.emulation import virtual_network, virtual_platform

DAEMONS: Final = (8, 64, 512)
QUICK_DAEMONS: Final = (8, 16)
DOMAINS: Final = ("Kathmandu", "Pokhara", "Biratnagar")
FAULTS: Final = ("none", "store_down", "restarts")
NEAR_MS: Final = 1
FAR_MS: Final = 20
WARM_UP_MS: Final = 10_000
# 18,000 changes a day.
TICKET_INTERVAL_MS: Final = 4_800
TICKETS: Final = 10
# Fewer in large fleets, whose emulation takes minutes.
LARGE_FLEET: Final = 256
LARGE_FLEET_TICKETS: Final = 4
RECOVERIES: Final = 10
CONTROL_PREFIX: Final = "config/"
DUTY: Final = "duty"
STEP_MS: Final = 10


class Spread(NamedTuple):
    """Time from a ticket's acceptance until it is in force in each daemon."""

    daemons: int
    fault: str
    tickets: int
    p50_ms: float
    p99_ms: float
    largest_ms: int
    missing: int


class ControlCost(NamedTuple):
    """What control takes; bytes and processor time are of one daemon in a second."""

    daemons: int
    changes_a_day: int
    store_calls_per_second: float
    mean_bytes_per_second: float
    largest_bytes_per_second: float
    cpu_ms_per_second: float


class Recovery(NamedTuple):
    """Time from a duty holder's death until another holds its lease."""

    daemons: int
    trials: int
    p50_ms: float
    largest_ms: int


class Fleet:
    """Daemons under virtual time, with what they receive and send."""

    def __init__(self, size: int, seed: int) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        self.network.delay = self._delay
        self.network.observe = self._observe
        self.store_calls = 0
        self._call_store = self.network.store.call
        self.network.store.call = self._count_call
        self.accepted_ms: dict[int, int] = {}
        self.bytes: dict[str, int] = {}
        self.measures_bytes = False
        self._domains: dict[str, str] = {}
        self._lives = 0
        self._number = 0
        for number in range(size):
            self.start(number)
        self.apply()
        self.network.run_until(WARM_UP_MS)

    def start(self, number: int) -> None:
        """Start a daemon, or a new life of it."""
        self._lives += 1
        domain = DOMAINS[number % len(DOMAINS)]
        address = f"10.0.{number // 250}.{number % 250}:1"
        self._domains[address] = domain
        identity = daemon_state.Identity(
            f"vm-{number}", address, domain, domain, str(self._lives)
        )
        self.network.start_daemon(identity)

    def apply(self) -> int:
        """Start to bring the next ticket in and return its number."""
        self._number += 1
        number = self._number
        domain = topology.FailureDomain(DOMAINS[0], DOMAINS[0], number % 2 == 0)

        def done(verdict: ticket_store.ApplyResult) -> None:
            if verdict.status.is_accepted:
                self.accepted_ms[number] = self.network.now_ms

        ticket = topology.ChangeTicket(number, failure_domains=(domain,))
        self.network.platform.apply_ticket(ticket, done)
        return number

    def wait_for(self, holds: Callable[[], bool], limit_ms: int) -> None:
        """Let time pass until something holds, or the limit is over."""
        end_ms = self.network.now_ms + limit_ms
        while not holds() and self.network.now_ms < end_ms:
            self.network.run_until(self.network.now_ms + STEP_MS)

    def _count_call(self, operation: store.Operation, now_ms: int) -> store.Result:
        key = getattr(operation, "key", getattr(operation, "prefix", ""))
        self.store_calls += key.startswith(CONTROL_PREFIX)
        return self._call_store(operation, now_ms)

    def _delay(self, sender: str, receiver: str) -> int:
        same = self._domains.get(sender) == self._domains.get(receiver)
        return NEAR_MS if same else FAR_MS

    def _observe(
        self, daemon: virtual_network.VirtualDaemon, event: events.Event
    ) -> None:
        if not self.measures_bytes:
            return
        size = 0
        if isinstance(event, events.PeerCalled):
            size = len(peer_codec.encode(event.message))
        elif isinstance(event, events.PeerReplied) and isinstance(event.reply, tuple):
            size = len(peer_codec.encode(event.reply))
        elif isinstance(event, events.StoreReplied):
            size = len(store_api.encode(event.result))
        name = daemon.state.identity.name
        self.bytes[name] = self.bytes.get(name, 0) + size


def run(seed: int, quick: bool = False) -> list[Spread | ControlCost | Recovery]:
    """Measure the spread of tickets, the cost of control and the move of duties."""
    sizes = QUICK_DAEMONS if quick else DAEMONS
    rows: list[Spread | ControlCost | Recovery] = []
    for size in sizes:
        fleet = Fleet(size, seed)
        tickets = LARGE_FLEET_TICKETS if size >= LARGE_FLEET else TICKETS
        rows += [_cost(fleet, tickets, changes) for changes in (False, True)]
        rows += [_spread(fleet, tickets, fault) for fault in FAULTS]
    rows.append(_recovery(sizes[0], seed))
    return rows


def _spread(fleet: Fleet, tickets: int, fault: str) -> Spread:
    size = len(fleet.network.daemons)
    times: list[int] = []
    missing = 0
    for _ in range(tickets):
        if fault == "restarts":
            _restart_tenth(fleet, size)
        number = fleet.apply()
        fleet.wait_for(lambda number=number: number in fleet.accepted_ms, 1_000)
        if fault == "store_down":
            fleet.network.platform.faults = virtual_platform.StoreFaults(down=True)
        fleet.network.run_until(fleet.network.now_ms + TICKET_INTERVAL_MS)
        fleet.network.platform.faults = virtual_platform.StoreFaults()
        found, lacking = _times_of(fleet, number)
        times += found
        missing += lacking
    times.sort()
    return Spread(
        size,
        fault,
        tickets,
        _share(times, 0.5),
        _share(times, 0.99),
        times[-1],
        missing,
    )


def _restart_tenth(fleet: Fleet, size: int) -> None:
    for number in fleet.network.random.sample(range(size), max(1, size // 10)):
        fleet.network.crash(f"vm-{number}")
        fleet.network.after(
            int(fleet.network.random.random() * 1_000),
            lambda number=number: fleet.start(number),
        )


def _times_of(fleet: Fleet, number: int) -> tuple[list[int], int]:
    """Return when the living daemons had a ticket, and how many never did."""
    accepted_ms = fleet.accepted_ms[number]
    found = []
    missing = 0
    for daemon in fleet.network.daemons.values():
        configuration = daemon.state.configuration
        wall_ms = configuration.in_force_since_ms.get(number)
        if wall_ms is not None:
            in_force_ms = wall_ms - daemon.state.wall_offset_ms
            found.append(max(0, in_force_ms - accepted_ms))
        elif configuration.highest_number < number:
            missing += 1
    return found, missing


def _cost(fleet: Fleet, tickets: int, changes: bool) -> ControlCost:
    size = len(fleet.network.daemons)
    fleet.bytes.clear()
    fleet.measures_bytes = True
    calls, begun_ms = fleet.store_calls, fleet.network.now_ms
    for _ in range(tickets):
        if changes:
            fleet.apply()
        fleet.network.run_until(fleet.network.now_ms + TICKET_INTERVAL_MS)
    seconds = (fleet.network.now_ms - begun_ms) / 1000
    calls = fleet.store_calls - calls
    sizes = [count / seconds for count in fleet.bytes.values()]
    fleet.measures_bytes = False
    cpu_ms = _cpu_ms(fleet, changes) / size
    return ControlCost(
        size,
        int(86_400_000 / TICKET_INTERVAL_MS) if changes else 0,
        round(calls / seconds, 2),
        round(sum(sizes) / size),
        round(max(sizes)),
        round(cpu_ms, 3),
    )


def _cpu_ms(fleet: Fleet, changes: bool) -> float:
    begun, begun_ms = time.process_time(), fleet.network.now_ms
    if changes:
        fleet.apply()
    fleet.network.run_until(begun_ms + TICKET_INTERVAL_MS)
    return (time.process_time() - begun) * 1000 / (TICKET_INTERVAL_MS / 1000)


def _recovery(size: int, seed: int) -> Recovery:
    times = sorted(_recover(size, seed + trial) for trial in range(RECOVERIES))
    return Recovery(size, RECOVERIES, _share(times, 0.5), times[-1])


def _recover(size: int, seed: int) -> int:
    fleet = Fleet(size, seed)
    for daemon in fleet.network.daemons.values():
        for command in named_leases.acquire(daemon.state, DUTY, fleet.network.now_ms):
            fleet.network.carry_out(daemon, command)
    wait_ms = 2_000 + int(fleet.network.random.random() * named_leases.RENEWAL_MS)
    fleet.network.run_until(fleet.network.now_ms + wait_ms)
    [first] = _holders(fleet)
    fleet.network.crash(first)
    begun_ms = fleet.network.now_ms
    fleet.wait_for(lambda: bool(_holders(fleet)), 60_000)
    return fleet.network.now_ms - begun_ms


def _holders(fleet: Fleet) -> list[str]:
    now_ms = fleet.network.now_ms
    return [
        name
        for name, daemon in fleet.network.daemons.items()
        if daemon.alive and daemon.state.leases.holds(DUTY, now_ms)
    ]


def _share(ordered: list[int], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
