"""A daemon's process with small limits, a store and leaves, on loopback addresses."""

import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import time
from typing import Final, NamedTuple

import urllib3

from amaranthpulley.platform import names, settings
from amaranthpulley.platform.tests import wire_samples
from tests.soak import soak_site

_ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
# The VM of the test. A daemon without clients uses 33 to 40 MB.
MEMORY_MB: Final = 80
MAXIMUM_DESCRIPTORS: Final = 1_200
# Descriptors of a VM that are not for sockets.
FILE_DESCRIPTORS: Final = 200
HEAD_LIMIT_BYTES: Final = 16_384
BODY_LIMIT_BYTES: Final = 262_144
# Longer than the usual 3 s, so that it depends on the process's accounting and not on
# the machine's speed how much is held at the same time.
HEADER_TIMEOUT_MS: Final = 10_000
IDLE_TIMEOUT_MS: Final = 15_000
# An ordinary client repeats a request that was refused or lost.
_TRIES: Final = 40
_PAUSE_S: Final = 0.25
_COPIES: Final = 4


class Bounds(NamedTuple):
    """What a process of the VM may use."""

    memory_bytes: int
    descriptors: int


BOUNDS: Final = Bounds(MEMORY_MB * 1_000_000, MAXIMUM_DESCRIPTORS - FILE_DESCRIPTORS)


class Site:
    """A store and leaves that stay, and one daemon at a time."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self._started: list[subprocess.Popen] = []
        self.daemon: subprocess.Popen | None = None
        self.ip = soak_site.unused_ip(1)
        self.ports: dict[str, int] = {}
        try:
            self.store_address = self._start_standin("store")
            for service in (*wire_samples.SHARDS, "visits"):
                for number in range(_COPIES):
                    self._start_leaf(f"{service}-{number}", service)
            self._put(names.CONFIGURATION_KEY, _configuration())
        except BaseException:
            self.close()
            raise

    def address(self, role: str) -> tuple[str, int]:
        """Return the IP and port of a server of the daemon."""
        return self.ip, self.ports[role]

    def start_daemon(self) -> None:
        """Start a daemon and wait until it is ready."""
        roles = ("front", "readiness", "relay", "delegated")
        free = soak_site.free_ports(self.ip, len(roles))
        self.ports = dict(zip(roles, free, strict=True))
        self.ports["metrics"] = settings.METRICS_PORT
        path = pathlib.Path(self._folder.name, "settings.json")
        path.write_text(json.dumps(self._settings()))
        log = pathlib.Path(self._folder.name, "daemon.log").open("wb")
        self.daemon = subprocess.Popen(
            [sys.executable, "-m", "amaranthpulley", "forward"],
            cwd=_ROOT,
            env={**os.environ, names.SETTINGS_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()
        descriptors = (MAXIMUM_DESCRIPTORS, MAXIMUM_DESCRIPTORS)
        resource.prlimit(self.daemon.pid, resource.RLIMIT_NOFILE, descriptors)
        if not self.is_served("readiness", names.READY_PATH.decode()):
            raise AssertionError(f"the daemon is not ready: {self.read_log()}")

    def stop_daemon(self) -> None:
        """Kill the daemon."""
        if self.daemon is not None:
            self.daemon.kill()
            self.daemon.wait()
            self.daemon = None

    def close(self) -> None:
        """Kill every process that this site has started."""
        self.stop_daemon()
        for process in self._started:
            process.kill()
            process.wait()
            process.stdout.close()
        self._folder.cleanup()

    def read_log(self) -> str:
        """Return the end of the daemon's log."""
        return pathlib.Path(self._folder.name, "daemon.log").read_text()[-2_000:]

    def is_alive(self) -> bool:
        """Return whether the daemon's process runs."""
        return self.daemon is not None and self.daemon.poll() is None

    def peak_memory_bytes(self) -> int:
        """Return the largest resident memory of the daemon since its start."""
        status = pathlib.Path(f"/proc/{self.daemon.pid}/status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1_024

    def open_descriptors(self) -> int:
        """Return the number of descriptors that the daemon has open."""
        return len(os.listdir(f"/proc/{self.daemon.pid}/fd"))

    def is_served(self, role: str = "front", path: str = "/visit/1") -> bool:
        """Return whether an ordinary request gets its answer, repeats included."""
        ip, port = self.address(role)
        headers = {
            "Host": wire_samples.HOST,
            "X-Request-Id": "ordinary",
            "X-Deadline-Ms": "2000",
            "Connection": "close",
        }
        for _ in range(_TRIES):
            try:
                with urllib3.HTTPConnectionPool(ip, port, timeout=5) as pool:
                    answer = pool.request("GET", path, headers=headers, retries=False)
                if answer.status == 200:
                    return True
            except urllib3.exceptions.HTTPError:
                if not self.is_alive():
                    return False
            time.sleep(_PAUSE_S)
        return False

    def _settings(self) -> dict[str, object]:
        text = wire_samples.settings_text("vm-1", self.store_address, "a1", self.ip)
        ports = self.ports
        return {
            **json.loads(text),
            "BindAddrs": {
                "FrontAddr": f"{self.ip}:{ports['front']}",
                "ReadyAddr": f"{self.ip}:{ports['readiness']}",
            },
            "InternalPorts": [ports["relay"], ports["delegated"]],
            "Limits": {"MemoryMb": MEMORY_MB, "MaxFds": MAXIMUM_DESCRIPTORS},
        }

    def _start_leaf(self, leaf_id: str, service: str) -> None:
        address = self._start_standin("leaf", leaf_id, service, "a1")
        entry = {
            "Service": service,
            "Address": address,
            "Zone": "a1",
            "Version": "v1",
            "Capacity": 4,
            "Sequence": 1,
            "State": "ready",
            "WarmupLeftMs": 0,
            "born": 1,
        }
        self._put(names.LEAF_PREFIX + leaf_id, entry)

    def _start_standin(self, *words: str) -> str:
        process = soak_site.start_module(
            ["amaranthpulley.platform.tests.standins", *words]
        )
        self._started.append(process)
        return process.stdout.readline().strip()

    def _put(self, key: str, value: object) -> None:
        url = f"http://{self.store_address}/control"
        command = {"put": key, "value": value}
        urllib3.request("POST", url, json=command, timeout=10, retries=False)


def _configuration() -> dict[str, object]:
    configuration = wire_samples.configuration(
        1, wire_samples.route(), wire_samples.visit_route()
    )
    limits = {
        "MaxHeaderBytes": HEAD_LIMIT_BYTES,
        "MaxBodyBytes": BODY_LIMIT_BYTES,
        "HeaderTimeoutMs": HEADER_TIMEOUT_MS,
        "IdleTimeoutMs": IDLE_TIMEOUT_MS,
    }
    return {**configuration, "Limits": limits}
