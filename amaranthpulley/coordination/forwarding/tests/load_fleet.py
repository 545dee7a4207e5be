"""The daemons of one region under virtual time, with leaves that become slow."""

import heapq
import itertools
import random
from typing import Final, NamedTuple

from amaranthpulley.coordination.forwarding import (
    commands,
    events,
    leaf_selection,
)
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, leaves

WORK_MS: Final = 20
SLOTS: Final = 4
LATENCY_MS: Final = 1
OBJECTIVE_MS: Final = 170
SERVICE: Final = "visits"


class Slowness(NamedTuple):
    """How slow a leaf is: its machine, which it reports, and itself."""

    machine: float = 1.0
    own: float = 1.0


class FleetLeaf:
    """Requests that a leaf runs and queues, and how slow it is."""

    def __init__(self) -> None:
        self.slowness = Slowness()
        self.running = 0
        self.queued: list[tuple[int, gateway_site.Sent]] = []


class LoadFleet:
    """Daemons that send requests to the same leaves and datagrams to each other.

    Parameters
    ----------
    count : int
        Number of daemons of the region.
    per_s : float
        Requests a second at each daemon.
    reports_machines : bool
        Whether the leaves report the slowness of their machines.
    seed : int
        Decides all chance.
    """

    def __init__(
        self, count: int, per_s: float, reports_machines: bool = True, seed: int = 1
    ) -> None:
        self._random = random.Random(seed)
        self._per_s, self._reports_machines = per_s, reports_machines
        self.leaves = {f"leaf-{n}-0123456789": FleetLeaf() for n in range(3)}
        self.sites = [self._start(number, count) for number in range(count)]
        self.now_ms = self.sites[0].now_ms
        # From each request to its answer.
        self.answer_times_ms: list[int] = []
        self._asked_ms: dict[tuple[int, int], int] = {}
        self._due_ms = [self.now_ms + self._gap_ms() for _ in self.sites]
        self._delivered = [(0, 0)] * count
        self._agenda: list[tuple[int, int, int, object]] = []
        self._order = itertools.count()

    def _start(self, number: int, count: int) -> gateway_site.GatewaySite:
        site = gateway_site.GatewaySite(name=f"vm-{number}")
        found = gateway_site.configuration(
            gateway_site.single(objective_ms=OBJECTIVE_MS)
        )
        entries = [
            gateway_site.entry(leaf_id, SERVICE, slots=SLOTS) for leaf_id in self.leaves
        ]
        site.begin(found, *entries)
        for other in range(count):
            member = gateway.Member("a1", f"{other}:1")
            site.feed(events.MemberChanged(f"vm-{other}", member))
        return site

    def advance(self, by_ms: int) -> None:
        """Advance all daemons in steps of a millisecond."""
        for _ in range(by_ms):
            self.now_ms += 1
            while self._agenda and self._agenda[0][0] <= self.now_ms:
                _, _, number, what = heapq.heappop(self._agenda)
                self._run(number, what)
            for number, site in enumerate(self.sites):
                site.advance(1)
                while self._due_ms[number] <= self.now_ms:
                    self._due_ms[number] += self._gap_ms()
                    key = site.request("/visit/1")
                    self._asked_ms[number, key] = self.now_ms
                self._deliver(number)

    def avoiding_share(self, leaf_id: str) -> float:
        """Return the share of daemons that would send a request to another leaf."""
        avoiding = 0
        for site in self.sites:
            route = gateway_site.single(objective_ms=OBJECTIVE_MS)
            expected = {
                leaf.entry.leaf_id: leaf_selection.expected_answer_ms(
                    site.gateway, leaf, route, self.now_ms
                )
                for leaf in site.gateway.directory.of_service(SERVICE)
            }
            slow_ms = expected.pop(leaf_id)
            # Leaves that differ by less are selected at random.
            avoiding += slow_ms > min(expected.values()) + 1.0
        return avoiding / len(self.sites)

    def _gap_ms(self) -> float:
        return self._random.expovariate(self._per_s / 1000)

    def _deliver(self, number: int) -> None:
        site = self.sites[number]
        sends, others = self._delivered[number]
        for sent in site.sent[sends:]:
            self._plan(LATENCY_MS, number, sent)
        for command in site.others[others:]:
            if isinstance(command, commands.ReportSlowness):
                event = events.SlownessReported(command.leaf_id, command.slowness)
                for address in command.addresses:
                    self._plan(LATENCY_MS, int(address.split(":")[0]), event)
        self._delivered[number] = (len(site.sent), len(site.others))

    def _plan(self, after_ms: float, number: int, what: object) -> None:
        due_ms = self.now_ms + max(1, round(after_ms))
        heapq.heappush(self._agenda, (due_ms, next(self._order), number, what))

    def _run(self, number: int, what: object) -> None:
        if isinstance(what, gateway_site.Sent):
            leaf = self.leaves[what.command.leaf_id]
            leaf.queued.append((number, what))
            self._start_next(leaf)
            return
        if isinstance(what, events.AttemptAnswered):
            attempt = self.sites[number].gateway.attempts.get(what.attempt)
            if attempt is not None:
                asked_ms = self._asked_ms[number, attempt.request_key]
                self.answer_times_ms.append(self.now_ms - asked_ms)
        if isinstance(what, tuple) and isinstance(what[0], FleetLeaf):
            leaf, attempt = what
            leaf.running -= 1
            self._start_next(leaf)
            slowness = leaf.slowness.machine if self._reports_machines else None
            load = leaves.Load(leaf.running, len(leaf.queued), SLOTS, slowness)
            answer = gateway_site.answer(load=load)
            self._plan(LATENCY_MS, number, events.AttemptAnswered(attempt, answer))
            return
        self.sites[number].feed(what)
        self._deliver(number)

    def _start_next(self, leaf: FleetLeaf) -> None:
        while leaf.running < SLOTS and leaf.queued:
            number, sent = leaf.queued.pop(0)
            leaf.running += 1
            slow = leaf.slowness.machine * leaf.slowness.own
            work_ms = WORK_MS * slow * self._random.uniform(0.8, 1.25)
            self._plan(work_ms, number, (leaf, sent.command.attempt))
