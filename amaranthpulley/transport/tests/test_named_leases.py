"""Tests of named leases under virtual time."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.control import named_leases
from amaranthpulley.state import daemon
from amaranthpulley.transport.emulation import virtual_network, virtual_platform

NAME = "feed/leaf-1"
SETTINGS = {"derandomize": True, "deadline": None, "database": None}
STEP_MS = 100


class LeaseSite:
    """Daemons that compete for one named lease.

    Attributes
    ----------
    overlaps : list of int
        Times in milliseconds at which more than one daemon held the lease.
    isolated_addresses : set of str
        Addresses whose messages are all lost.
    """

    def __init__(self, daemon_count: int, seed: int = 1) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        self.names = [f"vm-{number}" for number in range(daemon_count)]
        self.overlaps: list[int] = []
        self.isolated_addresses: set[str] = set()
        self.network.delay = self._delay
        for number, name in enumerate(self.names):
            identity = daemon.Identity(name, f"10.0.0.{number}:1", "a", "a", "1")
            self.network.start_daemon(identity)

    def _delay(self, sender: str, receiver: str) -> int | None:
        return None if {sender, receiver} & self.isolated_addresses else 1

    def acquire(self, name: str) -> None:
        state = self.network.daemons[name].state
        self._execute(name, named_leases.acquire(state, NAME, self.network.now_ms))

    def release(self, name: str) -> None:
        state = self.network.daemons[name].state
        self._execute(name, named_leases.release(state, NAME, self.network.now_ms))

    def _execute(self, name: str, commands: list) -> None:
        for command in commands:
            self.network.carry_out(self.network.daemons[name], command)

    def run(self, duration_ms: int) -> None:
        end_ms = self.network.now_ms + duration_ms
        while self.network.now_ms < end_ms:
            self.network.run_until(self.network.now_ms + STEP_MS)
            if len(self.holders()) > 1:
                self.overlaps.append(self.network.now_ms)

    def holders(self) -> list[str]:
        now_ms = self.network.now_ms
        return [
            name
            for name in self.names
            if self.network.daemons[name].alive
            and self.network.daemons[name].state.leases.holds(NAME, now_ms)
        ]


ACTIONS = strategies.tuples(
    strategies.sampled_from(
        ["acquire", "release", "pause", "crash", "cut", "down", "slow", "lossy", "heal"]
    ),
    strategies.integers(0, 2),
    strategies.integers(50, 6_000),
)


class NamedLeaseTest(unittest.TestCase):
    """A named lease has at most one holder at a time."""

    def test_one_of_several_daemons_acquires_it(self) -> None:
        site = LeaseSite(4)
        for name in site.names:
            site.acquire(name)
        site.run(1_000)
        self.assertEqual(len(site.holders()), 1)

    def test_dead_holder_is_replaced_when_its_lease_expires(self) -> None:
        site = LeaseSite(3)
        for name in site.names:
            site.acquire(name)
        site.run(1_000)
        [first] = site.holders()
        site.network.crash(first)
        site.run(named_leases.TTL_MS + 2 * named_leases.TICK_MS)
        self.assertEqual(len(site.holders()), 1)
        self.assertNotEqual(site.holders(), [first])

    def test_released_lease_is_acquired_within_two_ticks(self) -> None:
        site = LeaseSite(2)
        site.acquire("vm-0")
        site.run(500)
        site.acquire("vm-1")
        site.release("vm-0")
        self.assertEqual(site.holders(), [])
        site.run(2 * named_leases.TICK_MS)
        self.assertEqual(site.holders(), ["vm-1"])

    def test_paused_holder_does_not_use_its_expired_lease(self) -> None:
        site = LeaseSite(2)
        site.acquire("vm-0")
        site.run(500)
        site.network.pause("vm-0", 60_000)
        site.acquire("vm-1")
        site.run(10_000)
        self.assertEqual(site.holders(), ["vm-1"])
        site.run(60_000)
        self.assertEqual(site.holders(), ["vm-1"])

    def test_isolated_holder_stops_before_the_next_one_starts(self) -> None:
        site = LeaseSite(2)
        site.acquire("vm-0")
        site.run(500)
        site.acquire("vm-1")
        site.isolated_addresses.add("10.0.0.0:1")
        site.run(8_000)
        self.assertEqual(site.overlaps, [])
        self.assertEqual(site.holders(), ["vm-1"])

    def test_claim_with_a_lost_reply_is_read_back(self) -> None:
        site = LeaseSite(1)
        site.acquire("vm-0")
        site.network.run_until(2)
        faults = virtual_platform.StoreFaults(lost_reply_share=1.0)
        site.network.platform.faults = faults
        site.run(1_000)
        self.assertEqual(site.holders(), [])
        site.network.platform.faults = virtual_platform.StoreFaults()
        site.run(2_000)
        self.assertEqual(site.holders(), ["vm-0"])

    @hypothesis.settings(max_examples=40, **SETTINGS)
    @hypothesis.given(strategies.lists(ACTIONS, max_size=8), strategies.integers(0, 9))
    def test_at_most_one_holder_under_faults(self, actions: list, seed: int) -> None:
        site = LeaseSite(3, seed)
        for name in site.names:
            site.acquire(name)
        for action, number, wait_ms in actions:
            self._perform(site, action, site.names[number], wait_ms)
            site.run(wait_ms)
        self.assertEqual(site.overlaps, [])
        self._perform(site, "heal", site.names[0], 0)
        alive = [name for name in site.names if site.network.daemons[name].alive]
        for name in alive:
            site.acquire(name)
        site.run(20_000)
        self.assertEqual(site.overlaps, [])
        self.assertEqual(len(site.holders()), min(1, len(alive)))

    def _perform(self, site: LeaseSite, action: str, name: str, wait_ms: int) -> None:
        faults = virtual_platform.StoreFaults
        match action:
            case "acquire":
                site.acquire(name)
            case "release":
                site.release(name)
            case "pause":
                site.network.pause(name, wait_ms)
            case "crash":
                site.network.crash(name)
            case "cut":
                site.isolated_addresses.add(
                    site.network.daemons[name].state.identity.address
                )
            case "down":
                site.network.platform.faults = faults(down=True)
            case "slow":
                site.network.platform.faults = faults(delay_ms=wait_ms // 4)
            case "lossy":
                site.network.platform.faults = faults(lost_reply_share=0.5)
            case "heal":
                site.isolated_addresses.clear()
                site.network.platform.faults = faults()
