"""A small deployment: daemons as processes, stand-ins in this process."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from typing import Any, Final

from review.tests import http_text, leaf, store

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
HOST: Final = "search.example"
ZONES: Final = ("recife-a", "fortaleza-a", "salvador-a")
REGIONS: Final = {zone: zone.partition("-")[0] for zone in ZONES}
START_TIMEOUT_S: Final = 30.0
# The bounds of the users' small deployments.
BOUNDS: Final = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 5000,
    "AckMs": 6000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "DowngradeSlackMs": 250,
    "MaxStretchMs": 15000,
    "RetryBudgetRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 52,
    "WarmupOverage": 1.5,
    "WarmupSlack": 5,
    "EvacuateMs": 5000,
    "RecoveryS": 12,
}


def route(**changes: object) -> dict[str, Any]:
    """Return a route to one service; arguments replace its fields."""
    return {
        "Name": "visit",
        "Host": HOST,
        "PathPrefix": "/visit/",
        "RouteType": "idempotent",
        "TimeoutMs": 2000,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": "visits",
        "MaxAttempts": 2,
        **changes,
    }


class Daemon:
    """A daemon's process and its addresses.

    Attributes
    ----------
    access : Access
        Its address of the store.
    """

    def __init__(self, name: str, ip: str, zone: str) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.front, self.ready, *self.internal = _free_ports(ip, 4)
        self.process: asyncio.subprocess.Process | None = None
        self.access: store.Access | None = None

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection of a client."""
        return await asyncio.open_connection(self.ip, self.front)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)


class Site:
    """A store, leaves and daemons."""

    def __init__(self) -> None:
        self.store = store.Store()
        self.leaves: list[leaf.Leaf] = []
        self.daemons: list[Daemon] = []
        self._folder = tempfile.TemporaryDirectory()
        self._version = 0
        # Client accounts of the configuration; None for none.
        self.tenants: list[dict[str, Any]] | None = None

    async def start(
        self,
        leaves: list[leaf.Leaf],
        daemons: int,
        *routes: dict[str, Any],
        **limits: Any,
    ) -> None:
        """Start all parts and wait until the daemons are ready; see `configure`."""
        for number, one in enumerate(leaves):
            await one.start(self.unused_ip(20 + number))
            self.leaves.append(one)
            self.store.put(f"servers/{one.leaf_id}", one.entry())
        self.configure(*routes, **limits)
        for number in range(daemons):
            name, zone = f"edge-{number + 1}", ZONES[number % len(ZONES)]
            daemon = Daemon(name, self.unused_ip(2 + number), zone)
            daemon.access = await self.store.open_access(self.unused_ip(1))
            self.daemons.append(daemon)
            await self.start_daemon(daemon)
        for daemon in self.daemons:
            await self.wait_until_ready(daemon)

    def unused_ip(self, number: int) -> str:
        """Return a loopback address that no other running case uses."""
        pid = os.getpid()
        return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{number}"

    def configure(self, *routes: dict[str, Any], **limits: Any) -> int:
        """Write a version of the configuration; return its number.

        Parameters
        ----------
        **limits : Any
            Fields of the services.
        """
        self._version += 1
        services = sorted({one.service for one in self.leaves})
        configuration = {
            "Version": self._version,
            "Routes": list(routes) or [route()],
            "Services": [
                {"Name": name, "HealthPath": "/health", "MaxConns": 96, **limits}
                for name in services
            ],
            "Limits": {
                "MaxHeaderBytes": 16_384,
                "MaxBodyBytes": 262_144,
                "HeaderTimeoutMs": 3_000,
                "IdleTimeoutMs": 15_000,
            },
        }
        if self.tenants is not None:
            configuration["Tenants"] = self.tenants
        self.store.put("op/config", configuration)
        return self._version

    async def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon's process with the command of the deploy file."""
        settings = {
            "NodeName": daemon.name,
            "Role": "forwarder",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": daemon.ip,
            "Zone": daemon.zone,
            "Region": REGIONS[daemon.zone],
            "Zones": REGIONS,
            "BindAddrs": {
                "FrontAddr": f"{daemon.ip}:{daemon.front}",
                "ReadyAddr": f"{daemon.ip}:{daemon.ready}",
            },
            "InternalPorts": daemon.internal,
            "Limits": {"CpuQuota": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4100},
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS,
            "platform": {"Address": daemon.access.address},
        }
        path = pathlib.Path(self._folder.name, f"{daemon.name}.json")
        path.write_text(json.dumps(settings))
        libraries = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT)])
        variables = {"AMARANTHPULLEY_BOOT": str(path), "PYTHONPATH": libraries}
        with pathlib.Path(self._folder.name, f"{daemon.name}.log").open("ab") as log:
            daemon.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "amaranthpulley", "forward"),
                cwd=ROOT,
                env={**os.environ, **variables},
                stdout=log,
                stderr=log,
            )

    def log_of(self, daemon: Daemon) -> str:
        """Return what a daemon has logged."""
        return pathlib.Path(self._folder.name, f"{daemon.name}.log").read_text()

    async def is_ready(self, daemon: Daemon) -> bool:
        """Return whether a daemon says that it is ready."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.ready)
            head = {"Host": "x", "Connection": "close"}
            writer.write(http_text.encode("GET /api/ready HTTP/1.1", head))
            answer = await http_text.read_message(reader)
            writer.close()
            return answer is not None and answer.status == 200
        return False

    async def wait_until_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon is ready.

        Raises
        ------
        TimeoutError
            If it does not become ready.
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready(daemon):
            if time.monotonic() > end_s:
                raise TimeoutError(f"{daemon.name}: {self.log_of(daemon)[-500:]}")
            await asyncio.sleep(0.05)

    async def close(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            process = daemon.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for one in self.leaves:
            one.crash()
        self.store.close()
        # Lets the tasks of the connections end.
        await asyncio.sleep(0.05)
        self._folder.cleanup()


def _free_ports(ip: str, count: int) -> list[int]:
    with contextlib.ExitStack() as probes:
        ports = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((ip, 0))
            ports.append(probe.getsockname()[1])
        return ports
