"""HTTP client of the platform's store."""

import base64
from typing import Any, Final, NamedTuple, NotRequired, TypedDict, TypeVar
from urllib import parse

import urllib3

from amaranthpulley.coordination.forwarding import commands, store_watchers
from amaranthpulley.platform import client_accounts, entries, names, rollout_items
from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import json_codec
from amaranthpulley.state import store
from amaranthpulley.state.forwarding import crashes
from amaranthpulley.transport import errors, http_connections
from amaranthpulley.transport.forwarding import (
    loss_publisher,
    rollout_publisher,
    store_feed,
    store_view,
)

# A call takes 4 ms, or 240 ms when the store is 60 times slower.
CALL_TIMEOUT_MS: Final = 1_000
MAXIMUM_IDLE_CONNECTIONS: Final = 2
# A page of a listing holds about a megabyte, and more if a single value is larger.
MAXIMUM_ANSWER_BYTES: Final = 16_777_216
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410
_CONDITION_FAILED: Final = 412
_Wire = TypeVar("_Wire")


class _Item(TypedDict):
    """A written item, or the deletion of its key."""

    Key: str
    Revision: int
    Value: NotRequired[str]
    Lease: NotRequired[int]
    Deleted: NotRequired[bool]


class _Range(TypedDict):
    """A page of a listing."""

    items: list[_Item]
    MorePages: bool
    CurrentRev: int


class _Changes(TypedDict):
    """The answer to a watch."""

    events: list[_Item]
    CurrentRev: int


class _Lease(TypedDict):
    """The answer to a request for a lease."""

    Lease: int


class _Answer(NamedTuple):
    """An answer of the store.

    Attributes
    ----------
    era : int
        Era of the store when it answered; 0 if it names none.
    """

    status: int
    body: bytes
    era: int


