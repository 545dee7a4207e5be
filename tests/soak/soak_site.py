"""The processes of a soak: a store, leaves and daemons, each behind a proxy."""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any, Final

import urllib3

from amaranthpulley.platform import names
from amaranthpulley.platform.tests import wire_samples
from tests.soak import proxy

_ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
SERVICES: Final = (*wire_samples.SHARDS, "visits")
ZONES: Final = ("a1", "b1")
START_TIMEOUT_S: Final = 20.0


def start_module(arguments: list[str], **variables: str) -> subprocess.Popen:
    """Start a module as a process whose output can be read."""
    return subprocess.Popen(
        [sys.executable, "-m", *arguments],
        cwd=_ROOT,
        env={**os.environ, "PYTHONPATH": str(_ROOT), **variables},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def unused_ip(number: int) -> str:
    """Return a loopback address that no other running site uses."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{number}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return different ports that are free on an address."""
    with contextlib.ExitStack() as probes:
        ports = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((ip, 0))
            ports.append(probe.getsockname()[1])
        return ports


class Leaf:
    """A leaf's process and its proxy; it can be restarted."""

    def __init__(self, leaf_id: str, service: str, zone: str) -> None:
        self.leaf_id, self.service, self.zone = leaf_id, service, zone
        self.process: subprocess.Popen | None = None
        self.proxy: proxy.Proxy | None = None
        self.address = ""
        self.past_runs: dict[str, int] = {}


class Daemon:
    """A daemon's process, its ports and its proxy to the store."""

    def __init__(self, name: str, ip: str, zone: str) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        roles = ("front", "ready", "peer", "delegate")
        self.ports = dict(zip(roles, free_ports(ip, len(roles)), strict=True))
        self.process: subprocess.Popen | None = None
        self.proxy: proxy.Proxy | None = None

    @property
    def front(self) -> str:
        """``IP:port`` for clients."""
        return f"{self.ip}:{self.ports['front']}"


class SoakSite:
    """All processes of a soak.

    Parameters
    ----------
    daemons : int
        Number of daemons.
    copies : int
        Leaves of each service.
    """

    def __init__(self, daemons: int, copies: int) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._http = urllib3.PoolManager(num_pools=200, retries=False)
        self._started: list[subprocess.Popen] = []
        # Latest value of every key that operators and leaves have written.
        self._written: dict[str, object] = {}
        self.proxies = proxy.ProxyLoop()
        try:
            self._start_all(daemons, copies)
        except BaseException:
            self.close()
            raise

    def _start_all(self, daemons: int, copies: int) -> None:
        store = self._spawn(["amaranthpulley.platform.tests.standins", "store"])
        self.store_process = store
        self.store_address = store.stdout.readline().strip()
        self.leaves = [
            Leaf(f"{service}-{number}", service, ZONES[number % len(ZONES)])
            for service in SERVICES
            for number in range(copies)
        ]
        for leaf in self.leaves:
            self.start_leaf(leaf)
        self.version = 0
        self.configure()
        self.daemons = [
            Daemon(f"vm-{n}", unused_ip(n), ZONES[n % len(ZONES)])
            for n in range(1, daemons + 1)
        ]
        for daemon in self.daemons:
            self.start_daemon(daemon)
        for daemon in self.daemons:
            self.wait_until_ready(daemon)

    def start_leaf(self, leaf: Leaf) -> None:
        """Start a leaf, or restart it under the same identity."""
        arguments = ["leaf", leaf.leaf_id, leaf.service, leaf.zone]
        process = self._spawn(["amaranthpulley.platform.tests.standins", *arguments])
        leaf.process = process
        leaf.address = process.stdout.readline().strip()
        leaf.proxy = self.proxies.start_proxy(leaf.address)
        self.register(leaf)

    def register(self, leaf: Leaf, state: str = "ready") -> None:
        """Write a leaf's entry into the store."""
        entry = {
            "Service": leaf.service,
            "Address": leaf.proxy.address,
            "Zone": leaf.zone,
            "Version": "v1",
            "Capacity": 4,
            "Sequence": 1,
            "State": state,
            "WarmupLeftMs": 0,
            "born": leaf.process.pid,
        }
        self.control_store(put=names.LEAF_PREFIX + leaf.leaf_id, value=entry)

    def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon, or restart it."""
        if daemon.proxy is None:
            daemon.proxy = self.proxies.start_proxy(self.store_address)
        text = wire_samples.settings_text(
            daemon.name, daemon.proxy.address, daemon.zone, daemon.ip
        )
        settings = json.loads(text)
        settings["BindAddrs"] = {
            "FrontAddr": daemon.front,
            "ReadyAddr": f"{daemon.ip}:{daemon.ports['ready']}",
        }
        ports = daemon.ports
        settings["InternalPorts"] = [ports["peer"], ports["delegate"]]
        path = pathlib.Path(self._folder.name, f"{daemon.name}.json")
        path.write_text(json.dumps(settings))
        log = pathlib.Path(self._folder.name, f"{daemon.name}.log").open("ab")
        daemon.process = subprocess.Popen(
            [sys.executable, "-m", "amaranthpulley", "forward"],
            cwd=_ROOT,
            env={**os.environ, names.SETTINGS_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
        self._started.append(daemon.process)

    def configure(self, **changes: object) -> str:
        """Write a new configuration; return the path prefix that it adds."""
        self.version += 1
        prefix = f"/v{self.version}/"
        configuration = wire_samples.configuration(
            self.version,
            wire_samples.route(**changes),
            wire_samples.visit_route(RouteType="non_idempotent"),
            wire_samples.route(Name="probe", PathPrefix=prefix),
        )
        self.control_store(put=names.CONFIGURATION_KEY, value=configuration)
        return prefix

    def control_store(self, **command: object) -> None:
        """Send a control command to the store, bypassing the proxies."""
        if "put" in command:
            self._written[str(command["put"])] = command["value"]
        self._control(self.store_address, command)

    def raise_revision(self, count: int) -> None:
        """Write keys that nobody uses."""
        for number in range(count):
            command = {"put": f"unused/{number}", "value": {}}
            self._control(self.store_address, command)

    def write_again(self) -> None:
        """Write all that operators and leaves have written to a restored store."""
        for key, value in list(self._written.items()):
            self.control_store(put=key, value=value)

    def control_leaf(self, leaf: Leaf, **command: object) -> dict[str, int]:
        """Send a control command to a leaf; return its runs since its start."""
        return self._control(leaf.address, command)

    def wait_until_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon is ready."""
        url = f"http://{daemon.ip}:{daemon.ports['ready']}/api/ready"
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            try:
                if self._http.request("GET", url, timeout=1).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                time.sleep(0.05)
        raise AssertionError(f"{daemon.name} is not ready after {START_TIMEOUT_S} s")

    def read_log(self, daemon: Daemon) -> str:
        """Return the text of a daemon's log."""
        return pathlib.Path(self._folder.name, f"{daemon.name}.log").read_text()

    def close(self) -> None:
        """Kill every process that this site has started."""
        for process in self._started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self.proxies.close()
        self._folder.cleanup()

    def _spawn(self, arguments: list[str]) -> subprocess.Popen:
        process = start_module(arguments)
        self._started.append(process)
        return process

    def _control(self, address: str, command: dict[str, Any]) -> Any:
        url = f"http://{address}/control"
        return self._http.request("POST", url, json=command, timeout=10).json()
