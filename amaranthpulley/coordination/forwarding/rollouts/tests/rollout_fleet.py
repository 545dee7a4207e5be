"""Daemons under virtual time that roll out a version, with a store that may fail."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.rollouts import decider, rollout_events
from amaranthpulley.coordination.forwarding.rollouts.tests import faults
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, rollouts

SERVICE: Final = "visits"
OLD: Final = "v1"
NEW: Final = "v2"
LIMITS: Final = gateway.Limits(configuration_ms=5_000)
SLICE_MS: Final = 10
START_MS: Final = 1_000_000
# The watch of a daemon tells it of a change after one of these times.
NEWS_MS: Final = (50, 900)
WRITE_MS: Final = 10
DATAGRAM_LOSS: Final = 0.05
WORK_MS: Final = 20
SLOW_WORK_MS: Final = 100
DEADLINE_MS: Final = 700
REGISTRATION_MS: Final = 30_000
LOAD_WINDOW_MS: Final = 500


class Arrival(NamedTuple):
    """A send that reached a leaf, and what it was answered."""

    at_ms: int
    daemon: int
    version: str
    kind: str


class RolloutFleet:
    """Daemons, leaves of two versions, and a store.

    Parameters
    ----------
    count : int
        Number of daemons.
    per_s : float
        Requests a second that clients send to all daemons together.
    fault : callable
        Returns how a leaf of the new version answers a run.
    seed : int
        Of the chance.
    """

    def __init__(
        self, count: int, per_s: float, fault: faults.Fault, seed: int = 1
    ) -> None:
        self.random = random.Random(seed)
        self.per_s, self.fault = per_s, fault
        self.now_ms = START_MS
        self.paths = ("/visit/1", "/other/1")
        self.items: dict[str, tuple[int, object]] = {}
        self.revision = 10
        self.store_down = False
        self.loses_answers = False
        # A write without an answer takes effect after this time.
        self.late_write_ms = 0
        self.cut_off: set[int] = set()
        self.dead: set[int] = set()
        self.paused: set[int] = set()
        self.arrivals: list[Arrival] = []
        self.reached: set[tuple[int, int]] = set()
        self.reached_at_ms: list[int] = []
        self.status: list[tuple[int, rollouts.Phase, str]] = []
        self.order_ms = 0
        self.duration_ms = 0
        self._paths: dict[tuple[int, int], str] = {}
        self._order = itertools.count()
        self._due: list[tuple[int, int, int, Callable[[], None]]] = []
        self._delivered = [0] * count
        self._others = [0] * count
        self._entries = [
            gateway_site.entry(
                f"{SERVICE}-{version}-{n}", SERVICE, domain, slots=40, version=version
            )
            for version in (OLD, NEW)
            for n, domain in enumerate(("a1", "b1", "a1"))
        ]
        self._versions = {entry.leaf_id: entry.version for entry in self._entries}
        self.addresses = {f"vm-{n + 1}:1": n for n in range(count)}
        self.sites = [self._start(n, count) for n in range(count)]
        self._next_arrival_ms = float(START_MS)

    def _start(self, number: int, count: int) -> gateway_site.GatewaySite:
        site = gateway_site.GatewaySite(LIMITS, f"vm-{number + 1}")
        site.advance(self.now_ms - site.now_ms)
        if self.now_ms > START_MS:
            site.gateway.started_ms = self.now_ms
        for other in range(count):
            member = gateway.Member("a1" if other % 2 else "b1", f"vm-{other + 1}:1")
            site.feed(events.MemberChanged(f"vm-{other + 1}", member))
        for key, (revision, value) in self.items.items():
            site.feed(_event_of(key, revision, value))
        other_route = gateway_site.single(name="other", prefix="/other/")
        found = gateway_site.configuration(gateway_site.single(), other_route)
        for entry in self._entries:
            site.feed(events.LeafWritten(entry))
        site.feed(events.ConfigurationRead(found))
        site.feed(events.DirectoryListed())
        return site

    def restart(self, number: int) -> None:
        """Start a daemon again: it knows nothing of before."""
        self.sites[number] = self._start(number, len(self.sites))
        self._delivered[number] = self._others[number] = 0
        self.dead.discard(number)

    def kill(self, number: int) -> None:
        """End a daemon; its registration lapses later."""
        self.dead.add(number)
        name = f"vm-{number + 1}"
        self._schedule(REGISTRATION_MS, -1, lambda: self._lapse(number, name))

    def _lapse(self, number: int, name: str) -> None:
        if number in self.dead:
            for site in self.sites:
                site.feed(events.MemberChanged(name, None))

    def begin(self, duration_ms: int) -> None:
        """Write an order, and begin with requests when all daemons know it."""
        self.order(duration_ms)
        self._next_arrival_ms = float("inf")
        self.advance(NEWS_MS[1] + 100)
        self._next_arrival_ms = float(self.now_ms)

    def order(self, duration_ms: int, target: str = NEW) -> None:
        """Write an order."""
        self.order_ms, self.duration_ms = self.now_ms, duration_ms
        self.put("order", rollouts.Order(target, duration_ms))

    def put(self, key: str, value: object) -> None:
        """Write an item, and tell the daemons."""
        self.revision += 1
        self.items[key] = (self.revision, value)
        event = _event_of(key, self.revision, value)
        for number in range(len(self.sites)):
            self._tell(number, event, self.random.randint(*NEWS_MS))

    def _tell(self, number: int, event: events.Event, delay_ms: int) -> None:
        def deliver() -> None:
            if number in self.cut_off or self.store_down:
                self._tell(number, event, 500)
            elif number not in self.dead:
                self.sites[number].feed(event)
                self._carry_out(number)

        self._schedule(delay_ms, number, deliver)

    def _schedule(self, delay_ms: int, number: int, action: Callable[[], None]) -> None:
        due = (self.now_ms + delay_ms, next(self._order), number, action)
        heapq.heappush(self._due, due)

    def leader(self) -> int:
        """Return the daemon that decides first."""
        site = next(s for n, s in enumerate(self.sites) if n not in self.dead)
        return int(decider.judges(site.gateway, SERVICE)[0][3:]) - 1

    def advance_to_end(self) -> None:
        """Advance until the roll-out has ended and the reversal is in force."""
        end_ms = self.order_ms + self.duration_ms + 1_000
        while self.end is None and self.now_ms < end_ms:
            self.advance(500)
        self.advance(LIMITS.rollback_ms + 1_000)

    def advance(self, by_ms: int) -> None:
        """Advance all daemons, with requests of clients."""
        end_ms = self.now_ms + by_ms
        while self.now_ms < end_ms:
            self.now_ms += SLICE_MS
            held = []
            while self._due and self._due[0][0] <= self.now_ms:
                due = heapq.heappop(self._due)
                if due[2] in self.paused:
                    held.append(due)
                elif due[2] not in self.dead:
                    due[3]()
            for due in held:
                heapq.heappush(self._due, due)
            self._send_requests()
            for number, site in enumerate(self.sites):
                if number not in self.dead and number not in self.paused:
                    site.advance(self.now_ms - site.now_ms)
                    self._carry_out(number)

    def _send_requests(self) -> None:
        while self._next_arrival_ms <= self.now_ms:
            self._next_arrival_ms += self.random.expovariate(self.per_s) * 1_000
            number = self.random.randrange(len(self.sites))
            if number in self.dead or number in self.paused:
                continue
            path = self.paths[self.random.random() < 0.3]
            site = self.sites[number]
            self._paths[id(site), site._next_key + 1] = path
            site.request(path, DEADLINE_MS)
            self._carry_out(number)

    def _carry_out(self, number: int) -> None:
        site = self.sites[number]
        while self._delivered[number] < len(site.sent):
            sent = site.sent[self._delivered[number]]
            self._delivered[number] += 1
            self._arrive(number, site, sent)
        while self._others[number] < len(site.others):
            command = site.others[self._others[number]]
            self._others[number] += 1
            if isinstance(command, commands.WriteRolloutStep):
                self._write(number, command)
            elif isinstance(command, commands.SendToPeers):
                self._send_datagrams(command)

    def _arrive(
        self,
        number: int,
        site: gateway_site.GatewaySite,
        sent: gateway_site.Sent,
    ) -> None:
        version = self._versions[sent.command.leaf_id]
        kind = faults.GOOD
        if version == NEW:
            since_ms = self.now_ms - LOAD_WINDOW_MS
            recent = 0
            for arrival in reversed(self.arrivals):
                if arrival.at_ms < since_ms:
                    break
                recent += arrival.version == NEW
            path = self._paths[id(site), sent.command.request_key]
            per_s = 1_000 * recent / LOAD_WINDOW_MS
            run = faults.Run(self.now_ms - self.order_ms, path, per_s)
            kind = self.fault(run, self.random)
        self.arrivals.append(Arrival(self.now_ms, number, version, kind))
        key = (id(site), sent.command.request_key)
        if key not in self.reached:
            self.reached.add(key)
            self.reached_at_ms.append(self.now_ms)
        work_ms = int(
            (SLOW_WORK_MS if kind == faults.SLOW else WORK_MS) * self._jitter()
        )
        status = 500 if kind == faults.FAILING else 200

        def answer() -> None:
            if self.sites[number] is site:
                site.reply(sent, gateway_site.answer(status))
                self._carry_out(number)

        self._schedule(work_ms, number, answer)

    def _jitter(self) -> float:
        return 0.8 + 0.4 * self.random.random()

    def _write(self, number: int, command: commands.WriteRolloutStep) -> None:
        def end(result: str) -> None:
            ended = rollout_events.RolloutWriteEnded(
                SERVICE, command.step.number, command.step.phase.value, result, ""
            )
            self.sites[number].feed(ended)
            self._carry_out(number)

        if self.store_down or number in self.cut_off:
            self._schedule(1_000, number, lambda: end(rollout_events.UNKNOWN))
        elif self.loses_answers:
            self._schedule(self.late_write_ms, -1, lambda: self._apply(command))
            self._schedule(1_000, number, lambda: end(rollout_events.UNKNOWN))
        else:
            written = self._apply(command)
            result = rollout_events.WRITTEN if written else rollout_events.CONFLICT
            self._schedule(WRITE_MS, number, lambda: end(result))

    def _apply(self, command: commands.WriteRolloutStep) -> bool:
        expected = (command.order, command.previous, command.status)
        current = tuple(
            self.items.get(key, (0, None))[0] for key in ("order", "step", "status")
        )
        if expected != current:
            return False
        self.put("step", command.step)
        self.put("status", command.step.phase)
        self.status.append((self.now_ms, command.step.phase, command.step.reason))
        return True

    def _send_datagrams(self, command: commands.SendToPeers) -> None:
        for address in command.addresses:
            if self.random.random() < DATAGRAM_LOSS:
                continue
            number = self.addresses[address]
            event = events.PeerMessageReceived(command.message, "vm:1")

            def deliver(number: int = number, event: events.Event = event) -> None:
                self.sites[number].feed(event)
                self._carry_out(number)

            self._schedule(self.random.choice((1, 15, 15, 400)), number, deliver)

    @property
    def end(self) -> tuple[int, rollouts.Phase, str] | None:
        """When and how the roll-out ended."""
        if self.status and self.status[-1][1] in rollouts.FINAL_PHASES:
            return self.status[-1]
        return None

    def bad_times(self) -> list[int]:
        """Return the times of the bad answers of the new version since the order."""
        return [
            arrival.at_ms
            for arrival in self.arrivals
            if arrival.kind != faults.GOOD and arrival.at_ms >= self.order_ms
        ]

    def exposure(self) -> tuple[int, float]:
        """Return what the new version got until the deadline, and what it may get."""
        end_ms = self.order_ms + self.duration_ms
        got = sum(
            arrival.version == NEW and self.order_ms <= arrival.at_ms < end_ms
            for arrival in self.arrivals
        )
        total = sum(self.order_ms <= at_ms < end_ms for at_ms in self.reached_at_ms)
        return got, LIMITS.exposure_share * total + LIMITS.exposure_slack

    def late_sends(self) -> int:
        """Return the sends to the new version that came too long after the 50th."""
        times = self.bad_times()
        if len(times) < LIMITS.exposure_slack:
            return 0
        until_ms = times[LIMITS.exposure_slack - 1] + LIMITS.rollback_ms
        return sum(
            arrival.version == NEW and arrival.at_ms > until_ms
            for arrival in self.arrivals
        )

    def sends_to_old_after_end(self) -> int:
        """Return the sends to old leaves after the roll-out was completed."""
        if self.end is None or self.end[1] is not rollouts.Phase.COMPLETED:
            return 0
        return sum(
            arrival.version == OLD and arrival.at_ms > self.end[0]
            for arrival in self.arrivals
        )


def _event_of(key: str, revision: int, value: object) -> events.Event:
    if key == "order":
        return rollout_events.RolloutOrdered(SERVICE, value, revision)
    if key == "step":
        return rollout_events.RolloutStepRead(SERVICE, value, revision)
    return rollout_events.RolloutStatusRead(SERVICE, revision)
