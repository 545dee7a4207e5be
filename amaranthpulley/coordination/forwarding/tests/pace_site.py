"""Several daemons under virtual time whose leaves start cold, fail and recover."""

import collections
import heapq
import itertools
import random
from typing import Final, NamedTuple

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, leaves, requests, routes

# A warm leaf runs 200 requests a second.
SLOTS: Final = 4
WORK_MS: Final = 20
# Requests that a leaf queues beyond its slots before it rejects more.
QUEUE: Final = 8
# A request to a cold leaf takes this multiple of the time; it becomes the usual time as
# the leaf answers requests.
COLD_FACTOR: Final = 6.0
WARM_AFTER: Final = 80
OBJECTIVE_MS: Final = 130
DEADLINE_MS: Final = 800


class Outcome(NamedTuple):
    """What became of the requests of a period, and what a leaf got in it."""

    # Share of the requests that were answered within the objective.
    in_time: float
    # Requests that were not sent on arrival.
    waited: int
    # Rejections by the leaf.
    rejected: int
    # Requests that reached the leaf.
    arrived: int


def _entry(service: str, number: int, cold_ms: int, born_ms: int) -> leaves.LeafEntry:
    leaf_id = f"{service}-{number}"
    return gateway_site.entry(
        leaf_id, service, "a1", slots=SLOTS, cold_ms=cold_ms, born_ms=born_ms
    )


class PacedLeaf:
    """A leaf with slots and a queue."""

    def __init__(self, entry: leaves.LeafEntry, served: int) -> None:
        self.entry = entry
        # Requests that it has answered since its start.
        self.served = served
        self.machine = 1.0
        # It answers no requests, but may answer health checks.
        self.is_mute = False
        self.fails = False
        self.is_healthy = True
        self.running: dict[int, tuple[int, gateway_site.Sent]] = {}
        self.queued: collections.deque[tuple[int, gateway_site.Sent]] = (
            collections.deque()
        )
        self.arrivals: list[int] = []
        self.rejections: list[int] = []

    def work_ms(self, jitter: float) -> int:
        """Return how long a request takes that begins now."""
        coldness = max(0.0, 1.0 - self.served / WARM_AFTER)
        factor = 1.0 + (COLD_FACTOR - 1.0) * coldness
        return max(1, int(WORK_MS * factor * self.machine * (0.6 + 0.8 * jitter)))


