"""A complete site for tests, with each component in its own process."""

import json
import pathlib
import select
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any, Final

import urllib3

from amaranthpulley.coordination import stored_values
from amaranthpulley.protocol import store_api, vm_list_api
from amaranthpulley.state import store
from amaranthpulley.state.control import members, tickets, topology

SHARDS: Final = 3
LOG_TAIL_CHARACTERS: Final = 6_000
START_TIMEOUT_S: Final = 30
POLL_S: Final = 0.05
FAILURE_DOMAIN: Final = "Pokhara"


class Process:
    """A process that runs a command of amaranthpulley."""

    def __init__(self, arguments: list[str]) -> None:
        self.arguments = arguments
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "amaranthpulley", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )

    def read_line(self) -> str:
        """Return the next line that the process prints."""
        readable, _, _ = select.select([self.popen.stdout], [], [], START_TIMEOUT_S)
        if not readable:
            raise TimeoutError(
                f"amaranthpulley {' '.join(self.arguments)} printed no line"
            )
        return self.popen.stdout.readline().strip()

    def send(self, signum: signal.Signals) -> None:
        """Send a signal."""
        self.popen.send_signal(signum)

    def wait(self) -> int:
        """Return the exit code."""
        return self.popen.wait(START_TIMEOUT_S)

    def close(self) -> None:
        """End the process."""
        self.popen.kill()
        self.popen.wait()
        self.popen.stdout.close()


