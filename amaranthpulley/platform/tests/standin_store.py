"""A stand-in for the part of the platform's store that this system uses."""

import base64
import collections
import json
from typing import Any, Final, NamedTuple
from urllib import parse

import eventlet.hubs

from amaranthpulley.platform import names
from amaranthpulley.protocol.forwarding import client_answers, client_requests
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state.forwarding import requests
from amaranthpulley.transport.forwarding import client_connections

PAGE_ITEMS: Final = 50
# Path on which a test configures the stand-in.
CONTROL_PATH: Final = "/control"
_JSON: Final = ((b"Content-Type", b"application/json"),)

Reply = tuple[int, dict[str, Any]]


class StoreCopy(NamedTuple):
    """All that the store holds at a moment."""

    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    revision: int
    dropped_revision: int
    leases: dict[int, tuple[int, int]]


class StandInStore:
    """A store on one address.

    Parameters
    ----------
    clock : Clock
        Source of time.
    address : str
        ``IP:port``; port 0 selects a free port.
    """

    def __init__(self, clock: clock_state.Clock, address: str = "127.0.0.1:0") -> None:
        self._now_ms = clock.monotonic_ms
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._dropped_revision = 0
        self._revision = 1
        self._leases: dict[int, tuple[int, int]] = {}
        self._next_lease = 100
        self._watches: list[tuple[Any, Any, int]] = []
        # Rises by one whenever the store comes back from a copy.
        self._era = 1
        self._kept_copy: StoreCopy | None = None
        self.calls: collections.Counter[str] = collections.Counter()
        # Status of every answer; 0 for no answers, None for normal operation.
        self.failing: int | None = None
        handler = client_connections.Handler(self._receive, self._forget)
        self._server = client_connections.HttpServer(address, clock, handler)
        self._sweep()

    @property
    def address(self) -> str:
        """The ``IP:port`` that it listens on."""
        return self._server.address

    def put(self, key: str, value: dict[str, Any] | bytes, lease: int = 0) -> None:
        """Write an item, as operators and leaves do."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        item = {
            "Key": key,
            "Value": base64.b64encode(raw).decode(),
            "Revision": self._revision,
            "Created": self._revision,
            "Lease": lease,
        }
        self._items[key] = item
        self._record_change(item)

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._record_change(
                {"Key": key, "Revision": self._revision, "Deleted": True}
            )

    def drop_history(self) -> None:
        """Drop the history, so that watches from older revisions fail."""
        self._history.clear()
        self._dropped_revision = self._revision

    def copy(self) -> StoreCopy:
        """Return a copy of all that the store holds."""
        return StoreCopy(
            dict(self._items),
            list(self._history),
            self._revision,
            self._dropped_revision,
            dict(self._leases),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; what was written since is lost."""
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._revision = copy.revision
        self._dropped_revision = copy.dropped_revision
        self._leases = dict(copy.leases)
        self._era += 1
        waiting, self._watches = self._watches, []
        for connection, _, _ in waiting:
            self._answer(connection, (410, {}))

    def end_leases(self) -> None:
        """End every lease and delete its keys."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def keys(self) -> list[str]:
        """Return the keys in ascending order."""
        return sorted(self._items)

    def _record_change(self, change: dict[str, Any]) -> None:
        self._history.append(change)
        waiting, self._watches = self._watches, []
        for connection, _, after in waiting:
            self._answer(connection, self._changes(after))

    def _receive(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
    ) -> None:
        path, _, query = request.target.decode().partition("?")
        fields = dict(parse.parse_qsl(query, keep_blank_values=True))
        self.calls[path] += 1
        if path == CONTROL_PATH:
            self._answer(connection, self._control(json.loads(request.body)))
            return
        if self.failing == 0:
            return
        if self.failing is not None:
            self._answer(connection, (self.failing, {}))
        elif path == names.WATCH_PATH:
            self._watch(connection, request, fields)
        else:
            body = json.loads(request.body) if request.body else {}
            self._answer(connection, self._handle(path, fields, body))

    def _control(self, command: dict[str, Any]) -> Reply:
        if "put" in command:
            self.put(command["put"], command["value"])
        if "delete" in command:
            self.delete(command["delete"])
        if "failing" in command:
            self.failing = command["failing"]
        if command.get("drop_history"):
            self.drop_history()
        if command.get("copy"):
            self._kept_copy = self.copy()
        if command.get("restore") and self._kept_copy is not None:
            self.restore(self._kept_copy)
        return 200, {"keys": self.keys()}

    def _handle(self, path: str, fields: dict[str, str], body: Any) -> Reply:
        if path == names.RANGE_PATH:
            return self._range(fields)
        if path == names.TRANSACTION_PATH:
            current = [self._items.get(row["Key"]) for row in body["Expect"]]
            for row, item in zip(body["Expect"], current, strict=True):
                if row["Revision"] != (item["Revision"] if item else 0):
                    return 412, {"items": [item for item in current if item]}
            used = {put.get("Lease", 0) for put in body["Puts"]} - {0}
            if not used <= set(self._leases):
                return 404, {}
            for key in body["Deletes"]:
                self.delete(key)
            for put in body["Puts"]:
                raw = base64.b64decode(put["Value"])
                self.put(put["Key"], raw, put.get("Lease", 0))
            return 200, {"Revision": self._revision}
        if path == names.LEASE_PATH:
            self._next_lease += 1
            ends_ms = self._now_ms() + body["TtlMs"]
            self._leases[self._next_lease] = (ends_ms, body["TtlMs"])
            return 200, {"Lease": self._next_lease, "TtlMs": body["TtlMs"]}
        lease = int(path.rpartition("/")[2] or 0)
        if lease not in self._leases:
            return 404, {}
        if path.startswith(names.END_LEASE_PATH):
            self._end_lease(lease)
            return 200, {}
        life_ms = self._leases[lease][1]
        self._leases[lease] = (self._now_ms() + life_ms, life_ms)
        return 200, {"TtlMs": life_ms}

    def _range(self, fields: dict[str, str]) -> Reply:
        prefix, after = fields.get("PathPrefix", ""), fields.get("after", "")
        found = [
            self._items[key]
            for key in self.keys()
            if key.startswith(prefix) and key > after
        ]
        more = len(found) > PAGE_ITEMS
        page = {
            "items": found[:PAGE_ITEMS],
            "MorePages": more,
            "CurrentRev": self._revision,
        }
        return 200, page

    def _watch(
        self,
        connection: Any,
        request: Any,
        fields: dict[str, str],
    ) -> None:
        after = int(fields["after"])
        if after < self._dropped_revision or after > self._revision:
            self._answer(connection, (410, {}))
        elif after < self._revision:
            self._answer(connection, self._changes(after))
        else:
            waiting = (connection, request, after)
            self._watches.append(waiting)
            eventlet.hubs.get_hub().schedule_call_global(
                int(fields["WaitMs"]) / 1000, self._time_out, waiting
            )

    def _time_out(self, waiting: tuple[Any, Any, int]) -> None:
        if waiting in self._watches:
            self._watches.remove(waiting)
            self._answer(waiting[0], self._changes(waiting[2]))

    def _forget(self, connection: client_connections.ClientConnection) -> None:
        self._watches = [w for w in self._watches if w[0] is not connection]

    def _changes(self, after: int) -> Reply:
        found = [change for change in self._history if change["Revision"] > after]
        return 200, {"events": found, "CurrentRev": self._revision}

    def _answer(self, connection: Any, reply: Reply) -> None:
        status, body = reply
        raw = json.dumps(body).encode()
        headers = (*_JSON, (b"Store-Era", b"%d" % self._era))
        answer = requests.LeafAnswer(status, headers, raw, b"", False, False, None)
        connection.answer(client_answers.encode_forwarded(answer, False, False), False)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self._items.items() if item["Lease"] == lease]:
            self.delete(key)

    def _sweep(self) -> None:
        now_ms = self._now_ms()
        for lease, (ends_ms, _) in list(self._leases.items()):
            if ends_ms < now_ms:
                self._end_lease(lease)
        eventlet.hubs.get_hub().schedule_call_global(0.2, self._sweep)
