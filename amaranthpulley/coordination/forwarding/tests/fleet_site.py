"""Several daemons under virtual time that share leaves with demands."""

import heapq
import itertools
from typing import Final, NamedTuple

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import delegations, gateway, leaves, requests

# What the leaves' rules say, as the users word them.
DRAIN_MS: Final = 3_000
PAUSE_DELAY_MS: Final = 500
PAUSE_REQUESTS: Final = 2
LIMIT_DELAY_MS: Final = 500
LIMIT_WINDOW_MS: Final = 4_000
LIMIT_OVERAGE: Final = 1.5
LIMIT_SLACK: Final = 5
LIMITS: Final = gateway.Limits(drain_ms=DRAIN_MS, retry_slack=40)
DEADLINE_MS: Final = 900


class Arrival(NamedTuple):
    """A request that reached a leaf."""

    at_ms: int
    daemon: int
    # When the daemon got it from the client.
    asked_ms: int


class Pause(NamedTuple):
    """A pause that a leaf has asked of a daemon."""

    daemon: int
    begin_ms: int
    end_ms: int


class FleetLeaf:
    """A leaf, what it asks for, and what it got."""

    def __init__(self, entry: leaves.LeafEntry) -> None:
        self.entry = entry
        self.work_ms = 20
        self.limit_per_s: float | None = None
        self.limited_since_ms: int | None = None
        self.leaving = False
        self.pause_ms = 0
        self.arrivals: list[Arrival] = []
        self.pauses: list[Pause] = []
        self.told_leaving_ms: dict[int, int] = {}
        self.told_limit_ms: dict[int, int] = {}
        # Limits that have ended, with their begin and end.
        self.limited: list[tuple[float, int, int]] = []

    def set_limit(self, per_s: float | None, now_ms: int) -> None:
        """Name another limit, or none."""
        if self.limit_per_s is not None and self.limited_since_ms is not None:
            self.limited.append((self.limit_per_s, self.limited_since_ms, now_ms))
        self.limit_per_s, self.limited_since_ms = per_s, now_ms
        self.told_limit_ms.clear()

    def answer(self, daemon: int, now_ms: int) -> requests.LeafAnswer:
        """Return the answer to a request, and remember what it tells the daemon."""
        if self.leaving:
            self.told_leaving_ms.setdefault(daemon, now_ms)
        if self.limit_per_s is not None:
            self.told_limit_ms.setdefault(daemon, now_ms)
        demands = requests.LeafDemands(self.limit_per_s, self.leaving)
        if not self.pause_ms:
            return gateway_site.answer(demands=demands)
        self.pauses.append(Pause(daemon, now_ms, now_ms + self.pause_ms))
        demands = demands._replace(pause_ms=self.pause_ms)
        return gateway_site.REJECTED._replace(demands=demands)


