"""A small stand-in for the platform's key-value store, for the demo and the tests."""

from amaranthpulley.state import store


class StandInStore:
    """An in-memory store with revisions, leases and changes.

    The caller passes the time with each call.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.calls = 0
        self._values: dict[str, store.Value] = {}
        self._changes: dict[str, store.Change] = {}
        self._lease_ends: dict[str, int] = {}
        self._lease_ttls: dict[str, int] = {}
        self._lease_keys: dict[str, set[str]] = {}

    def call(self, operation: store.Operation, now_ms: int) -> store.Result:
        """Perform an operation; a watch returns at once, even without a change."""
        self.calls += 1
        self.expire_leases(now_ms)
        if isinstance(operation, store.Get):
            return self._values.get(operation.key, store.Value(None, 0))
        if isinstance(operation, store.ListKeys):
            return self._list(operation)
        if isinstance(operation, store.Swap):
            return self._swap(operation)
        if isinstance(operation, store.Watch):
            return self.changes(operation)
        return self._lease(operation, now_ms)

    def changes(self, watch: store.Watch) -> store.Changes:
        """Return what changed under a prefix after a revision."""
        found = [
            change
            for key, change in self._changes.items()
            if key.startswith(watch.prefix) and change.revision > watch.after_revision
        ]
        ordered = sorted(found, key=lambda change: change.revision)
        return store.Changes(tuple(ordered), self.revision)

    def expire_leases(self, now_ms: int) -> None:
        """Remove the expired leases and their keys."""
        for lease_id, end_ms in list(self._lease_ends.items()):
            if end_ms <= now_ms:
                self._drop_lease(lease_id)

    def _list(self, operation: store.ListKeys) -> store.Keys:
        keys = sorted(
            key
            for key in self._values
            if key.startswith(operation.prefix) and key > operation.after
        )
        return store.Keys(tuple(keys[: operation.limit]), self.revision)

    def _swap(self, swap: store.Swap) -> store.Result:
        present = self._values.get(swap.key, store.Value(None, 0))
        if present.revision != swap.expected_revision:
            return store.Swapped(False, present.revision)
        if swap.lease_id is not None and swap.lease_id not in self._lease_ends:
            return store.StoreFailed("the lease has lapsed", unknown=False)
        for keys in self._lease_keys.values():
            keys.discard(swap.key)
        self._write(swap.key, swap.value)
        if swap.lease_id is not None:
            self._lease_keys[swap.lease_id].add(swap.key)
        return store.Swapped(True, self.revision)

    def _write(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        self._changes[key] = store.Change(key, self.revision, value)
        if value is None:
            self._values.pop(key, None)
        else:
            self._values[key] = store.Value(value, self.revision)

    def _lease(self, operation: store.Operation, now_ms: int) -> store.LeaseState:
        lease_id = operation.lease_id
        if isinstance(operation, store.GrantLease):
            self._lease_ttls[lease_id] = operation.ttl_ms
            self._lease_keys.setdefault(lease_id, set())
        elif lease_id not in self._lease_ends:
            return store.LeaseState(False, 0)
        if isinstance(operation, store.RevokeLease):
            self._drop_lease(lease_id)
            return store.LeaseState(False, 0)
        ttl_ms = self._lease_ttls[lease_id]
        self._lease_ends[lease_id] = now_ms + ttl_ms
        return store.LeaseState(True, ttl_ms)

    def _drop_lease(self, lease_id: str) -> None:
        del self._lease_ends[lease_id]
        del self._lease_ttls[lease_id]
        for key in sorted(self._lease_keys.pop(lease_id)):
            if key in self._values:
                self._write(key, None)
