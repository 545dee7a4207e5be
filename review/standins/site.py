"""A small deployment on loopback: a store, leaves and daemons of the deploy file."""

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
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any, Final, TextIO

from standins import http_wire, leaf, store

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
ZONES: Final = {"za": "ra", "zb": "rb", "zc": "rc"}
HOST: Final = "desk.example"
START_TIMEOUT_S: Final = 20.0
# Longest run of a case.
CASE_TIMEOUT_S: Final = 112.0
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
LIMITS: Final = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 262_144,
    "HeaderTimeoutMs": 3_000,
    "IdleTimeoutMs": 15_000,
}


def route(name: str, prefix: str, **changes: object) -> dict[str, Any]:
    """Return a route to one service; arguments replace its fields."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteType": "idempotent",
        "TimeoutMs": 2_000,
        "TargetLatencyMs": 327,
        "Priority": 1,
        "MaxAttempts": 2,
        "AllowedRegions": [],
        **changes,
    }


class Daemon:
    """A daemon's process, started as the deploy file says."""

    def __init__(self, name: str, ip: str, zone: str) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        roles = ("front", "ready", "peer", "delegate")
        self.ports = dict(zip(roles, _free_ports(ip, len(roles)), strict=True))
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> str:
        """``IP:port`` for clients."""
        return f"{self.ip}:{self.ports['front']}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


class Site:
    """All stand-ins and processes of a case.

    Parameters
    ----------
    record : file
        Where what happens is written.
    """

    def __init__(self, record: TextIO) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._record = record
        self._started_s = time.monotonic()
        self.store = store.Store()
        self.daemons: list[Daemon] = []
        self.leaves: list[leaf.Leaf] = []
        self.troubled = os.environ.get("TROUBLE", "1") != "0"
        self.version = 0

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._record.write(f"{self.at(time.monotonic()):8.3f} {text}\n")

    def at(self, monotonic_s: float) -> float:
        """Return a time as the record gives it, in seconds since the start."""
        return monotonic_s - self._started_s

    async def start(self, daemons: int) -> None:
        """Start the store, and daemons in all zones in turn."""
        await self.store.start(_ip(250))
        zones = list(ZONES)
        for number in range(1, daemons + 1):
            zone = zones[number % len(zones)]
            daemon = Daemon(f"edge-{zone}-{number}", _ip(number), zone)
            self.daemons.append(daemon)
            await self.start_daemon(daemon)

    async def add_leaf(self, added: leaf.Leaf) -> None:
        """Start a leaf and write its entry."""
        await added.start(_ip(200))
        self.leaves.append(added)
        await self.store.put(f"servers/{added.leaf_id}", added.entry())
        self.note(f"leaf {added.leaf_id} of {added.service} is ready")

    async def configure(
        self, *routes: dict[str, Any], connections: int = 96, **limits: int
    ) -> None:
        """Write the next version of the configuration."""
        self.version += 7
        names = sorted({entry.service for entry in self.leaves})
        services = [
            {"Name": name, "HealthPath": leaf.HEALTH_PATH, "MaxConns": connections}
            for name in names
        ]
        configuration = {
            "Version": self.version,
            "Routes": list(routes),
            "Services": services,
            "Limits": {**LIMITS, **limits},
        }
        await self.store.put("op/config", configuration)
        self.note(f"configuration {self.version} is acknowledged")

    async def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon's process, also once more."""
        path = pathlib.Path(self._folder.name, f"{daemon.name}.json")
        path.write_text(json.dumps(self._settings(daemon)))
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["forwarder"]["run"].split()
        log = pathlib.Path(self._folder.name, f"{daemon.name}.log")
        passed = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with log.open("ab") as output:
            daemon.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    **passed,
                    "AMARANTHPULLEY_BOOT": str(path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=output,
                stderr=output,
            )
        self.note(f"daemon {daemon.name} was started")

    async def wait_until_ready(self) -> None:
        """Wait until every daemon says that it is ready."""
        for daemon in self.daemons:
            client = http_wire.Client(f"{daemon.ip}:{daemon.ports['ready']}")
            end_s = time.monotonic() + START_TIMEOUT_S
            while True:
                answer = await client.request(
                    "GET /api/ready HTTP/1.1", {"Host": "ready"}, timeout_s=1.0
                )
                if isinstance(answer, http_wire.Message) and answer.status == 200:
                    break
                if time.monotonic() > end_s:
                    raise TimeoutError(f"{daemon.name} is not ready")
                await asyncio.sleep(0.05)
            client.close()
        self.note("all daemons are ready")

    def read_logs(self) -> str:
        """Return what the daemons have logged."""
        paths = sorted(pathlib.Path(self._folder.name).glob("*.log"))
        return "".join(path.read_text() for path in paths)

    async def close(self) -> None:
        """End every process that this site has started."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                await daemon.process.wait()
        self._folder.cleanup()

    def _settings(self, daemon: Daemon) -> dict[str, Any]:
        ports = daemon.ports
        return {
            "NodeName": daemon.name,
            "Role": "forwarder",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": daemon.ip,
            "Zone": daemon.zone,
            "Region": ZONES[daemon.zone],
            "Zones": ZONES,
            "BindAddrs": {
                "FrontAddr": daemon.front,
                "ReadyAddr": f"{daemon.ip}:{ports['ready']}",
            },
            "InternalPorts": [ports["peer"], ports["delegate"]],
            "Seeds": [],
            "Bootstrap": True,
            "Limits": {"CpuQuota": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4100},
            "DataDir": None,
            "Discovery": "platform",
            "EntryPoint": "vip",
            "HeartbeatMs": 1200,
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 1},
            "Bounds": BOUNDS,
            "platform": {
                "Address": self.store.address,
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "RetentionS": 20,
                "ValueBytes": 1048576,
                "MinTtlMs": 1000,
            },
        }


def run_case(case: Callable[[Site], Awaitable[bool]], folder: pathlib.Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Parameters
    ----------
    case : callable
        Plays the case on a site and returns whether the rule was broken.
    folder : Path
        Folder of the case, for the record.
    """
    with (folder / "record.txt").open("w") as record:
        return asyncio.run(_run_case(case, record))


async def _run_case(case: Callable[[Site], Awaitable[bool]], record: TextIO) -> int:
    site = Site(record)
    playing = asyncio.current_task()
    if playing is not None:
        # A case that is ended from outside still ends its processes.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
    try:
        async with asyncio.timeout(CASE_TIMEOUT_S):
            broken = await case(site)
    except (Exception, asyncio.CancelledError) as error:
        site.note(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
    finally:
        await site.close()
    site.note("the rule was broken" if broken else "the rule held")
    return int(broken)


def _ip(number: int) -> str:
    """Return a loopback address that no other running case uses."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{number}"


def _free_ports(ip: str, count: int) -> list[int]:
    with contextlib.ExitStack() as probes:
        ports = []
        for _ in range(count):
            probe = probes.enter_context(socket.socket())
            probe.bind((ip, 0))
            ports.append(probe.getsockname()[1])
        return ports
