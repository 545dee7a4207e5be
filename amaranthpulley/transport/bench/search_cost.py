"""Experiment: processor time of a search over the real transport.

The stand-in leaves run in separate processes, which ``make bench`` starts. Their
addresses are read from files, one for each number of leaves.
"""

import gc
import os
import pathlib
import time
from typing import Final, NamedTuple

import eventlet

from amaranthpulley.coordination import events
from amaranthpulley.protocol import settings as settings_protocol
from amaranthpulley.state import requests
from amaranthpulley.state.control import topology
from amaranthpulley.transport import daemon_process, errors, system_clock
from amaranthpulley.transport.bench import histogram, linear_fit, sampling_profiler
from amaranthpulley.transport.emulation import standin_server, standin_tickets

LEAVES_FILE: Final = "leaves-{}.txt"
SIZES: Final = (3, 30, 81, 243)
LEAF_CALLS: Final = 24_000
QUICK_LEAF_CALLS: Final = 600
WARM_UP_SEARCHES: Final = 20
READY_SECONDS: Final = 10.0
POLL_SECONDS: Final = 0.05
TOP_COSTS: Final = 12
DEADLINE_MS: Final = 2_000


class SearchCostRow(NamedTuple):
    """Processor time of the daemon for one search, and its latency."""

    leaves: int
    searches: int
    whole: int
    cpu_ms_per_search: float
    cpu_us_per_leaf_call: float
    p50_ms: float
    p99_ms: float


class CostSlopeRow(NamedTuple):
    """The line fitted to the processor times by number of leaves asked."""

    cpu_ms_per_search: float
    cpu_us_per_leaf_call: float
    slope_error_us: float
    largest_residual: float


class OwnCostRow(NamedTuple):
    """Share of the processor time spent in a module's own code."""

    leaves: int
    module: str
    own_share: float


class FunctionCostRow(NamedTuple):
    """Share of the processor time spent in a function and its callees."""

    leaves: int
    function: str
    share: float


