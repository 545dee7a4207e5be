"""Calls to the platform's store."""

import base64
import logging
from typing import Any, Final, NotRequired, TypedDict
from urllib import parse

import urllib3

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.platform import entries, names
from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import json_codec
from amaranthpulley.transport import errors, http_connections
from amaranthpulley.transport.forwarding import feed

# A call takes 4 ms, and 240 ms where the store is 60 times slower. In milliseconds.
CALL_TIMEOUT_MS: Final = 1_000
MAXIMUM_IDLE: Final = 2
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_LOGGER: Final = logging.getLogger("amaranthpulley.platform")


class _Item(TypedDict):
    Key: str
    Value: NotRequired[str]
    Deleted: NotRequired[bool]


class _Range(TypedDict):
    items: list[_Item]
    MorePages: bool
    CurrentRev: int


class _Changes(TypedDict):
    events: list[_Item]
    CurrentRev: int


class _Lease(TypedDict):
    Lease: int


class Store:
    """One daemon's connections to the store.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    registration_key : str
        Key of this daemon's registration.
    registration : bytes
        Its value.
    """

    def __init__(
        self, address: str, registration_key: str, registration: bytes
    ) -> None:
        self._pool = http_connections.connection_pool(address, MAXIMUM_IDLE)
        self._key = registration_key
        self._value = base64.b64encode(registration).decode()
        self._lease: int | None = None

    def as_source(self) -> feed.Source:
        """Return the calls as the product makes them."""
        return feed.Source(
            self.read_all, self.watch, self.register, self.renew, self.unregister
        )

    def read_all(self) -> feed.Listing:
        """Read every item, page by page."""
        found: list[events.Event] = []
        after, revision = "", None
        while True:
            query = {"PathPrefix": "", "after": after} if after else {"PathPrefix": ""}
            body = self._call("GET", names.RANGE_PATH, query)
            page = json_codec.decode(body, _Range)
            if revision is None:
                revision = page["CurrentRev"]
            found += _events_of(page["items"])
            if not page["MorePages"] or not page["items"]:
                break
            after = page["items"][-1]["Key"]
        return feed.Listing((*found, entries.listed(found)), revision)

    def watch(self, revision: int, wait_ms: int) -> feed.Changes | None:
        """Wait for changes after a revision."""
        query = {"PathPrefix": "", "after": revision, "WaitMs": wait_ms}
        timeout_ms = wait_ms + feed.WATCH_MARGIN_MS
        status, body = self._send("GET", names.WATCH_PATH, query, None, timeout_ms)
        if status == _GONE:
            return None
        if status != _OK:
            raise errors.PlatformUnreachableError(f"watch: status {status}")
        changes = json_codec.decode(body, _Changes)
        return feed.Changes(tuple(_events_of(changes["events"])), changes["CurrentRev"])

    def register(self, life_ms: int) -> None:
        """Enter this daemon under a new lease."""
        body = self._call("POST", names.LEASE_PATH, {}, {"TtlMs": life_ms})
        self._lease = json_codec.decode(body, _Lease)["Lease"]
        put = {"Key": self._key, "Value": self._value, "Lease": self._lease}
        change = {"Expect": [], "Puts": [put], "Deletes": []}
        self._call("POST", names.TRANSACTION_PATH, {}, change)

    def renew(self) -> bool:
        """Renew the lease; False when it has ended."""
        if self._lease is None:
            return False
        path = f"{names.RENEW_PATH}{self._lease}"
        status, _ = self._send("POST", path, {}, None, CALL_TIMEOUT_MS)
        if status not in (_OK, _NOT_FOUND):
            raise errors.PlatformUnreachableError(f"renewal: status {status}")
        return status == _OK

    def unregister(self) -> None:
        """End the lease, and the registration with it."""
        if self._lease is not None:
            path = f"{names.END_LEASE_PATH}{self._lease}"
            self._send("DELETE", path, {}, None, CALL_TIMEOUT_MS)

    def _call(
        self, method: str, path: str, query: dict[str, Any], body: object = None
    ) -> bytes:
        status, answer = self._send(method, path, query, body, CALL_TIMEOUT_MS)
        if status != _OK:
            raise errors.PlatformUnreachableError(f"{path}: status {status}")
        return answer

    def _send(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: object,
        timeout_ms: int,
    ) -> tuple[int, bytes]:
        target = f"{path}?{parse.urlencode(query)}" if query else path
        headers = {"Content-Type": "application/json"}
        try:
            response = self._pool.urlopen(
                method,
                target,
                body=None if body is None else json_codec.encode(body),
                headers=headers if body is not None else {},
                timeout=urllib3.Timeout(total=timeout_ms / 1000),
                retries=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.PlatformUnreachableError(
                f"{path}: {type(error).__name__}"
            ) from error
        return response.status, response.data


def _events_of(items: list[_Item]) -> list[events.Event]:
    found = [_event_of(item) for item in items]
    return [event for event in found if event is not None]


def _event_of(item: _Item) -> events.Event | None:
    key = item["Key"]
    try:
        value = None if item.get("Deleted") else base64.b64decode(item["Value"])
        return entries.event_of(key, value)
    except (protocol_errors.ProtocolError, ValueError, KeyError) as error:
        # Other writers may leave anything there; the rest of the items holds.
        _LOGGER.warning("item %s of the store cannot be read: %s", key, error)
        return entries.unreadable(key)
