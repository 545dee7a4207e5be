"""Experiment: spread of change tickets, takeover of duties, cost of control work.

Everything runs under virtual time; only the processor time is real.
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
SAME_DOMAIN_DELAY_MS: Final = 1
CROSS_DOMAIN_DELAY_MS: Final = 20
WARM_UP_MS: Final = 10_000
# Equals 18,000 changes a day.
TICKET_INTERVAL_MS: Final = 4_800
TICKETS: Final = 10
# Large fleets get fewer tickets, because their emulation takes minutes.
LARGE_FLEET_DAEMONS: Final = 256
LARGE_FLEET_TICKETS: Final = 4
RECOVERY_TRIALS: Final = 10
CONTROL_PREFIX: Final = "config/"
DUTY_LEASE: Final = "duty"
POLL_INTERVAL_MS: Final = 10


class Spread(NamedTuple):
    """Time from the acceptance of a ticket until it is in force in a daemon."""

    daemons: int
    fault: str
    tickets: int
    p50_ms: float
    p99_ms: float
    largest_ms: int
    missing: int


class ControlCost(NamedTuple):
    """Cost of control work; bytes and processor time are for one daemon per second."""

    daemons: int
    changes_a_day: int
    store_calls_per_second: float
    mean_bytes_per_second: float
    largest_bytes_per_second: float
    cpu_ms_per_second: float


class Recovery(NamedTuple):
    """Time from the crash of a duty's holder until another daemon holds its lease."""

    daemons: int
    trials: int
    p50_ms: float
    largest_ms: int


class Fleet:
    """Simulated daemons, with counts of their store calls and received bytes."""

    def __init__(self, size: int, seed: int) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        self.network.delay = self._delay
        self.network.observe = self._observe
        self.store_calls = 0
        self._call_store = self.network.store.call
        self.network.store.call = self._count_call
        self.accepted_ms: dict[int, int] = {}
        self.bytes: dict[str, int] = {}
        self.counts_bytes = False
        self._domains: dict[str, str] = {}
        self._lives = 0
        self._ticket_number = 0
        for number in range(size):
            self.start(number)
        self.apply()
        self.network.run_until(WARM_UP_MS)

    def start(self, number: int) -> None:
        """Start a daemon, or restart it as a new life."""
        self._lives += 1
        domain = DOMAINS[number % len(DOMAINS)]
        address = f"10.0.{number // 250}.{number % 250}:1"
        self._domains[address] = domain
        identity = daemon_state.Identity(
            f"vm-{number}", address, domain, domain, str(self._lives)
        )
        self.network.start_daemon(identity)

    def apply(self) -> int:
        """Start to apply the next ticket and return its number."""
        self._ticket_number += 1
        number = self._ticket_number
        domain = topology.FailureDomain(DOMAINS[0], DOMAINS[0], number % 2 == 0)

        def done(verdict: ticket_store.ApplyResult) -> None:
            if verdict.status.is_accepted:
                self.accepted_ms[number] = self.network.now_ms

        ticket = topology.ChangeTicket(number, failure_domains=(domain,))
        self.network.platform.apply_ticket(ticket, done)
        return number

    def wait_for(self, condition: Callable[[], bool], limit_ms: int) -> None:
        """Advance the time until a condition holds or the limit has passed."""
        end_ms = self.network.now_ms + limit_ms
        while not condition() and self.network.now_ms < end_ms:
            self.network.run_until(self.network.now_ms + POLL_INTERVAL_MS)

    def _count_call(self, operation: store.Operation, now_ms: int) -> store.Result:
        key = getattr(operation, "key", getattr(operation, "prefix", ""))
        self.store_calls += key.startswith(CONTROL_PREFIX)
        return self._call_store(operation, now_ms)

    def _delay(self, sender: str, receiver: str) -> int:
        same = self._domains.get(sender) == self._domains.get(receiver)
        return SAME_DOMAIN_DELAY_MS if same else CROSS_DOMAIN_DELAY_MS

    def _observe(
        self, daemon: virtual_network.VirtualDaemon, event: events.Event
    ) -> None:
        if not self.counts_bytes:
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
    """Measure the spread of tickets, the cost of control and the takeover of duties."""
    sizes = QUICK_DAEMONS if quick else DAEMONS
    rows: list[Spread | ControlCost | Recovery] = []
    for size in sizes:
        fleet = Fleet(size, seed)
        tickets = LARGE_FLEET_TICKETS if size >= LARGE_FLEET_DAEMONS else TICKETS
        rows += [_measure_cost(fleet, tickets, changes) for changes in (False, True)]
        rows += [_measure_spread(fleet, tickets, fault) for fault in FAULTS]
    rows.append(_measure_recovery(sizes[0], seed))
    return rows


