"""Gathered requests to overloaded shards under virtual time."""

import collections
import heapq
import random
from typing import Final, NamedTuple

from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import routes

WORK_MS: Final = 40
LEAVES: Final = 2
SLOTS: Final = 2
# Requests a second that the leaves can run.
CAPACITY_PER_S: Final = 1000 * LEAVES * SLOTS / WORK_MS
USUAL_SHARE: Final = 0.55
OBJECTIVE_MS: Final = 180
DEADLINE_MS: Final = 1_500
# Requests that a leaf queues beyond its slots before it sheds.
QUEUE: Final = 4
# Clients return if they are told a time of up to this share of what they have left.
HONOURED_SHARE: Final = 1 / 3


class Client(NamedTuple):
    """A client's request, which it repeats after a refusal as not run."""

    number: int
    asked_ms: int


class Leaf:
    """Requests that a leaf runs and queues."""

    def __init__(self) -> None:
        self.running = 0
        self.queued: collections.deque[gateway_site.Sent] = collections.deque()


class GatheredSite:
    """A daemon, the leaves of its shards, and clients that honour refusals.

    Parameters
    ----------
    shards : int
        Number of shards.
    seed : int
        Decides all chance.
    """

    def __init__(self, shards: int, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self.site = gateway_site.GatewaySite()
        names = tuple(f"shard-{n}" for n in range(shards))
        route = gateway_site.route(
            shards=names,
            minimum_coverage=0.9,
            objective_ms=OBJECTIVE_MS,
            timeout_ms=DEADLINE_MS,
        )
        found = gateway_site.configuration(route)
        limits = dict.fromkeys(names, routes.ServiceLimits("/health", 40, 0.0))
        entries = [
            gateway_site.entry(f"{name}-{n}", name, slots=SLOTS)
            for name in names
            for n in range(LEAVES)
        ]
        self.site.begin(found._replace(services=limits), *entries)
        self.leaves = {entry.leaf_id: Leaf() for entry in entries}
        self.clients: list[Client] = []
        # When each client got an answer, by its number.
        self.answered_ms: dict[int, int] = {}
        self.refusals: list[commands.Refuse] = []
        self.ran_calls = 0
        self._client_of: dict[int, Client] = {}
        self._open: set[int] = set()
        self._ends: list[tuple[float, int, gateway_site.Sent]] = []
        self._returns: list[tuple[int, int, Client]] = []
        self._delivered = 0
        self._next_ms = float(self.site.now_ms)

    def play(self, load: float, for_ms: int) -> list[Client]:
        """Let clients ask at a multiple of the usual rate; return them."""
        first = len(self.clients)
        per_ms = load * USUAL_SHARE * CAPACITY_PER_S / 1000
        end_ms = self.site.now_ms + for_ms
        self._next_ms = max(self._next_ms, self.site.now_ms)
        while self.site.now_ms < end_ms:
            while load and self._next_ms <= self.site.now_ms:
                self._next_ms += self._random.expovariate(per_ms)
                client = Client(len(self.clients), self.site.now_ms)
                self.clients.append(client)
                self._ask(client)
            self._step()
        return self.clients[first:]

    def shares(self, clients: list[Client]) -> tuple[float, float]:
        """Return the shares that were answered, and within the objective."""
        found = [c for c in clients if c.number in self.answered_ms]
        timely = [
            c for c in found if self.answered_ms[c.number] - c.asked_ms <= OBJECTIVE_MS
        ]
        return len(found) / len(clients), len(timely) / len(clients)

    def _ask(self, client: Client) -> None:
        left_ms = client.asked_ms + DEADLINE_MS - self.site.now_ms
        key = self.site.request("/wide/1", left_ms)
        self._client_of[key] = client
        self._open.add(key)
        self._deliver()

    def _step(self) -> None:
        self.site.advance(1)
        while self._ends and self._ends[0][0] <= self.site.now_ms:
            self._finish(heapq.heappop(self._ends)[2])
        while self._returns and self._returns[0][0] <= self.site.now_ms:
            self._ask(heapq.heappop(self._returns)[2])
        self._deliver()
        for key in [key for key in self._open if key in self.site.answers]:
            self._open.discard(key)
            self._end(self._client_of[key], self.site.answers[key])

    def _end(self, client: Client, answer: object) -> None:
        if isinstance(answer, commands.SendMerged):
            self.answered_ms[client.number] = self.site.now_ms
        elif isinstance(answer, commands.Refuse):
            self.refusals.append(answer)
            left_ms = client.asked_ms + DEADLINE_MS - self.site.now_ms
            if answer.not_run and answer.retry_after_ms <= HONOURED_SHARE * left_ms:
                at_ms = self.site.now_ms + answer.retry_after_ms
                heapq.heappush(self._returns, (at_ms, client.number, client))

    def _deliver(self) -> None:
        while self._delivered < len(self.site.sent):
            sent = self.site.sent[self._delivered]
            self._delivered += 1
            leaf = self.leaves[sent.command.leaf_id]
            if leaf.running < SLOTS:
                self._start(leaf, sent)
            elif len(leaf.queued) < QUEUE:
                leaf.queued.append(sent)
            else:
                self.site.reply(sent, gateway_site.REJECTED)

    def _start(self, leaf: Leaf, sent: gateway_site.Sent) -> None:
        leaf.running += 1
        self.ran_calls += 1
        work_ms = WORK_MS * self._random.uniform(0.7, 1.3)
        due_ms = self.site.now_ms + work_ms
        heapq.heappush(self._ends, (due_ms, sent.command.attempt, sent))

    def _finish(self, sent: gateway_site.Sent) -> None:
        leaf = self.leaves[sent.command.leaf_id]
        leaf.running -= 1
        if leaf.queued:
            self._start(leaf, leaf.queued.popleft())
        self.site.reply(sent, gateway_site.answer())
