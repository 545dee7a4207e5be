"""Network delays between daemons and leaves, including connection setup."""

from __future__ import annotations

import collections
import typing

if typing.TYPE_CHECKING:
    from amaranthpulley.transport.bench import sites
    from amaranthpulley.transport.emulation import virtual_network

# A connection whose request gets no reply becomes free again after this time.
REPLY_TIMEOUT_MS = 2_000

Pair = tuple[str, str]


class Links:
    """Simulates the links of a site and the daemons' connections to leaves.

    Parameters
    ----------
    shape : Shape
        Defines the delays.
    domains : dict
        Failure domain by address; the near delay applies to any other address.
    network : VirtualNetwork
        Source of the time and of random numbers.

    Attributes
    ----------
    isolated_domains : set of str
        Failure domains cut off from the network.
    """

    def __init__(
        self,
        shape: sites.Shape,
        domains: dict[str, str],
        network: virtual_network.VirtualNetwork,
    ) -> None:
        self.isolated_domains: set[str] = set()
        self._shape = shape
        self._domains = domains
        self._network = network
        self._in_use_since_ms: dict[Pair, collections.deque[int]] = {}
        self._open_counts: collections.Counter[Pair] = collections.Counter()

    @property
    def most_connections(self) -> int:
        """The largest number of connections that any leaf has had from all daemons."""
        by_leaf: collections.Counter[str] = collections.Counter()
        for (_, leaf), count in self._open_counts.items():
            by_leaf[leaf] += count
        return max(by_leaf.values(), default=0)

    def delay(self, sender: str, receiver: str) -> int | None:
        """Return the one-way delay of a message in milliseconds, or None if lost."""
        domains = self._domains.get(sender), self._domains.get(receiver)
        if self.isolated_domains.intersection(domains):
            return None
        delay_ms = self._round_randomly(self._distance_ms(sender, receiver))
        if receiver.startswith(self._shape.service):
            return delay_ms + self._acquire_connection((sender, receiver))
        if sender.startswith(self._shape.service):
            self._release_connection((receiver, sender))
        return delay_ms

    def _distance_ms(self, sender: str, receiver: str) -> float:
        near = self._domains.get(sender) == self._domains.get(receiver)
        known = sender in self._domains and receiver in self._domains
        return self._shape.near_ms if near or not known else self._shape.far_ms

    def _round_randomly(self, delay_ms: float) -> int:
        # The virtual clock counts whole milliseconds; rounding at random, weighted by
        # the fraction, keeps the mean delay.
        whole = int(delay_ms)
        return whole + (self._network.random.random() < delay_ms - whole)

    def _acquire_connection(self, pair: Pair) -> int:
        in_use_since_ms = self._in_use_since_ms.setdefault(pair, collections.deque())
        now_ms = self._network.now_ms
        while in_use_since_ms and in_use_since_ms[0] + REPLY_TIMEOUT_MS < now_ms:
            in_use_since_ms.popleft()
        in_use_since_ms.append(now_ms)
        if len(in_use_since_ms) <= self._open_counts[pair]:
            return 0
        self._open_counts[pair] = len(in_use_since_ms)
        return self._shape.connect_ms

    def _release_connection(self, pair: Pair) -> None:
        in_use_since_ms = self._in_use_since_ms.get(pair)
        if in_use_since_ms:
            in_use_since_ms.popleft()
