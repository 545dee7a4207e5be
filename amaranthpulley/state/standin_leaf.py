"""A small stand-in for a target, for the demo and the tests."""

import enum
from typing import NamedTuple

from amaranthpulley.state import requests, targets
from amaranthpulley.state.searches import keyspace, searches


class LeafFaults(NamedTuple):
    """Injected faults of a stand-in.

    Attributes
    ----------
    delay_ms : int
        Delay added to each request.
    lost : bool
        The stand-in accepts requests and never answers.
    """

    delay_ms: int = 0
    lost: bool = False


class ColdMode(NamedTuple):
    """How a stand-in behaves after a start until it is warm.

    Attributes
    ----------
    slots : int
        Requests that it runs concurrently; one more makes it crash.
    warm_after : int
        Requests that it finishes before it is warm.
    slowness : int
        Factor by which its work is slower.
    """

    slots: int = 1
    warm_after: int = 10
    slowness: int = 4


class AdmissionResult(enum.StrEnum):
    """Whether a stand-in runs an arriving request, sheds it, or crashes."""

    RUNS = "runs"
    SHEDS = "sheds"
    FALLS_OVER = "falls_over"


class StandInLeaf:
    """A target with one shard of an index in one or more versions.

    Parameters
    ----------
    boot_id : str
        Changes with each restart.
    slots : int
        Requests that it runs concurrently; it sheds the rest.

    Attributes
    ----------
    cold : ColdMode or None
        None once it is warm.
    poison : str
        A request whose text contains it crashes the target; empty for none.
    falls : int
        Number of crashes because it got more requests than its slots while cold.
    """

    def __init__(self, boot_id: str, slots: int) -> None:
        self.boot_id = boot_id
        self.slots = slots
        self.busy_slots = 0
        self.faults = LeafFaults()
        self.runs: list[str] = []
        self.cold: ColdMode | None = None
        self.poison = ""
        self.falls = 0
        self._restarts = 0
        self._finished_cold = 0
        self._parts: dict[int, searches.SearchPart] = {}

    @property
    def load(self) -> targets.TargetLoad:
        """The load report that each answer carries."""
        return targets.TargetLoad(
            self.boot_id, self.busy_slots, tuple(sorted(self._parts))
        )

    def hold(
        self, version: int, ranges: tuple[keyspace.KeyRange, ...], keys: list[str]
    ) -> None:
        """Load a version of the index with the keys that lie in the ranges."""
        held = keyspace.RangeSet(ranges)
        rows = [
            requests.Row(keyspace.position_of(key), key, f"{key} v{version}")
            for key in keys
            if keyspace.position_of(key) in held
        ]
        self._parts[version] = searches.SearchPart(version, ranges, tuple(sorted(rows)))

    def drop(self, version: int) -> None:
        """Unload a version of the index."""
        self._parts.pop(version, None)

    def restart(self, cold: ColdMode | None = None) -> None:
        """Restart with a new boot id, which loses all running requests."""
        self._restarts += 1
        self.boot_id = f"{self.boot_id.split('/')[0]}/{self._restarts}"
        self.busy_slots = 0
        self.cold = cold
        self._finished_cold = 0

    def begin(self) -> AdmissionResult:
        """Admit a request, shed it, or crash."""
        if self.cold is not None and self.busy_slots >= self.cold.slots:
            self.falls += 1
            self.restart(self.cold)
            return AdmissionResult.FALLS_OVER
        if self.busy_slots >= self.slots:
            return AdmissionResult.SHEDS
        self.busy_slots += 1
        return AdmissionResult.RUNS

    def crash_on(self, text: str) -> None:
        """Restart if the text of a running request contains the poison."""
        if self.poison and self.poison in text:
            self.restart()

    def work_ms(self, usual_ms: int) -> int:
        """Return the duration of a request in the current state."""
        slowness = 1 if self.cold is None else self.cold.slowness
        return usual_ms * slowness + self.faults.delay_ms

    def end(self, boot_id: str, finished: bool) -> bool:
        """Free the slot of a request; return False if it was lost in a restart.

        Parameters
        ----------
        boot_id : str
            The boot id when the request started.
        finished : bool
            False for a request that was cancelled or timed out.
        """
        if boot_id != self.boot_id:
            return False
        self.busy_slots -= 1
        if finished and self.cold is not None:
            self._finished_cold += 1
            if self._finished_cold >= self.cold.warm_after:
                self.cold = None
        return True

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