class Fleet:
    """Daemons that send to the same leaves.

    Parameters
    ----------
    count : int
        Number of daemons.
    """

    def __init__(self, count: int) -> None:
        self._services = (*gateway_site.SHARDS, "visits")
        self.leaves = {
            entry.leaf_id: FleetLeaf(entry)
            for service in self._services
            for entry in (
                gateway_site.entry(f"{service}-{n}", service, domain, slots=4)
                for n, domain in enumerate(("a1", "b1"))
            )
        }
        self._asked_ms: dict[tuple[int, int], int] = {}
        self._delivered = [0] * count
        self._answers: list[tuple[int, int, int, gateway_site.Sent, str]] = []
        self._order = itertools.count()
        self._frozen_until_ms = [0] * count
        self.now_ms = 0
        self.sites = [self._start(number, count) for number in range(count)]
        self.now_ms = self.sites[0].now_ms

    def _start(self, number: int, count: int) -> gateway_site.GatewaySite:
        site = gateway_site.GatewaySite(LIMITS, f"vm-{number + 1}")
        if self.now_ms:
            site.advance(self.now_ms - site.now_ms)
        found = gateway_site.configuration(gateway_site.route(), gateway_site.single())
        site.begin(found, *(leaf.entry for leaf in self.leaves.values()))
        for other in range(count):
            member = gateway.Member("a1", f"vm-{other + 1}:1")
            site.feed(events.MemberChanged(f"vm-{other + 1}", member))
        return site

    def restart(self, number: int) -> None:
        """Kill a daemon and start it again: it knows nothing of before."""
        self.sites[number] = self._start(number, len(self.sites))
        self._delivered[number] = 0
        self._answers = [a for a in self._answers if a[2] != number]
        heapq.heapify(self._answers)
        for leaf in self.leaves.values():
            leaf.told_leaving_ms.pop(number, None)
            leaf.told_limit_ms.pop(number, None)
            leaf.pauses = [
                pause
                for pause in leaf.pauses
                if pause.daemon != number or pause.end_ms <= self.now_ms
            ]

    def freeze(self, number: int, for_ms: int) -> None:
        """Stop a daemon's timers and what it would read, for a while."""
        self._frozen_until_ms[number] = self.now_ms + for_ms

    def ask(self, number: int, path: str, delegated: bool = False) -> None:
        """Send a request to a daemon, as a client or as another daemon."""
        site = self.sites[number]
        if self._frozen_until_ms[number] > self.now_ms:
            return
        if delegated:
            site._next_key += 1
            key = site._next_key
            origin = delegations.Origin(1, 0)
            incoming = requests.IncomingRequest(
                key, f"r{key}", gateway_site.HOST, path, (key,), DEADLINE_MS, origin
            )
            self._asked_ms[number, key] = self.now_ms
            site.feed(events.RequestArrived(incoming))
        else:
            self._asked_ms[number, site._next_key + 1] = self.now_ms
            site.request(path, DEADLINE_MS)
        self._deliver(number)

    def feed_all(self, event: events.Event) -> None:
        """Feed an event of the store to every daemon."""
        for site in self.sites:
            site.feed(event)

    def advance(self, by_ms: int) -> None:
        """Advance all daemons in steps of a millisecond."""
        for _ in range(by_ms):
            self.now_ms += 1
            for number, site in enumerate(self.sites):
                if self._frozen_until_ms[number] <= self.now_ms:
                    site.advance(self.now_ms - site.now_ms)
                    self._deliver(number)
            self._answer_due()

    def _deliver(self, number: int) -> None:
        site = self.sites[number]
        while self._delivered[number] < len(site.sent):
            sent = site.sent[self._delivered[number]]
            self._delivered[number] += 1
            leaf = self.leaves[sent.command.leaf_id]
            asked_ms = self._asked_ms[number, sent.command.request_key]
            leaf.arrivals.append(Arrival(self.now_ms, number, asked_ms))
            work_ms = 1 if leaf.pause_ms else leaf.work_ms
            order = next(self._order)
            due = (self.now_ms + work_ms, order, number, sent, leaf.entry.leaf_id)
            heapq.heappush(self._answers, due)

    def _answer_due(self) -> None:
        held = []
        while self._answers and self._answers[0][0] <= self.now_ms:
            due = heapq.heappop(self._answers)
            number, sent, leaf = due[2], due[3], self.leaves[due[4]]
            if self._frozen_until_ms[number] > self.now_ms:
                held.append(due)
                continue
            site = self.sites[number]
            if sent.command.attempt in site.gateway.attempts:
                site.reply(sent, leaf.answer(number, self.now_ms))
                self._deliver(number)
        for due in held:
            heapq.heappush(self._answers, due)

    def broken_rules(self) -> list[str]:
        """Return what broke a rule, in words."""
        found: list[str] = []
        for name, leaf in self.leaves.items():
            found += [f"{name}: {text}" for text in _late_after_leaving(leaf)]
            found += [f"{name}: {text}" for text in _too_many_in_pauses(leaf)]
            found += [f"{name}: {text}" for text in _over_limit(leaf, self.now_ms)]
        return found


def _late_after_leaving(leaf: FleetLeaf) -> list[str]:
    return [
        f"{arrival} after told at {told_ms}"
        for arrival in leaf.arrivals
        if (told_ms := leaf.told_leaving_ms.get(arrival.daemon)) is not None
        and arrival.asked_ms > told_ms + DRAIN_MS
    ]


def _too_many_in_pauses(leaf: FleetLeaf) -> list[str]:
    found = []
    for pause in leaf.pauses:
        begin_ms = pause.begin_ms + PAUSE_DELAY_MS
        count = sum(
            arrival.daemon == pause.daemon and begin_ms < arrival.at_ms < pause.end_ms
            for arrival in leaf.arrivals
        )
        if count > PAUSE_REQUESTS:
            found.append(f"{count} in {pause}")
    return found


def _over_limit(leaf: FleetLeaf, now_ms: int) -> list[str]:
    """Check the current limit from the moment at which it was told."""
    if leaf.limit_per_s is None or leaf.limited_since_ms is None:
        return []
    counted = [
        arrival.at_ms
        for arrival in leaf.arrivals
        if arrival.daemon in leaf.told_limit_ms
        and arrival.at_ms >= leaf.told_limit_ms[arrival.daemon] + LIMIT_DELAY_MS
    ]
    allowed = LIMIT_OVERAGE * LIMIT_WINDOW_MS / 1000 * leaf.limit_per_s + LIMIT_SLACK
    most = max(
        (
            sum(begin_ms <= at_ms < begin_ms + LIMIT_WINDOW_MS for at_ms in counted)
            for begin_ms in counted
        ),
        default=0,
    )
    return [f"{most} for {allowed} allowed"] if most > allowed else []
