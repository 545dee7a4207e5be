"""A small stand-in for a target, for the demo and the tests."""

from typing import NamedTuple

from amaranthpulley.state import keyspace, requests, searches, targets


class LeafFaults(NamedTuple):
    """What a stand-in does wrong, in milliseconds where it is a time."""

    delay_ms: int = 0
    lost: bool = False


class StandInLeaf:
    """A target with one shard of an index in one or more versions.

    Parameters
    ----------
    boot_id : str
        Changes with each restart.
    slots : int
        Requests that it runs at the same time; it sheds the rest.
    """

    def __init__(self, boot_id: str, slots: int) -> None:
        self.boot_id = boot_id
        self.slots = slots
        self.busy_slots = 0
        self.faults = LeafFaults()
        self.runs: list[str] = []
        self._parts: dict[int, searches.SearchPart] = {}

    @property
    def load(self) -> targets.TargetLoad:
        """The report that goes with each answer."""
        return targets.TargetLoad(
            self.boot_id, self.busy_slots, tuple(sorted(self._parts))
        )

    def hold(
        self, version: int, ranges: tuple[keyspace.KeyRange, ...], keys: list[str]
    ) -> None:
        """Load a version of the index with those of the keys that lie in the ranges."""
        held = keyspace.RangeSet(ranges)
        rows = [
            requests.Row(keyspace.position_of(key), key, f"{key} v{version}")
            for key in keys
            if keyspace.position_of(key) in held
        ]
        self._parts[version] = searches.SearchPart(version, ranges, tuple(sorted(rows)))

    def drop(self, version: int) -> None:
        """Forget a version of the index."""
        self._parts.pop(version, None)

    def search(
        self, query: str, key: str | None, version: int | None
    ) -> searches.SearchPart | None:
        """Return the rows whose key contains the query, None if the version is gone."""
        wanted = max(self._parts, default=None) if version is None else version
        part = self._parts.get(wanted)
        if part is None:
            return None
        rows = tuple(
            row
            for row in part.rows
            if query in row.key and (key is None or key == row.key)
        )
        return part._replace(rows=rows)

    def order(self, idempotency_key: str, payload: str) -> str:
        """Run an order and return its receipt."""
        self.runs.append(idempotency_key)
        return f"{payload} entered as number {len(self.runs)}"
