"""Random arrival of searches, and random service times of leaves."""

import math
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.state import requests, standin_leaf
from amaranthpulley.transport.bench import search_collector, sites
from amaranthpulley.transport.emulation import virtual_targets

MEAN_SERVICE_MS: Final = 20.0
SERVICE_SIGMA: Final = 0.5
# Requests that a restarted leaf can run at once, and the factor by which it is slower.
COLD_CONCURRENCY: Final = 1
COLD_SLOWDOWN: Final = 3
CUSTOMER: Final = "bench"

Rate = Callable[[int], float]


class Stragglers(NamedTuple):
    """Which leaf calls are slow, and by which factor.

    Attributes
    ----------
    share : float
        Share of all leaf calls, from 0.0 to 1.0.
    factor : float
        Factor by which the service time of such a call is longer.
    slow_leaf : str
        Name of a leaf whose calls are all slower; empty for none.
    slow_leaf_factor : float
        Factor by which the service times of that leaf are longer.
    """

    share: float = 0.0
    factor: float = 20.0
    slow_leaf: str = ""
    slow_leaf_factor: float = 5.0


def constant(per_second: float) -> Rate:
    """Return a constant rate."""
    return lambda now_ms: per_second


def step_up_and_down(base: float, high: float, begin_ms: int, end_ms: int) -> Rate:
    """Return a rate that is `high` between two times and `base` otherwise."""
    return lambda now_ms: high if begin_ms <= now_ms < end_ms else base


def service_time(
    stragglers: Stragglers,
    seed: int,
    observe: Callable[[bool], None],
) -> virtual_targets.ServiceTime:
    """Return a function that draws log-normal service times, with stragglers.

    Parameters
    ----------
    stragglers : Stragglers
        The slow calls.
    seed : int
        Seeds the service times.
    observe : callable
        Called for each run with whether the leaf is cold.
    """
    rng = random.Random(seed)
    location = math.log(MEAN_SERVICE_MS) - SERVICE_SIGMA**2 / 2

    def service_ms(
        leaf: standin_leaf.StandInLeaf, command: commands.SendAttempt
    ) -> int:
        work_ms = rng.lognormvariate(location, SERVICE_SIGMA)
        if rng.random() < stragglers.share:
            work_ms *= stragglers.factor
        if command.target.name == stragglers.slow_leaf:
            work_ms *= stragglers.slow_leaf_factor
        observe(leaf.cold is not None)
        return max(1, round(work_ms))

    return service_ms


class Callers:
    """Callers that send searches through the platform's balancer.

    Parameters
    ----------
    site : Site
        The site to search.
    rate : callable
        Given the virtual time in milliseconds, returns the searches per second.
    seed : int
        Seeds the arrival times and the choice of daemons.
    collector : SearchCollector
        Records each search.
    """

    def __init__(
        self,
        site: sites.Site,
        rate: Rate,
        seed: int,
        collector: search_collector.SearchCollector,
    ) -> None:
        self.balancer_vms = [vm.name for vm in site.vms]
        self._site = site
        self._rate = rate
        self._random = random.Random(seed)
        self._collector = collector
        self._arrival_ms = 0.0
        self._sent = 0

    def start(self, begin_ms: int, end_ms: int) -> None:
        """Send searches between two times, as a Poisson process."""
        self._arrival_ms = float(begin_ms)
        self._schedule_next(end_ms)

    def _schedule_next(self, end_ms: int) -> None:
        per_second = self._rate(int(self._arrival_ms))
        self._arrival_ms += self._random.expovariate(per_second) * 1_000
        if self._arrival_ms >= end_ms:
            return

        def send() -> None:
            self._send()
            self._schedule_next(end_ms)

        self._site.network.at(int(self._arrival_ms), send)

    def _send(self) -> None:
        self._sent += 1
        request_id = f"search-{self._sent}"
        name = self._random.choice(self.balancer_vms)
        self._collector.add_sent(request_id, self._site.network.now_ms)
        request = requests.SearchRequest(
            request_id, CUSTOMER, self._site.shape.service, query=""
        )
        self._site.network.search(name, request)