class SiteDaemon:
    """A daemon process with its settings and log files."""

    def __init__(
        self, name: str, folder: pathlib.Path, platform_address: str, **limits: int
    ) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        ports = {"caller_port": 0, "admin_port": 0, "peer_port": 0}
        settings = {
            "vm_name": name,
            "failure_domain": FAILURE_DOMAIN,
            "region": FAILURE_DOMAIN,
            "listen": {"ip": "127.0.0.1", **ports},
            "platform": {
                "store_address": platform_address,
                "vm_list_address": platform_address,
            },
            "limits": limits,
            "log_file": str(self.log),
            "log_level": "debug",
        }
        path = folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.process = Process(["daemon", "--settings", str(path)])
        self.listening = self.wait_for_event("daemon_listening")

    def vm(self) -> members.Vm:
        """Return the daemon's entry in the VM list."""
        peers = self.listening["peers"]
        return members.Vm(self.name, peers, FAILURE_DOMAIN, FAILURE_DOMAIN)

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the logged events with the given name."""
        if not self.log.exists():
            return []
        # The last line may be incomplete.
        complete_lines = self.log.read_text().rpartition("\n")[0].splitlines()
        return [
            line for line in map(json.loads, complete_lines) if line["name"] == name
        ]

    def wait_for_event(self, name: str) -> dict[str, Any]:
        """Wait until the daemon logs an event, and return the first one."""
        wait_until(lambda: self.events(name), f"{self.name} logs {name}")
        return self.events(name)[0]


class ProcessSite:
    """A store, leaves, an order target and daemons.

    Parameters
    ----------
    daemons : int
        Number of daemons to start.
    **limits : int
        Limits in the settings of each daemon.
    """

    def __init__(self, daemons: int = 1, **limits: int) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._limits = limits
        self._http = urllib3.PoolManager()
        self.daemons: dict[str, SiteDaemon] = {}
        self.store = Process(["store"])
        self.store_address = self.store.read_line()
        shards = ["--shards", str(SHARDS)]
        self.leaves = [
            Process(["leaf", "--shard", str(shard), *shards]) for shard in range(SHARDS)
        ]
        self.order_target = Process(["leaf"])
        self.order_target_address = self.order_target.read_line()
        self._apply_ticket([leaf.read_line() for leaf in self.leaves])
        for number in range(1, daemons + 1):
            self.start_daemon(f"vm-{number}")
        self.publish_vm_list()

    def start_daemon(self, name: str) -> SiteDaemon:
        """Start a daemon; `publish_vm_list` makes it known to the others."""
        folder = pathlib.Path(self._folder.name)
        daemon = SiteDaemon(name, folder, self.store_address, **self._limits)
        self.daemons[name] = daemon
        return daemon

    def publish_vm_list(self) -> None:
        """Write all daemons to the platform's VM list."""
        body = vm_list_api.encode(tuple(d.vm() for d in self.daemons.values()))
        url = f"http://{self.store_address}{vm_list_api.PATH}"
        self._http.request("PUT", url, body=body)

    def wait_until_ready(self) -> None:
        """Wait until every daemon serves searches over all shards."""
        body = {"customer": "c", "service": "stock", "query": "item-0000"}
        for name, daemon in self.daemons.items():
            try:
                wait_until(
                    lambda name=name: (
                        self.post(name, "search", body).get("coverage") == 1
                    ),
                    f"{name} serves",
                )
            except TimeoutError as error:
                answer = self.post(name, "search", body)
                log = daemon.log.read_text()[-LOG_TAIL_CHARACTERS:]
                raise TimeoutError(f"{error}; {answer}; its log: {log}") from error

    def wait_until_warm(self) -> None:
        """Wait until no daemon suspects a target of having restarted.

        On a busy machine answers may be late. A target whose answer was late is first
        tried again under a lease, which a frozen store cannot grant.
        """
        for name, daemon in self.daemons.items():
            wait_until(
                lambda daemon=daemon: (
                    len(daemon.events("target_cold"))
                    == len(daemon.events("target_warm"))
                ),
                f"{name} suspects no target",
            )

    def post(self, name: str, kind: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a request to a daemon and return its answer.

        A daemon that is delayed on a busy machine refuses requests until it has caught
        up. Such a request has not run and is sent again, as callers do.
        """
        address = self.daemons[name].listening["callers"]
        url = f"http://{address}/v1/{kind}"
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            answer = self._http.request("POST", url, json=body, retries=False).json()
            if answer.get("code") != "overloaded" or time.monotonic() > deadline:
                return answer
            time.sleep(POLL_S)

    def order(self, name: str, key: str) -> dict[str, Any]:
        """Send an order to a daemon and return its answer."""
        body = {
            "customer": "c",
            "service": "orders",
            "idempotency_key": key,
            "payload": "3 hourglasses",
        }
        return self.post(name, "order", body)

    def search(self, name: str, query: str = "item-01") -> dict[str, Any]:
        """Send a search to a daemon and return its answer."""
        body = {"customer": "c", "service": "stock", "query": query}
        return self.post(name, "search", body)

    def runs(self) -> list[str]:
        """Return the idempotency keys of the orders that the target has run."""
        url = f"http://{self.order_target_address}/runs"
        return self._http.request("GET", url).json()

    def close(self) -> None:
        """End all processes."""
        daemons = [daemon.process for daemon in self.daemons.values()]
        for process in (*daemons, *self.leaves, self.order_target, self.store):
            process.close()
        self._folder.cleanup()

    def _apply_ticket(self, addresses: list[str]) -> None:
        kinds = topology.ServiceKind
        leaves = [
            topology.Target(f"leaf-{n}", "stock", 0, f"s{n}", FAILURE_DOMAIN, address)
            for n, address in enumerate(addresses)
        ]
        order_target = topology.Target(
            "desk", "orders", 0, "all", FAILURE_DOMAIN, self.order_target_address
        )
        ticket = topology.ChangeTicket(
            1,
            services=(
                topology.Service("stock", kinds.SEARCH, deadline_ms=1_000),
                topology.Service("orders", kinds.ORDER, 5_000, 5_000),
            ),
            failure_domains=(topology.FailureDomain(FAILURE_DOMAIN, FAILURE_DOMAIN),),
            targets=(*leaves, order_target),
        )
        accepted = tickets.AcceptedTicket(
            ticket, "test", stored_values.digest_of(ticket), 0
        )
        value = stored_values.encode_head(tickets.Head(1, (accepted,)))
        swap = store.Swap(tickets.HEAD_KEY, 0, value)
        url = f"http://{self.store_address}{store_api.path_of(swap)}"
        self._http.request("POST", url, body=store_api.encode(swap))


def wait_until(condition: Callable[[], Any], description: str) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        If it does not hold within `START_TIMEOUT_S`.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting until {description}")
        time.sleep(POLL_S)
