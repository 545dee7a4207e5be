"""A stand-in for a leaf, for the cases of the review."""

import asyncio
import contextlib
import hashlib
import time
from collections.abc import Callable
from typing import NamedTuple

from review.tests import http_text


class Run(NamedTuple):
    """A request that a leaf received.

    Attributes
    ----------
    at_s : float
        Time of its arrival, by the monotonic clock.
    """

    at_s: float
    leaf_id: str
    request_id: str
    request: http_text.Message


def worst_second(times: list[float]) -> int:
    """Return the greatest number of times within one second."""
    return max((sum(t <= u < t + 1 for u in times) for t in times), default=0)


class Leaf:
    """A leaf on one address, which runs each request for the same time.

    Parameters
    ----------
    leaf_id, service, zone : str
        Its identity, its service and its zone.
    work_s : float
        Time for which it runs a request.

    Attributes
    ----------
    runs : list of Run
        Requests that it began to run.
    """

    def __init__(self, leaf_id: str, service: str, zone: str, work_s: float) -> None:
        self.leaf_id, self.service, self.zone = leaf_id, service, zone
        self.work_s = work_s
        self.slots = 4
        self.runs: list[Run] = []
        # Times of its health checks.
        self.checks: list[float] = []
        self.running = 0
        self.address = ""
        # From when until when it is cold, by the monotonic clock.
        self.cold_since_s = self.cold_until_s = 0.0
        self.born_ms = 1_700_000_000_000
        # While cold, it crashes at more requests in a second than this.
        self.crash_above: float | None = None
        self.on_overload: Callable[[], None] = lambda: None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str) -> None:
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    @property
    def cold_left_ms(self) -> int:
        """Time for which it stays cold."""
        return max(0, int(1000 * (self.cold_until_s - time.monotonic())))

    def become_cold(self, cold_s: float) -> None:
        """Become cold for some time."""
        self.cold_since_s = time.monotonic()
        self.cold_until_s = self.cold_since_s + cold_s

    def crash(self) -> None:
        """Reset all connections and stop listening."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self, cold_s: float) -> None:
        """Listen on the same address again, under the same identity, and cold."""
        host, port = self.address.rsplit(":", 1)
        self.born_ms += 60_000
        self.become_cold(cold_s)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def entry(self, **changes: object) -> dict[str, object]:
        """Return its entry in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Capacity": self.slots,
            "State": "ready",
            "WarmupLeftMs": self.cold_left_ms,
            "Sequence": 1,
            "born": self.born_ms,
            **changes,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await http_text.read_message(reader)) is not None:
                await self._handle(reader, writer, request)
        self._writers.discard(writer)
        writer.close()

    async def _handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: http_text.Message,
    ) -> None:
        request_id = request.headers.get("x-request-id", "")
        wanted = request.headers.get("x-target-instance", self.leaf_id)
        if request.target == "/health":
            headers = {"X-Instance-Id": self.leaf_id}
            if self.cold_left_ms:
                headers["X-Warmup-Ms"] = str(self.cold_left_ms)
            self.checks.append(time.monotonic())
            self._send(writer, 200, headers, b"")
            return
        headers = {"X-Request-Id": request_id, "X-Server-Load": self._load()}
        if wanted != self.leaf_id:
            self._send(writer, 421, headers, b"")
        elif self.running >= self.slots:
            self._send(writer, 503, {**headers, "X-Not-Executed": "1"}, b"")
        else:
            await self._run(reader, writer, request, request_id)

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: http_text.Message,
        request_id: str,
    ) -> None:
        run = Run(time.monotonic(), self.leaf_id, request_id, request)
        self.runs.append(run)
        self._check_rate()
        self.running += 1
        end_s = run.at_s + self.work_s
        while time.monotonic() < end_s and not reader.at_eof():
            await asyncio.sleep(min(0.01, max(0.0, end_s - time.monotonic())))
        self.running -= 1
        if reader.at_eof():
            return
        digest = hashlib.sha256(f"{self.leaf_id} {request_id}".encode()).hexdigest()
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Stamp": digest[:24],
            "X-Server-Load": self._load(),
        }
        self._send(writer, 200, headers, bytes.fromhex(digest))

    def cold_runs(self, since_s: float) -> list[Run]:
        """Return what it began to run since a time at which it became cold."""
        return [run for run in self.runs if since_s <= run.at_s < self.cold_until_s]

    def _check_rate(self) -> None:
        if self.crash_above is None or not self.cold_left_ms:
            return
        since_s = max(self.cold_since_s, time.monotonic() - 1)
        if len(self.cold_runs(since_s)) > self.crash_above:
            self.on_overload()

    def _load(self) -> str:
        return f"{self.running},0,{self.slots}"

    def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        sent = {**headers, "Keep-Alive": "timeout=15"}
        writer.write(http_text.encode(f"HTTP/1.1 {status} S", sent, body))
