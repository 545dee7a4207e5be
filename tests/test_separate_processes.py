"""Tests of the whole path with each part in a process of its own."""

import json
import pathlib
import select
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from typing import Any, Final

import urllib3

from amaranthpulley.coordination import stored_values
from amaranthpulley.protocol import store_api
from amaranthpulley.state import store, tickets, topology

SHARDS: Final = 3
START_TIMEOUT_S: Final = 30


class SeparateProcesses:
    """A store, leaves, a booking target and a daemon as processes of their own."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._processes: list[subprocess.Popen] = []
        self._http = urllib3.PoolManager()
        self.store_address = self._start_and_read_address("store")
        shards = ["--shards", str(SHARDS)]
        self.leaves = [
            self._start_and_read_address("leaf", "--shard", str(shard), *shards)
            for shard in range(SHARDS)
        ]
        self.booking = self._start_and_read_address("leaf")
        self._apply_ticket()
        self.log = pathlib.Path(self._folder.name, "vm-1.log")
        self.daemon = self._start_daemon()
        self.caller_address = self.wait_for_event("daemon_listening")["callers"]

    def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send a request to the daemon and return its answer."""
        url = f"http://{self.caller_address}{path}"
        return self._http.request("POST", url, json=body, retries=False).json()

    def wait_for(self, service: str) -> None:
        """Wait until the daemon knows a service."""
        body = {"customer": "c", "service": service, "query": "item"}
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if self.post("/v1/search", body).get("code") != "unknown_service":
                return
            time.sleep(0.05)

    def wait_for_event(self, name: str) -> dict[str, Any]:
        """Wait until the daemon has logged an event, and return it."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            lines = self.log.read_text().splitlines() if self.log.exists() else []
            for line in map(json.loads, lines):
                if line["name"] == name:
                    return line
            time.sleep(0.05)
        raise TimeoutError(f"the daemon has not logged {name}")

    def close(self) -> None:
        """End all processes."""
        for process in self._processes:
            process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self._folder.cleanup()

    def _start(self, *words: str) -> subprocess.Popen:
        process = subprocess.Popen(
            [sys.executable, "-m", "amaranthpulley", *words],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self._processes.append(process)
        return process

    def _start_and_read_address(self, *words: str) -> str:
        process = self._start(*words)
        readable, _, _ = select.select([process.stdout], [], [], START_TIMEOUT_S)
        if not readable:
            raise TimeoutError(f"amaranthpulley {' '.join(words)} names no address")
        return process.stdout.readline().strip()

    def _apply_ticket(self) -> None:
        kinds = topology.ServiceKind
        leaves = [
            topology.Target(f"leaf-{n}", "stock", 0, f"s{n}", "Pokhara", address)
            for n, address in enumerate(self.leaves)
        ]
        booking = topology.Target("desk", "orders", 0, "all", "Pokhara", self.booking)
        ticket = topology.ChangeTicket(
            1,
            services=(
                topology.Service("stock", kinds.SEARCH, deadline_ms=5_000),
                topology.Service("orders", kinds.ORDER, deadline_ms=5_000),
            ),
            failure_domains=(topology.FailureDomain("Pokhara", "Pokhara"),),
            targets=(*leaves, booking),
        )
        accepted = tickets.AcceptedTicket(
            ticket, "test", stored_values.digest_of(ticket), 0
        )
        value = stored_values.encode_head(tickets.Head(1, (accepted,)))
        swap = store.Swap(tickets.HEAD_KEY, 0, value)
        url = f"http://{self.store_address}{store_api.path_of(swap)}"
        self._http.request("POST", url, body=store_api.encode(swap))

    def _start_daemon(self) -> subprocess.Popen:
        ports = {"caller_port": 0, "admin_port": 0, "peer_port": 0}
        settings = {
            "vm_name": "vm-1",
            "failure_domain": "Pokhara",
            "region": "Pokhara",
            "listen": {"ip": "127.0.0.1", **ports},
            "platform": {
                "store_address": self.store_address,
                "vm_list_address": self.store_address,
            },
            "log_file": str(self.log),
        }
        path = pathlib.Path(self._folder.name, "settings.json")
        path.write_text(json.dumps(settings))
        return self._start("daemon", "--settings", str(path))


class SeparateProcessesTest(unittest.TestCase):
    """Requests through processes that share nothing but sockets."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.site = SeparateProcesses()
        cls.addClassCleanup(cls.site.close)
        cls.site.wait_for("stock")

    def test_search_is_whole_and_labelled(self) -> None:
        body = {"customer": "c", "service": "stock", "query": "item-01"}
        answer = self.site.post("/v1/search", body)
        keys = sorted(row["key"] for row in answer["rows"])
        self.assertEqual(keys, [f"item-{number:04d}" for number in range(100, 200)])
        self.assertEqual((answer["coverage"], answer["version"]), (1.0, 1))

    def test_look_up_finds_its_key(self) -> None:
        body = {"customer": "c", "service": "stock", "query": "", "key": "item-0042"}
        answer = self.site.post("/v1/search", body)
        self.assertEqual([row["key"] for row in answer["rows"]], ["item-0042"])
        self.assertEqual(answer["coverage"], 1.0)

    def test_repeated_order_gets_the_first_result(self) -> None:
        body = {
            "customer": "c",
            "service": "orders",
            "idempotency_key": "order-1",
            "payload": "3 hourglasses",
        }
        first = self.site.post("/v1/order", body)
        second = self.site.post("/v1/order", body)
        self.assertEqual((first["outcome"], first["repeated"]), ("done", False))
        self.assertEqual((second["outcome"], second["repeated"]), ("done", True))
        self.assertEqual(first["result"], second["result"])


class DaemonEndTest(unittest.TestCase):
    """The end of a daemon's process."""

    def test_sigterm_ends_an_idle_daemon_with_0(self) -> None:
        site = SeparateProcesses()
        self.addCleanup(site.close)
        site.daemon.send_signal(signal.SIGTERM)
        self.assertEqual(site.daemon.wait(START_TIMEOUT_S), 0)

    def test_second_signal_ends_a_daemon_at_once(self) -> None:
        site = SeparateProcesses()
        self.addCleanup(site.close)
        site.daemon.send_signal(signal.SIGTERM)
        site.wait_for_event("drain_started")
        site.daemon.send_signal(signal.SIGTERM)
        self.assertEqual(site.daemon.wait(START_TIMEOUT_S), 1)
        site.wait_for_event("drain_cut_short")


if __name__ == "__main__":
    unittest.main()
