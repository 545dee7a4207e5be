"""A stand-in for the platform's store, as the users' page on the protocol tells it."""

import asyncio
import base64
import itertools
import json
import time
from typing import Any, Final
from urllib import parse

from standins import http_wire

_PAGE_ITEMS: Final = 500
_SWEEP_S: Final = 0.2
_REASONS: Final = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}

Reply = tuple[int, dict[str, Any]]


class Store:
    """Keys, leases and watches; operators and leaves write through `put`."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_numbers = itertools.count(1_000)
        self._changed = asyncio.Condition()
        self._server = http_wire.Server(self._receive)
        self._tasks: set[asyncio.Task] = set()
        # Number of watches that wait now.
        self.waiting = 0

    @property
    def address(self) -> str:
        """The ``IP:port`` that it listens on."""
        return self._server.address

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        await self._server.start(ip)
        self._tasks.add(asyncio.create_task(self._sweep()))

    def silence(self) -> int:
        """Let all open connections go silent; return their number."""
        for connection in self._server.connections:
            connection.silent = True
        return len(self._server.connections)

    async def put(self, key: str, value: object, lease: int = 0) -> None:
        """Write an item; it is acknowledged when this returns."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._put(key, base64.b64encode(raw).decode(), lease)
        await self._notify()

    async def delete(self, key: str) -> None:
        """Delete an item."""
        self._delete(key)
        await self._notify()

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _put(self, key: str, value: str, lease: int) -> None:
        self._revision += 1
        created = self._items.get(key, {}).get("Created", self._revision)
        item = {
            "Key": key,
            "Value": value,
            "Revision": self._revision,
            "Created": created,
            "Lease": lease,
        }
        self._items[key] = item
        self._history.append(item)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            deleted = {"Key": key, "Revision": self._revision, "Deleted": True}
            self._history.append(deleted)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            now_s = time.monotonic()
            for lease, (end_s, _) in list(self._leases.items()):
                if end_s < now_s:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self._items.items() if item["Lease"] == lease]:
            self._delete(key)
        await self._notify()

    async def _receive(
        self, connection: http_wire.Connection, request: http_wire.Message
    ) -> bool:
        method, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        fields = dict(parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/kv-watch":
            status, body = await self._watch(connection, fields)
        elif method == "GET":
            status, body = self._read(path, fields)
        else:
            content = json.loads(request.body) if request.body else {}
            status, body = await self._write(path, content)
        start = f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"
        headers = {"Content-Type": "application/json"}
        connection.send(http_wire.encode(start, headers, json.dumps(body).encode()))
        return True

    async def _watch(
        self, connection: http_wire.Connection, fields: dict[str, str]
    ) -> Reply:
        after, prefix = int(fields["after"]), fields["PathPrefix"]

        def found() -> list[dict[str, Any]]:
            return [
                change
                for change in self._history
                if change["Revision"] > after and change["Key"].startswith(prefix)
            ]

        self.waiting += 1
        try:
            async with asyncio.timeout(int(fields["WaitMs"]) / 1000), self._changed:
                await self._changed.wait_for(found)
        except TimeoutError:
            pass
        finally:
            self.waiting -= 1
        return 200, {"events": found(), "CurrentRev": self._revision}

    def _read(self, path: str, fields: dict[str, str]) -> Reply:
        if path == "/api/kv-key":
            item = self._items.get(fields["Key"])
            if item is None:
                return 404, {"CurrentRev": self._revision}
            return 200, {**item, "CurrentRev": self._revision}
        after = fields.get("after", "")
        keys = [key for key in self.keys(fields.get("PathPrefix", "")) if key > after]
        page = {
            "items": [self._items[key] for key in keys[:_PAGE_ITEMS]],
            "MorePages": len(keys) > _PAGE_ITEMS,
            "CurrentRev": self._revision,
        }
        return 200, page

    async def _write(self, path: str, content: dict[str, Any]) -> Reply:
        if path == "/api/kv-lease":
            lease, life_ms = next(self._lease_numbers), content["TtlMs"]
            self._leases[lease] = (time.monotonic() + life_ms / 1000, life_ms)
            return 200, {"Lease": lease, "TtlMs": life_ms}
        if path == "/api/kv-txn":
            return await self._transact(content)
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/api/kv-lease-end/"):
            await self._end_lease(lease)
            return 200, {}
        life_ms = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + life_ms / 1000, life_ms)
        return 200, {"TtlMs": life_ms}

    async def _transact(self, content: dict[str, Any]) -> Reply:
        for row in content.get("Expect", []):
            if self._items.get(row["Key"], {}).get("Revision", 0) != row["Revision"]:
                return 412, {"items": []}
        puts = content.get("Puts", [])
        if not {put.get("Lease", 0) for put in puts} - {0} <= set(self._leases):
            return 404, {}
        for key in content.get("Deletes", []):
            self._delete(key)
        for put in puts:
            self._put(put["Key"], put["Value"], put.get("Lease", 0))
        await self._notify()
        return 200, {"Revision": self._revision}
