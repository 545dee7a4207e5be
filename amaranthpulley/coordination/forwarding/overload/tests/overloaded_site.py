"""A daemon under virtual time whose leaves run requests in slots and queues."""

import collections
import heapq

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import leaves, requests
from amaranthpulley.state.forwarding.client_accounts import accounts

# Requests that a leaf queues beyond its slots before it sheds.
QUEUE = 2


class Leaf:
    """Requests that a leaf runs and queues, and how long each takes."""

    def __init__(self, slots: int, work_ms: int) -> None:
        self.slots, self.work_ms = slots, work_ms
        self.running = 0
        self.queued: collections.deque[gateway_site.Sent] = collections.deque()
        self.longest_queue = 0


class OverloadedSite:
    """A daemon that forwards single requests of two ranks to the same service.

    Parameters
    ----------
    leaves : int
        Number of leaves, with two slots each.
    work_ms : int
        Time of one request.
    table : AccountTable or None
        Client accounts; the digest of an account's key is its name.
    """

    def __init__(
        self, leaves: int, work_ms: int, table: accounts.AccountTable | None = None
    ) -> None:
        self.site = gateway_site.GatewaySite()
        urgent = gateway_site.single(
            name="urgent", prefix="/urgent/", priority=0, objective_ms=300
        )
        usual = gateway_site.single(priority=2, objective_ms=300)
        entries = [gateway_site.entry(f"l{n}", "visits") for n in range(leaves)]
        found = gateway_site.configuration(urgent, usual)._replace(accounts=table)
        self.site.begin(found, *entries)
        self.leaves = {entry.leaf_id: Leaf(entry.slots, work_ms) for entry in entries}
        self.asked_ms: dict[int, int] = {}
        self.answered_ms: dict[int, int] = {}
        self.started: set[int] = set()
        self._ends: list[tuple[int, int, gateway_site.Sent]] = []
        self._delivered = 0

    def ask(self, path: str = "/visit/1", account: str = "") -> int:
        """Send a request at the current time."""
        key = self._request_of(path, account) if account else self.site.request(path)
        self.asked_ms[key] = self.site.now_ms
        self._deliver()
        return key

    def advance(self, by_ms: int) -> None:
        """Advance in steps of a millisecond."""
        for _ in range(by_ms):
            self.site.advance(1)
            while self._ends and self._ends[0][0] <= self.site.now_ms:
                self._finish(heapq.heappop(self._ends)[2])
            self._deliver()

    def served_in_time(self, keys: list[int], objective_ms: int = 300) -> float:
        """Return the share of requests that were answered within the objective."""
        in_time = [
            key
            for key in keys
            if key in self.answered_ms
            and self.answered_ms[key] - self.asked_ms[key] <= objective_ms
        ]
        return len(in_time) / len(keys)

    def refusals(self, keys: list[int]) -> list[commands.Refuse]:
        """Return the refusals among the answers to requests."""
        found = [self.site.answers.get(key) for key in keys]
        return [answer for answer in found if isinstance(answer, commands.Refuse)]

    def _request_of(self, path: str, account: str) -> int:
        self.site._next_key += 1
        key = self.site._next_key
        incoming = requests.IncomingRequest(
            key, f"r{key}", gateway_site.HOST, path, (key,), 800, None, account.encode()
        )
        self.site.feed(events.RequestArrived(incoming))
        return key

    def _deliver(self) -> None:
        while self._delivered < len(self.site.sent):
            sent = self.site.sent[self._delivered]
            self._delivered += 1
            leaf = self.leaves[sent.command.leaf_id]
            if leaf.running < leaf.slots:
                self._start(leaf, sent)
            elif len(leaf.queued) < QUEUE:
                leaf.queued.append(sent)
                leaf.longest_queue = max(leaf.longest_queue, len(leaf.queued))
            else:
                self.site.reply(sent, gateway_site.REJECTED)

    def _start(self, leaf: Leaf, sent: gateway_site.Sent) -> None:
        leaf.running += 1
        self.started.add(sent.command.request_key)
        due_ms = self.site.now_ms + leaf.work_ms
        heapq.heappush(self._ends, (due_ms, sent.command.attempt, sent))

    def _finish(self, sent: gateway_site.Sent) -> None:
        leaf = self.leaves[sent.command.leaf_id]
        leaf.running -= 1
        load = requests.LeafAnswer(
            200,
            (),
            b"",
            b"s",
            False,
            False,
            leaves.Load(leaf.running, len(leaf.queued), leaf.slots),
        )
        if leaf.queued:
            self._start(leaf, leaf.queued.popleft())
        self.site.reply(sent, load)
        key = sent.command.request_key
        if isinstance(self.site.answers.get(key), commands.PassAnswer):
            self.answered_ms.setdefault(key, self.site.now_ms)
