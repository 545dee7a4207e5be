"""The demo: a site of Forno Limpo's size, run in one process on one loop."""

import json
import time
from collections.abc import Callable
from typing import Final

import eventlet
import urllib3

from amaranthpulley.protocol import settings as settings_protocol
from amaranthpulley.state import requests, standin_leaf
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport import daemon_process, system_clock
from amaranthpulley.transport.emulation import standin_server, standin_tickets

DOMAINS: Final = ("Recife", "Fortaleza", "Salvador")
INSTANCES: Final = 10
SHARDS: Final = 3
LEAF_DELAY_MS: Final = 5
STRAGGLER_DELAY_MS: Final = 300
WARM_UP_SEARCHES: Final = 30
INDEX_VERSION: Final = 7
TIME_SLOTS: Final = [f"{city}-{hour:02d}:00" for city in DOMAINS for hour in range(24)]
ANY_PORT: Final = "127.0.0.1:0"
MAXIMUM_TRIES: Final = 100
OVERLOADED: Final = requests.RefusalCode.OVERLOADED.value
OVERLOADED_RETRY_DELAY_S: Final = 0.1

Print = Callable[[str], None]


class Site:
    """A stand-in platform, stand-in targets and one daemon."""

    def __init__(self) -> None:
        clock = system_clock.system_clock()
        self.platform = standin_server.PlatformServer(ANY_PORT, clock)
        self.leaves: dict[str, standin_server.LeafServer] = {}
        targets = [self._start_leaf(*replica) for replica in _dispatch_replicas()]
        targets.append(self._start_booking_target())
        self._configure(tuple(targets))
        self.daemon = daemon_process.DaemonProcess(self._settings())
        self._http = urllib3.PoolManager()

    def post(self, path: str, body: dict) -> tuple[dict, float]:
        """Send a request to the daemon; return its answer and the latency in ms."""
        url = f"http://{self.daemon.caller_address}{path}"
        for _ in range(MAXIMUM_TRIES):
            start_s = time.monotonic()
            response = self._http.request("POST", url, json=body, retries=False)
            answer = json.loads(response.data)
            if answer.get("code") != OVERLOADED:
                break
            # On a busy machine the daemon may refuse requests; these have not run, so
            # they can be sent again.
            eventlet.sleep(OVERLOADED_RETRY_DELAY_S)
        return answer, (time.monotonic() - start_s) * 1000

    def wait_until_ready(self) -> None:
        """Wait until the daemon has read its configuration."""
        for _ in range(MAXIMUM_TRIES):
            if self.daemon.runtime.daemon.configuration.highest_number:
                return
            eventlet.sleep(0.05)

    def close(self) -> None:
        """Stop the daemon, the platform and the targets."""
        self.daemon.close()
        self.platform.stop()
        for leaf in self.leaves.values():
            leaf.stop()

    def _start_leaf(self, instance: int, shard: int) -> topology.Target:
        name = f"dispatch-{instance}-{shard}"
        leaf = standin_leaf.StandInLeaf(boot_id=f"{name}-1", slots=2)
        part = (keyspace.split_evenly(SHARDS)[shard],)
        leaf.hold(INDEX_VERSION, part, TIME_SLOTS)
        leaf.faults = standin_leaf.LeafFaults(delay_ms=LEAF_DELAY_MS)
        server = standin_server.LeafServer(ANY_PORT, leaf)
        self.leaves[name] = server
        domain = DOMAINS[instance % len(DOMAINS)]
        return topology.Target(
            name, "dispatch", instance, f"shard-{shard}", domain, server.address
        )

    def _start_booking_target(self) -> topology.Target:
        leaf = standin_leaf.StandInLeaf(boot_id="booking-1", slots=2)
        server = standin_server.LeafServer(ANY_PORT, leaf)
        self.leaves["booking-0"] = server
        return topology.Target(
            "booking-0", "booking", 0, "all", DOMAINS[0], server.address
        )

    def _configure(self, targets: tuple[topology.Target, ...]) -> None:
        kinds = topology.ServiceKind
        ticket = topology.ChangeTicket(
            number=1,
            services=(
                topology.Service("dispatch", kinds.SEARCH, deadline_ms=400),
                topology.Service("booking", kinds.ORDER, deadline_ms=1_000),
            ),
            failure_domains=tuple(
                topology.FailureDomain(name, region=name) for name in DOMAINS
            ),
            targets=targets,
        )
        standin_tickets.put(self.platform.store, ticket)

    def _settings(self) -> settings_protocol.Settings:
        address = self.platform.address
        return settings_protocol.Settings(
            vm_name="vm-1",
            failure_domain=DOMAINS[0],
            region=DOMAINS[0],
            listen={
                "ip": "127.0.0.1",
                "caller_port": 0,
                "admin_port": 0,
                "peer_port": 0,
            },
            platform={"store_address": address, "vm_list_address": address},
        )