def _measure_spread(fleet: Fleet, tickets: int, fault: str) -> Spread:
    size = len(fleet.network.daemons)
    delays_ms: list[int] = []
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
        found_ms, lacking_daemons = _activation_delays(fleet, number)
        delays_ms += found_ms
        missing += lacking_daemons
    delays_ms.sort()
    return Spread(
        size,
        fault,
        tickets,
        _quantile(delays_ms, 0.5),
        _quantile(delays_ms, 0.99),
        delays_ms[-1],
        missing,
    )


def _restart_tenth(fleet: Fleet, size: int) -> None:
    for number in fleet.network.random.sample(range(size), max(1, size // 10)):
        fleet.network.crash(f"vm-{number}")
        fleet.network.after(
            int(fleet.network.random.random() * 1_000),
            lambda number=number: fleet.start(number),
        )


def _activation_delays(fleet: Fleet, number: int) -> tuple[list[int], int]:
    """Return each daemon's delay in activating a ticket, and how many never did."""
    accepted_ms = fleet.accepted_ms[number]
    found_ms = []
    missing = 0
    for daemon in fleet.network.daemons.values():
        configuration = daemon.state.configuration
        wall_ms = configuration.in_force_since_ms.get(number)
        if wall_ms is not None:
            in_force_ms = wall_ms - daemon.state.wall_offset_ms
            found_ms.append(max(0, in_force_ms - accepted_ms))
        elif configuration.highest_number < number:
            missing += 1
    return found_ms, missing


def _measure_cost(fleet: Fleet, tickets: int, changes: bool) -> ControlCost:
    size = len(fleet.network.daemons)
    fleet.bytes.clear()
    fleet.counts_bytes = True
    calls, started_ms = fleet.store_calls, fleet.network.now_ms
    for _ in range(tickets):
        if changes:
            fleet.apply()
        fleet.network.run_until(fleet.network.now_ms + TICKET_INTERVAL_MS)
    seconds = (fleet.network.now_ms - started_ms) / 1000
    calls = fleet.store_calls - calls
    sizes = [count / seconds for count in fleet.bytes.values()]
    fleet.counts_bytes = False
    cpu_ms = _measure_cpu_ms(fleet, changes) / size
    return ControlCost(
        size,
        int(86_400_000 / TICKET_INTERVAL_MS) if changes else 0,
        round(calls / seconds, 2),
        round(sum(sizes) / size),
        round(max(sizes)),
        round(cpu_ms, 3),
    )


def _measure_cpu_ms(fleet: Fleet, changes: bool) -> float:
    started_s, started_ms = time.process_time(), fleet.network.now_ms
    if changes:
        fleet.apply()
    fleet.network.run_until(started_ms + TICKET_INTERVAL_MS)
    return (time.process_time() - started_s) * 1000 / (TICKET_INTERVAL_MS / 1000)


def _measure_recovery(size: int, seed: int) -> Recovery:
    delays_ms = sorted(
        _measure_takeover_ms(size, seed + trial) for trial in range(RECOVERY_TRIALS)
    )
    return Recovery(size, RECOVERY_TRIALS, _quantile(delays_ms, 0.5), delays_ms[-1])


def _measure_takeover_ms(size: int, seed: int) -> int:
    fleet = Fleet(size, seed)
    for daemon in fleet.network.daemons.values():
        for command in named_leases.acquire(
            daemon.state, DUTY_LEASE, fleet.network.now_ms
        ):
            fleet.network.carry_out(daemon, command)
    wait_ms = 2_000 + int(fleet.network.random.random() * named_leases.RENEWAL_MS)
    fleet.network.run_until(fleet.network.now_ms + wait_ms)
    [first] = _holders(fleet)
    fleet.network.crash(first)
    started_ms = fleet.network.now_ms
    fleet.wait_for(lambda: bool(_holders(fleet)), 60_000)
    return fleet.network.now_ms - started_ms


def _holders(fleet: Fleet) -> list[str]:
    now_ms = fleet.network.now_ms
    return [
        name
        for name, daemon in fleet.network.daemons.items()
        if daemon.alive and daemon.state.leases.holds(DUTY_LEASE, now_ms)
    ]


def _quantile(ordered: list[int], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