def run(folder: str, seed: int, quick: bool = False) -> list[tuple]:
    """Return the costs for each number of leaves, their slope and the profile.

    Parameters
    ----------
    folder : str
        Folder of the files with the leaves' addresses.
    seed : int
        Unused, because the experiment makes no random choices.
    quick : bool
        Whether to run fewer searches.
    """
    leaf_calls = QUICK_LEAF_CALLS if quick else LEAF_CALLS
    addresses = {size: _addresses(folder, size) for size in SIZES}
    daemon = _Daemon(addresses)
    try:
        daemon.wait_until_ready()
        rows = [_measure(daemon, size, leaf_calls // size) for size in SIZES]
        slope = linear_fit.fit([(r.leaves, r.cpu_ms_per_search) for r in rows])
        profile = _profile(daemon, 81, leaf_calls // 81)
    finally:
        daemon.close()
    fitted = CostSlopeRow(
        slope.intercept,
        slope.slope * 1_000,
        slope.slope_error * 1_000,
        slope.largest_residual,
    )
    return [*rows, fitted, *profile]


class _Daemon:
    """Runs a daemon in this process, with one service for each number of leaves."""

    def __init__(self, addresses: dict[int, list[str]]) -> None:
        self._platform = standin_server.PlatformServer(
            "127.0.0.1:0", system_clock.system_clock()
        )
        ticket = _ticket(addresses)
        standin_tickets.put(self._platform.store, ticket)
        self._process = daemon_process.DaemonProcess(_settings(self._platform.address))
        self._searches = 0

    def wait_until_ready(self) -> None:
        """Wait until the daemon has the configuration."""
        with eventlet.Timeout(READY_SECONDS):
            while not self._process.runtime.daemon.configuration.highest_number:
                eventlet.sleep(POLL_SECONDS)

    def search(self, size: int) -> requests.Outcome:
        """Search over a number of leaves, bypassing the HTTP interface for callers."""
        self._searches += 1
        request = requests.SearchRequest(
            f"search-{self._searches}", "bench", _service(size), query="item-0001"
        )
        return self._process.runtime.execute(events.SearchReceived(request))

    def close(self) -> None:
        """Stop the daemon and the stand-in platform."""
        self._process.close()
        self._platform.stop()


def _measure(daemon: _Daemon, size: int, searches: int) -> SearchCostRow:
    for _ in range(WARM_UP_SEARCHES):
        daemon.search(size)
    gc.collect()
    latency_ms = histogram.Histogram()
    whole = 0
    started = time.process_time()
    for _ in range(searches):
        sent = time.monotonic()
        outcome = daemon.search(size)
        latency_ms.add((time.monotonic() - sent) * 1_000)
        is_answer = isinstance(outcome, requests.SearchAnswer)
        whole += is_answer and outcome.coverage == 1.0
    cpu_ms = (time.process_time() - started) * 1_000 / searches
    return SearchCostRow(
        size,
        searches,
        whole,
        cpu_ms,
        cpu_ms * 1_000 / size,
        latency_ms.quantile(0.5),
        latency_ms.quantile(0.99),
    )


def _profile(daemon: _Daemon, size: int, searches: int) -> list[tuple]:
    with sampling_profiler.profiling() as profile:
        for _ in range(searches):
            daemon.search(size)
    self_samples = [
        OwnCostRow(size, module, count / profile.samples)
        for module, count in profile.self_samples.most_common(TOP_COSTS)
    ]
    cumulative_samples = [
        FunctionCostRow(size, function, count / profile.samples)
        for function, count in profile.cumulative_samples.most_common()
        if _is_informative(function)
    ]
    return [*self_samples, *cumulative_samples[: 2 * TOP_COSTS]]


def _is_informative(function: str) -> bool:
    # The event loop and the tool itself are on the stack of every sample.
    outer = ("eventlet.hubs", "amaranthpulley.transport.bench", "__main__", "runpy")
    return not function.startswith((*outer, "amaranthpulley.cli", "amaranthpulley.__"))


def _addresses(folder: str, size: int) -> list[str]:
    path = pathlib.Path(folder, LEAVES_FILE.format(size))
    try:
        addresses = path.read_text().split()
    except OSError as error:
        raise errors.NoLeavesError(
            f"cannot read the addresses of {size} leaves from {path}: "
            f"{error.strerror}; `make bench` starts them"
        ) from error
    if len(addresses) != size:
        raise errors.NoLeavesError(
            f"{path} has {len(addresses)} addresses in place of {size}"
        )
    return addresses


def _service(size: int) -> str:
    return f"leaves-{size}"


def _ticket(addresses: dict[int, list[str]]) -> topology.ChangeTicket:
    services = tuple(
        topology.Service(
            _service(size),
            topology.ServiceKind.SEARCH,
            deadline_ms=DEADLINE_MS,
            hard_deadline_ms=DEADLINE_MS,
            hedge_budget=0.0,
        )
        for size in addresses
    )
    targets = tuple(
        topology.Target(
            f"{_service(size)}-{shard}",
            _service(size),
            0,
            f"shard-{shard}",
            "Recife",
            address,
        )
        for size, known in addresses.items()
        for shard, address in enumerate(known)
    )
    domains = (topology.FailureDomain("Recife", "Recife"),)
    return topology.ChangeTicket(1, services, domains, targets)


def _settings(platform_address: str) -> settings_protocol.Settings:
    return settings_protocol.Settings(
        vm_name="vm-1",
        failure_domain="Recife",
        region="Recife",
        listen={
            "ip": "127.0.0.1",
            "caller_port": 0,
            "admin_port": 0,
            "peer_port": 0,
        },
        platform={
            "store_address": platform_address,
            "vm_list_address": platform_address,
        },
        log_file=os.devnull,
    )
