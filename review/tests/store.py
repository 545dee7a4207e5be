"""A stand-in for the platform's store, for the cases of the review."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any, Final
from urllib import parse

from review.tests import http_text

PAGE_ITEMS: Final = 500
_SWEEP_S: Final = 0.1

Reply = tuple[int, dict[str, Any]]


class Access:
    """One address of the store, which may turn its callers away.

    Attributes
    ----------
    mode : str
        "open", "busy" (each call is answered 503) or "silent" (no call is answered).
    calls : list of (float, str)
        Time, method and target of each call.
    """

    def __init__(self) -> None:
        self.mode = "open"
        self.address = ""
        self.calls: list[tuple[float, str]] = []
        self.server: asyncio.Server | None = None
        # Set by each call.
        self.called = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()

    def cut_calls(self) -> None:
        """Reset the connections, also those of waiting watches."""
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """A store on one or more addresses."""

    def __init__(self) -> None:
        self.accesses: list[Access] = []
        self.revision = 1
        # Changes up to here are no longer in the history.
        self.dropped_revision = 0
        self.items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, int]] = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self._sweeper: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open_access(self, ip: str) -> Access:
        """Listen on a free port of an address."""
        access = Access()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(access, reader, writer)

        access.server = await asyncio.start_server(serve, ip, 0)
        host, port = access.server.sockets[0].getsockname()
        access.address = f"{host}:{port}"
        self.accesses.append(access)
        if self._sweeper is None:
            self._sweeper = asyncio.create_task(self._sweep())
        return access

    def set_mode(self, mode: str) -> None:
        """Set the mode of all addresses."""
        for access in self.accesses:
            access.mode = mode

    def close(self) -> None:
        """Stop listening and reset all connections."""
        for access in self.accesses:
            access.server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._sweeper.cancel()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write an item; return its revision."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(raw).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            change = {"Key": key, "Revision": self.revision, "Deleted": True}
            self._note(change)

    def _note(self, change: dict[str, Any]) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            now_s = time.monotonic()
            for lease, (ends_s, _) in list(self._leases.items()):
                if ends_s < now_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
            self.delete(key)

    async def _serve(
        self,
        access: Access,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        access.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (request := await http_text.read_message(reader)) is not None:
                access.calls.append((time.monotonic(), request.start))
                access.called.set()
                lost = access.mode == "silent"
                status, answer = 503, {}
                if access.mode == "open":
                    status, answer = await self._answer(request)
                if lost or access.mode == "silent":
                    # Nothing more comes on this connection.
                    await reader.read()
                    break
                head = {"Content-Type": "application/json"}
                body = json.dumps(answer).encode()
                writer.write(http_text.encode(f"HTTP/1.1 {status} S", head, body))
                await writer.drain()
        self._writers.discard(writer)
        access.writers.discard(writer)
        writer.close()

    async def _answer(self, request: http_text.Message) -> Reply:
        path, _, query = request.target.partition("?")
        fields = dict(parse.parse_qsl(query))
        if path == "/api/kv-watch":
            return await self._watch(int(fields["after"]), int(fields["WaitMs"]))
        if path == "/api/kv-range":
            return self._range(fields)
        if path == "/api/kv-key":
            found = self.items.get(fields["Key"])
            return (404, {}) if found is None else (200, found)
        body = json.loads(request.body) if request.body else {}
        if path == "/api/kv-txn":
            return self._transact(body)
        if path == "/api/kv-lease":
            return self._grant(body["TtlMs"])
        return self._use_lease(path)

    def _range(self, fields: dict[str, str]) -> Reply:
        prefix, after = fields.get("PathPrefix", ""), fields.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        found = [self.items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": found, "MorePages": more, "CurrentRev": self.revision}

    async def _watch(self, after: int, wait_ms: int) -> Reply:
        changed = self._changed
        if after < self.dropped_revision:
            return 410, {}
        if after >= self.revision:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_ms / 1000)
        found = [change for change in self._history if change["Revision"] > after]
        return 200, {"events": found, "CurrentRev": self.revision}

    def _transact(self, body: dict[str, Any]) -> Reply:
        expected = body.get("Expect") or []
        current = [self.items.get(row["Key"]) for row in expected]
        for row, item in zip(expected, current, strict=True):
            if row["Revision"] != (item["Revision"] if item else 0):
                return 412, {"items": [item for item in current if item]}
        used = {put.get("Lease", 0) for put in body.get("Puts") or []} - {0}
        if not used <= set(self._leases):
            return 404, {}
        for key in body.get("Deletes") or []:
            self.delete(key)
        for put in body.get("Puts") or []:
            self.put(put["Key"], base64.b64decode(put["Value"]), put.get("Lease", 0))
        return 200, {"Revision": self.revision}

    def _grant(self, ttl_ms: int) -> Reply:
        self._next_lease += 1
        self._leases[self._next_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"Lease": self._next_lease, "TtlMs": ttl_ms}

    def _use_lease(self, path: str) -> Reply:
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/api/kv-lease-end/"):
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"TtlMs": ttl_ms}
