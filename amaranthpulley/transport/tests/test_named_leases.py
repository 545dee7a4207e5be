"""Tests of the named leases under virtual time."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.control import named_leases
from amaranthpulley.state import daemon
from amaranthpulley.transport.emulation import virtual_network, virtual_platform

NAME = "feed/leaf-1"
SETTINGS = {"derandomize": True, "deadline": None, "database": None}
STEP_MS = 100


class LeaseWorld:
    """Daemons that want the same lease."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        self.names = [f"vm-{number}" for number in range(size)]
        self.overlaps: list[int] = []
        self.cut: set[str] = set()
        self.network.delay = self._delay
        for number, name in enumerate(self.names):
            identity = daemon.Identity(name, f"10.0.0.{number}:1", "a", "a", "1")
            self.network.start_daemon(identity)

    def _delay(self, sender: str, receiver: str) -> int | None:
        return None if {sender, receiver} & self.cut else 1

    def want(self, name: str) -> None:
        state = self.network.daemons[name].state
        self._carry_out(name, named_leases.acquire(state, NAME, self.network.now_ms))

    def release(self, name: str) -> None:
        state = self.network.daemons[name].state
        self._carry_out(name, named_leases.release(state, NAME, self.network.now_ms))

    def _carry_out(self, name: str, decided: list) -> None:
        for command in decided:
            self.network.carry_out(self.network.daemons[name], command)

    def run(self, for_ms: int) -> None:
        end_ms = self.network.now_ms + for_ms
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
        ["want", "release", "pause", "crash", "cut", "down", "slow", "lossy", "well"]
    ),
    strategies.integers(0, 2),
    strategies.integers(50, 6_000),
)


class LeasingTest(unittest.TestCase):
    """A named lease has one holder at a time."""

    def test_one_of_many_holds(self) -> None:
        world = LeaseWorld(4)
        for name in world.names:
            world.want(name)
        world.run(1_000)
        self.assertEqual(len(world.holders()), 1)

    def test_dead_holder_is_followed_within_seconds(self) -> None:
        world = LeaseWorld(3)
        for name in world.names:
            world.want(name)
        world.run(1_000)
        [first] = world.holders()
        world.network.crash(first)
        world.run(named_leases.TTL_MS + 2 * named_leases.TICK_MS)
        self.assertEqual(len(world.holders()), 1)
        self.assertNotEqual(world.holders(), [first])

    def test_released_lease_moves_at_once(self) -> None:
        world = LeaseWorld(2)
        world.want("vm-0")
        world.run(500)
        world.want("vm-1")
        world.release("vm-0")
        self.assertEqual(world.holders(), [])
        world.run(2 * named_leases.TICK_MS)
        self.assertEqual(world.holders(), ["vm-1"])

    def test_lapse_in_a_pause_is_noticed_before_any_use(self) -> None:
        world = LeaseWorld(2)
        world.want("vm-0")
        world.run(500)
        world.network.pause("vm-0", 60_000)
        world.want("vm-1")
        world.run(10_000)
        self.assertEqual(world.holders(), ["vm-1"])
        world.run(60_000)
        self.assertEqual(world.holders(), ["vm-1"])

    def test_holder_cut_off_from_the_store_stops_first(self) -> None:
        world = LeaseWorld(2)
        world.want("vm-0")
        world.run(500)
        world.want("vm-1")
        world.cut.add("10.0.0.0:1")
        world.run(8_000)
        self.assertEqual(world.overlaps, [])
        self.assertEqual(world.holders(), ["vm-1"])

    def test_claim_with_a_lost_reply_is_read_back(self) -> None:
        world = LeaseWorld(1)
        world.want("vm-0")
        world.network.run_until(2)
        faults = virtual_platform.StoreFaults(lost_replies=1.0)
        world.network.platform.faults = faults
        world.run(1_000)
        self.assertEqual(world.holders(), [])
        world.network.platform.faults = virtual_platform.StoreFaults()
        world.run(2_000)
        self.assertEqual(world.holders(), ["vm-0"])

    @hypothesis.settings(max_examples=40, **SETTINGS)
    @hypothesis.given(strategies.lists(ACTIONS, max_size=8), strategies.integers(0, 9))
    def test_never_held_twice(self, actions: list, seed: int) -> None:
        world = LeaseWorld(3, seed)
        for name in world.names:
            world.want(name)
        for action, number, wait_ms in actions:
            self._do(world, action, world.names[number], wait_ms)
            world.run(wait_ms)
        self.assertEqual(world.overlaps, [])
        self._do(world, "well", world.names[0], 0)
        alive = [name for name in world.names if world.network.daemons[name].alive]
        for name in alive:
            world.want(name)
        world.run(20_000)
        self.assertEqual(world.overlaps, [])
        self.assertEqual(len(world.holders()), min(1, len(alive)))

    def _do(self, world: LeaseWorld, action: str, name: str, wait_ms: int) -> None:
        faults = virtual_platform.StoreFaults
        match action:
            case "want":
                world.want(name)
            case "release":
                world.release(name)
            case "pause":
                world.network.pause(name, wait_ms)
            case "crash":
                world.network.crash(name)
            case "cut":
                world.cut.add(world.network.daemons[name].state.identity.address)
            case "down":
                world.network.platform.faults = faults(down=True)
            case "slow":
                world.network.platform.faults = faults(delay_ms=wait_ms // 4)
            case "lossy":
                world.network.platform.faults = faults(lost_replies=0.5)
            case "well":
                world.cut.clear()
                world.network.platform.faults = faults()
