"""A stand-in for a leaf: a few slots, a short queue, and answers with a signature."""

import asyncio
import hashlib
import random
import time
from typing import Any, Final

from standins import http_wire

HEALTH_PATH: Final = "/health"


class Leaf:
    """One start of a leaf.

    Parameters
    ----------
    leaf_id, service, zone : str
        Its identity, its service and its zone.
    slots, queue : int
        Requests that it works on and that wait; further ones are turned away.
    work_ms : float
        Time that a request takes.
    """

    def __init__(
        self,
        leaf_id: str,
        service: str,
        zone: str,
        slots: int = 4,
        queue: int = 4,
        work_ms: float = 60.0,
    ) -> None:
        self.leaf_id, self.service, self.zone = leaf_id, service, zone
        self.slots, self.work_ms = slots, work_ms
        self._places = slots + queue
        self._admitted = 0
        self._free = asyncio.Semaphore(slots)
        self._server = http_wire.Server(self._receive)
        self._random = random.Random(leaf_id)
        self.born_ms = int(time.time() * 1000)
        # Requests that it began to work on, with the time, and those it turned away.
        self.runs: list[tuple[str, float]] = []
        self.rejections = 0
        # Share of the answers of which a copy comes late, before the next answer.
        self.late_share = 0.0
        self.late_copies = 0

    @property
    def running(self) -> int:
        """Number of requests that it works on."""
        return min(self._admitted, self.slots)

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        await self._server.start(ip)

    def crash(self) -> None:
        """End as a killed process does."""
        self._server.crash()

    def entry(self, **changes: object) -> dict[str, Any]:
        """Return its entry in the store; arguments replace fields."""
        return {
            "Service": self.service,
            "Address": self._server.address,
            "Zone": self.zone,
            "Version": "v1",
            "Capacity": self.slots,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Sequence": 1,
            "born": self.born_ms,
            **changes,
        }

    async def _receive(
        self, connection: http_wire.Connection, request: http_wire.Message
    ) -> bool:
        path = request.start.split(" ")[1]
        if path == HEALTH_PATH:
            named = {"X-Instance-Id": self.leaf_id}
            connection.send(http_wire.encode("HTTP/1.1 200 OK", named, b""))
            return True
        if connection.late_copy:
            # The copy of an earlier answer arrives where the next one is expected.
            connection.send(connection.late_copy)
            connection.late_copy = b""
            self.late_copies += 1
        answer = await self._answer(request)
        if request.start.startswith("HEAD "):
            answer = answer[: answer.index(b"\r\n\r\n") + 4]
        connection.send(answer)
        if self._random.random() < self.late_share:
            connection.late_copy = answer
        return True

    async def _answer(self, request: http_wire.Message) -> bytes:
        request_id = request.headers["x-request-id"]
        headers = {"X-Request-Id": request_id}
        if request.headers.get("x-target-instance", self.leaf_id) != self.leaf_id:
            return http_wire.encode("HTTP/1.1 421 Misdirected Request", headers, b"")
        if self._admitted >= self._places:
            self.rejections += 1
            headers["X-Not-Executed"] = "1"
            return http_wire.encode("HTTP/1.1 503 Service Unavailable", headers, b"")
        self._admitted += 1
        try:
            async with self._free:
                self.runs.append((request_id, time.monotonic()))
                await asyncio.sleep(self.work_ms / 1000)
        finally:
            self._admitted -= 1
        body = f"{self.service} {self.leaf_id} {request_id}".encode()
        headers["X-Response-Stamp"] = hashlib.sha256(body).hexdigest()[:24]
        return http_wire.encode("HTTP/1.1 200 OK", headers, body)