def run(show: Print) -> int:
    """Run the demo and return the exit code.

    Parameters
    ----------
    show : callable
        Prints a line of the output.
    """
    show(f"Starting {INSTANCES} instances of {SHARDS} leaves in {', '.join(DOMAINS)}.")
    site = Site()
    try:
        site.wait_until_ready()
        _show_searches(site, show)
        _show_bookings(site, show)
    finally:
        site.close()
    return 0


def _show_searches(site: Site, show: Print) -> None:
    search = {"customer": "forno-limpo", "service": "dispatch", "query": "09:00"}
    for number in range(1, 4):
        _show_search(site, show, f"search {number}", search)
    # These searches let the daemon measure the usual latency of the leaves.
    for _ in range(WARM_UP_SEARCHES):
        site.post("/v1/search", search)
    straggler_faults = standin_leaf.LeafFaults(delay_ms=STRAGGLER_DELAY_MS)
    _set_faults(site, 1, INSTANCES // 2, straggler_faults)
    title = f"search while half of shard 1 takes {STRAGGLER_DELAY_MS} ms"
    for number in range(1, 4):
        _show_search(site, show, f"{title}, {number}", search)
    _set_faults(site, 2, INSTANCES, standin_leaf.LeafFaults(lost=True))
    _show_search(site, show, "search while every leaf of shard 2 is lost", search)


def _show_bookings(site: Site, show: Print) -> None:
    booking = {
        "customer": "forno-limpo",
        "service": "booking",
        "idempotency_key": "booking-4711",
        "payload": "oven in Recife at 09:00",
    }
    for title in ("booking", "the same booking sent again"):
        answer, elapsed_ms = site.post("/v1/order", booking)
        repeated = " (repeated)" if answer.get("repeated") else ""
        show(f"{title}: {answer['outcome']}{repeated}, {answer['result']!r}")
        show(f"    in {elapsed_ms:.0f} ms, request {answer['request_id']}")
    show(f"The target ran the booking {len(site.leaves['booking-0'].leaf.runs)} time.")


def _show_search(site: Site, show: Print, title: str, search: dict) -> None:
    answer, elapsed_ms = site.post("/v1/search", search)
    if "code" in answer:
        show(f"{title}: refused, {answer['code']}: {answer['message']}")
        return
    found = ", ".join(row["key"] for row in answer["rows"])
    show(f"{title}: {found}")
    show(
        f"    coverage {answer['coverage']:.1%} at index version {answer['version']}, "
        f"{answer['attempts']} leaves asked, {elapsed_ms:.0f} ms, "
        f"request {answer['request_id']}"
    )


def _set_faults(
    site: Site, shard: int, instances: int, faults: standin_leaf.LeafFaults
) -> None:
    for instance in range(instances):
        site.leaves[f"dispatch-{instance}-{shard}"].leaf.faults = faults


def _dispatch_replicas() -> list[tuple[int, int]]:
    return [
        (instance, shard) for instance in range(INSTANCES) for shard in range(SHARDS)
    ]