class StoreClient:
    """Calls of one daemon to the store, and its registration there.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    registration_key : str
        Key of this daemon's registration.
    registration : bytes
        Value of that key.
    """

    def __init__(
        self, address: str, registration_key: str, registration: bytes
    ) -> None:
        self._pool = http_connections.connection_pool(address, MAXIMUM_IDLE_CONNECTIONS)
        self._key = registration_key
        self._registration = registration
        # Latest era that the store has named.
        self._era = 0
        self._lease: int | None = None

    def as_store_calls(self) -> store_feed.StoreCalls:
        """Return the calls that `StoreFeed` uses."""
        return store_feed.StoreCalls(
            self.read_all,
            self.watch,
            self.register,
            self.renew,
            self.publish_grants,
            self.unregister,
            loss_publisher.LossCalls(self.grant_lease, self.write_losses),
            rollout_publisher.RolloutCalls(self.write_step, self.read_rollout),
            entries.decode,
        )

    def read_all(self, timeout_ms: int) -> store_view.Listing:
        """Read all items page by page; `timeout_ms` applies to each page."""
        changes: list[store.Change] = []
        after, revision = "", None
        while True:
            query = {"PathPrefix": "", "after": after} if after else {"PathPrefix": ""}
            answer = self._send("GET", names.RANGE_PATH, query, None, timeout_ms)
            if answer.status != _OK:
                raise errors.PlatformUnreachableError(
                    f"listing: status {answer.status}"
                )
            page = _decode(answer.body, _Range)
            if revision is None:
                # Later pages may hold newer items, so the watch starts at this one.
                revision = store.revision_in(answer.era, page["CurrentRev"])
            if answer.era != store.era_of(revision):
                raise errors.PlatformUnreachableError("listing: the store was restored")
            changes += [_change_of(answer.era, item) for item in page["items"]]
            self._adopt_lease(page["items"])
            if not page["MorePages"] or not page["items"]:
                return store_view.Listing(tuple(changes), revision)
            after = page["items"][-1]["Key"]

    def watch(self, revision: int, wait_ms: int) -> store.Changes | None:
        """Wait for changes after a revision."""
        number = store.number_of(revision)
        query = {"PathPrefix": "", "after": number, "WaitMs": wait_ms}
        timeout_ms = wait_ms + store_watchers.READ_TIMEOUT_MS
        answer = self._send("GET", names.WATCH_PATH, query, None, timeout_ms)
        if answer.status == _GONE:
            return None
        if answer.status != _OK:
            raise errors.PlatformUnreachableError(f"watch: status {answer.status}")
        if answer.era != store.era_of(revision):
            return None
        page = _decode(answer.body, _Changes)
        changes = tuple(_change_of(answer.era, item) for item in page["events"])
        following = store.revision_in(answer.era, page["CurrentRev"])
        return store.Changes(changes, following)

    def _adopt_lease(self, items: list[_Item]) -> None:
        """Continue the registration of this daemon's previous life, if it is there."""
        own = entries.without_grants(self._registration)
        for item in items:
            if item["Key"] == self._key:
                if entries.without_grants(_bytes_of(item)) == own:
                    self._lease = self._lease or item.get("Lease") or None

    def register(self, life_ms: int) -> None:
        """Register this daemon under a new lease."""
        # A lease without a written registration must not be renewed as one.
        self._lease = None
        lease = self.grant_lease(life_ms)
        era = self._era
        if not self._write(self._registration, lease):
            raise errors.PlatformUnreachableError("registration: the lease has ended")
        self._lease = lease if self._era == era else None

    def publish_grants(self) -> bool:
        """Write the right to grant tokens under the lease; False if that has ended."""
        if self._lease is None:
            return False
        value = entries.with_grants(self._registration, self._era)
        return self._write(value, self._lease)

    def _write(self, registration: bytes, lease: int) -> bool:
        value = base64.b64encode(registration).decode()
        put = {"Key": self._key, "Value": value, "Lease": lease}
        change = {"Expect": [], "Puts": [put], "Deletes": []}
        path = names.TRANSACTION_PATH
        status = self._send("POST", path, {}, change, CALL_TIMEOUT_MS).status
        if status not in (_OK, _NOT_FOUND):
            raise errors.PlatformUnreachableError(f"registration: status {status}")
        return status == _OK

    def renew(self) -> bool:
        """Renew the lease; return False when there is none or it has expired.

        A lease that was renewed by a store that has just come back from a copy may be
        another daemon's, or that of a registration that had ended.
        """
        if self._lease is None:
            return False
        path = f"{names.RENEW_PATH}{self._lease}"
        status = self._send("POST", path, {}, None, CALL_TIMEOUT_MS).status
        if status not in (_OK, _NOT_FOUND):
            raise errors.PlatformUnreachableError(f"renewal: status {status}")
        return status == _OK and self._lease is not None

    def unregister(self) -> None:
        """End the lease, which deletes the registration."""
        if self._lease is not None:
            path = f"{names.END_LEASE_PATH}{self._lease}"
            self._send("DELETE", path, {}, None, CALL_TIMEOUT_MS)

    def grant_lease(self, life_ms: int) -> int:
        """Return a new lease."""
        body = self._post(names.LEASE_PATH, {"TtlMs": life_ms})
        return _decode(body, _Lease)["Lease"]

    def write_losses(
        self,
        published: tuple[crashes.Loss, ...],
        withdrawn: tuple[crashes.Loss, ...],
        lease: int,
    ) -> bool:
        """Publish losses under a lease, and remove others; False if it has ended."""
        value = base64.b64encode(self._key.encode()).decode()
        puts = [
            {"Key": entries.loss_key(loss), "Value": value, "Lease": lease}
            for loss in published
        ]
        deletes = [entries.loss_key(loss) for loss in withdrawn]
        change = {"Expect": [], "Puts": puts, "Deletes": deletes}
        path = names.TRANSACTION_PATH
        status = self._send("POST", path, {}, change, CALL_TIMEOUT_MS).status
        if status not in (_OK, _NOT_FOUND):
            raise errors.PlatformUnreachableError(f"losses: status {status}")
        return status == _OK

    def write_step(self, command: commands.WriteRolloutStep) -> bool:
        """Write a step under its conditions; False if an item has changed.

        Any other answer, and none, leave open whether it is written.
        """
        change = rollout_items.encode(command)
        path = names.TRANSACTION_PATH
        status = self._send("POST", path, {}, change, CALL_TIMEOUT_MS).status
        if status not in (_OK, _CONDITION_FAILED):
            raise errors.PlatformUnreachableError(f"roll-out: status {status}")
        return status == _OK

    def read_rollout(self, service: str) -> tuple[store.Change, ...]:
        """Return the items of a service's roll-out, in ascending order of revision."""
        found: list[store.Change] = []
        for key in rollout_items.keys_of(service):
            query = {"PathPrefix": key}
            answer = self._send("GET", names.RANGE_PATH, query, None, CALL_TIMEOUT_MS)
            if answer.status != _OK:
                raise errors.PlatformUnreachableError(
                    f"roll-out: status {answer.status}"
                )
            page = _decode(answer.body, _Range)
            # Other services may have names that begin with this one.
            found += [
                _change_of(answer.era, item)
                for item in page["items"]
                if item["Key"] == key
            ]
        return tuple(sorted(found, key=lambda change: change.revision))

    def _post(self, path: str, body: object) -> bytes:
        answer = self._send("POST", path, {}, body, CALL_TIMEOUT_MS)
        if answer.status != _OK:
            raise errors.PlatformUnreachableError(f"{path}: status {answer.status}")
        return answer.body

    def _send(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: object,
        timeout_ms: int,
    ) -> _Answer:
        target = f"{path}?{parse.urlencode(query)}" if query else path
        headers = {"Content-Type": "application/json"}
        try:
            answer = http_connections.call(
                self._pool,
                method,
                target,
                timeout_ms,
                MAXIMUM_ANSWER_BYTES,
                None if body is None else json_codec.encode(body),
                headers if body is not None else {},
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.PlatformUnreachableError(
                f"{path}: {type(error).__name__}"
            ) from error
        text = answer.headers.get(names.ERA_HEADER, "")
        era = int(text) if text.isascii() and text.isdigit() else 0
        if era > self._era:
            # The store may have lost the lease, or have given it to another daemon.
            self._era = era
            self._lease = None
        return _Answer(answer.status, answer.body, era)


def _decode(body: bytes, kind: type[_Wire]) -> _Wire:
    try:
        return json_codec.decode(body, kind)
    except protocol_errors.MalformedMessageError as error:
        raise errors.PlatformUnreachableError(f"unreadable answer: {error}") from error


def _change_of(era: int, item: _Item) -> store.Change:
    value = None if item.get("Deleted") else _bytes_of(item)
    if value is not None and item["Key"] == names.CONFIGURATION_KEY:
        value = client_accounts.without_keys(value)
    revision = store.revision_in(era, item["Revision"])
    return store.Change(item["Key"], revision, value)


def _bytes_of(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.get("Value", ""), validate=True)
    except ValueError:
        # An empty value is never valid, so the item is reported as unreadable.
        return b""