class PaceSite:
    """Daemons that forward requests to the leaves of one service or of several shards.

    Parameters
    ----------
    daemons : int
        Number of daemons.
    has_pace : bool
        Whether leaves that start or recover get a pace.
    warm : int
        Number of leaves of each service that are warm at the start.
    cold_per_s : float
        Stated rate of a cold leaf.
    seed : int
        Decides the arrivals and the times of the work.
    services : tuple of str
        Services of which each request needs all.
    """

    def __init__(
        self,
        daemons: int,
        has_pace: bool,
        warm: int,
        cold_per_s: float = 400.0,
        seed: int = 1,
        services: tuple[str, ...] = ("visits",),
    ) -> None:
        self._path = "/visit/1" if services == ("visits",) else "/wide/1"
        self.leaves: dict[str, PacedLeaf] = {}
        self._random = random.Random(seed)
        self._order = itertools.count()
        self._ends: list[tuple[int, int, PacedLeaf, int]] = []
        self._delivered = [0] * daemons
        self._probed = [0] * daemons
        self._asked: list[tuple[int, int, int]] = []
        self._answered: dict[tuple[int, int], int] = {}
        self._sent: dict[tuple[int, int], int] = {}
        self._next_ms = 0.0
        limits = gateway.Limits(pace=has_pace)
        wide = gateway_site.route(shards=services, minimum_coverage=1.0)
        found = gateway_site.configuration(gateway_site.single(), wide)
        stated = routes.ServiceLimits("/health", 400, cold_per_s)
        found = found._replace(services=dict.fromkeys(services, stated))
        self.sites = []
        entries = [_entry(one, n, 0, 0) for one in services for n in range(warm)]
        for entry in entries:
            self.leaves[entry.leaf_id] = PacedLeaf(entry, WARM_AFTER)
        for number in range(daemons):
            site = gateway_site.GatewaySite(limits, f"vm-{number}")
            site.begin(found, *entries)
            for other in range(daemons):
                member = gateway.Member("a1", f"vm-{other}:1")
                site.feed(events.MemberChanged(f"vm-{other}", member))
            self.sites.append(site)
        self.now_ms = self.sites[0].now_ms

    def start(self, service: str, number: int, cold_ms: int) -> PacedLeaf:
        """Start a cold leaf, or start one again."""
        entry = _entry(service, number, cold_ms, self.now_ms)
        leaf = self.leaves[entry.leaf_id] = PacedLeaf(entry, 0)
        for site in self.sites:
            site.feed(events.LeafWritten(entry))
        return leaf

    def stop(self, leaf_id: str) -> None:
        """Lose a leaf and the connections to it."""
        leaf = self.leaves[leaf_id]
        leaf.is_mute, leaf.is_healthy = True, False
        lost = [*leaf.running.values(), *leaf.queued]
        leaf.running.clear()
        leaf.queued.clear()
        for number, sent in lost:
            if sent.command.attempt in self.sites[number].gateway.attempts:
                self.sites[number].fail(sent, requests.AttemptEnd.LOST)

    def advance(self, by_ms: int, per_s: float) -> None:
        """Advance in steps of a millisecond while requests arrive."""
        self._next_ms = max(self._next_ms, float(self.now_ms))
        for _ in range(by_ms):
            self.now_ms += 1
            for number, site in enumerate(self.sites):
                site.advance(1)
                self._deliver(number)
            while self._ends and self._ends[0][0] <= self.now_ms:
                _, _, leaf, attempt = heapq.heappop(self._ends)
                self._finish(leaf, attempt)
            while per_s and self._next_ms <= self.now_ms:
                self._next_ms += self._random.expovariate(per_s) * 1000
                self._ask(self._random.randrange(len(self.sites)))

    def outcome(self, begin_ms: int, leaf_id: str) -> Outcome:
        """Return what became of the requests since a time, and what a leaf got."""
        asked = [one for one in self._asked if begin_ms <= one[0]]
        leaf = self.leaves[leaf_id]
        in_time = sum(
            self._answered.get((number, key), self.now_ms + DEADLINE_MS) - at_ms
            <= OBJECTIVE_MS
            for at_ms, number, key in asked
        )
        waited = sum(
            self._sent.get((number, key), -1) != at_ms for at_ms, number, key in asked
        )
        return Outcome(
            round(in_time / len(asked), 3),
            waited,
            sum(at_ms >= begin_ms for at_ms in leaf.rejections),
            sum(at_ms >= begin_ms for at_ms in leaf.arrivals),
        )

    def _ask(self, number: int) -> None:
        key = self.sites[number].request(self._path, DEADLINE_MS)
        self._asked.append((self.now_ms, number, key))
        self._deliver(number)

    def _deliver(self, number: int) -> None:
        site = self.sites[number]
        while self._delivered[number] < len(site.sent):
            sent = site.sent[self._delivered[number]]
            self._delivered[number] += 1
            self._sent.setdefault((number, sent.command.request_key), self.now_ms)
            self._receive(self.leaves[sent.command.leaf_id], number, sent)
        for command in site.others[self._probed[number] :]:
            if isinstance(command, commands.ProbeLeaf):
                healthy = self.leaves[command.leaf_id].is_healthy
                site.feed(events.ProbeEnded(command.leaf_id, healthy))
            elif isinstance(command, commands.ReportSlowness):
                for address in command.addresses:
                    other = self.sites[int(address[3:].partition(":")[0])]
                    other.feed(
                        events.SlownessReported(command.leaf_id, command.slowness)
                    )
        self._probed[number] = len(site.others)
        for key, answer in list(site.answers.items()):
            is_failure = isinstance(answer, commands.Refuse) or (
                isinstance(answer, commands.PassAnswer) and answer.answer.status != 200
            )
            if not is_failure:
                self._answered.setdefault((number, key), self.now_ms)
        site.answers.clear()

    def _receive(self, leaf: PacedLeaf, number: int, sent: gateway_site.Sent) -> None:
        leaf.arrivals.append(self.now_ms)
        if leaf.is_mute:
            return
        if leaf.fails:
            self.sites[number].reply(sent, gateway_site.answer(500))
        elif len(leaf.running) < SLOTS:
            self._start(leaf, number, sent)
        elif len(leaf.queued) < QUEUE:
            leaf.queued.append((number, sent))
        else:
            leaf.rejections.append(self.now_ms)
            self.sites[number].reply(sent, gateway_site.REJECTED)

    def _start(self, leaf: PacedLeaf, number: int, sent: gateway_site.Sent) -> None:
        order = next(self._order)
        leaf.running[order] = (number, sent)
        due_ms = self.now_ms + leaf.work_ms(self._random.random())
        heapq.heappush(self._ends, (due_ms, order, leaf, order))

    def _finish(self, leaf: PacedLeaf, order: int) -> None:
        found = leaf.running.pop(order, None)
        if found is None or leaf.is_mute:
            return
        number, sent = found
        leaf.served += 1
        load = leaves.Load(len(leaf.running), len(leaf.queued), SLOTS, leaf.machine)
        while leaf.queued and len(leaf.running) < SLOTS:
            self._start(leaf, *leaf.queued.popleft())
        if sent.command.attempt in self.sites[number].gateway.attempts:
            self.sites[number].reply(sent, gateway_site.answer(load=load))
            self._deliver(number)
