"""What a daemon has learnt of each target from the target's own answers."""

from collections.abc import Iterable
from typing import NamedTuple

from amaranthpulley.state import keyspace


class TargetLoad(NamedTuple):
    """A target's report of itself, carried by each of its answers.

    Attributes
    ----------
    boot_id : str
        Changes whenever the target restarts.
    busy_slots : int
        Requests that it runs at the moment.
    versions : tuple of int
        Index versions that it can answer from, in ascending order.
    """

    boot_id: str
    busy_slots: int
    versions: tuple[int, ...]


class TargetState:
    """The view of one target.

    Attributes
    ----------
    in_flight : int
        Attempts that this daemon has sent and that have not ended.
    load : TargetLoad or None
        The target's last report.
    ranges : dict of int to tuple of KeyRange
        The parts of the key space that it searched, by index version.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.load: TargetLoad | None = None
        self.ranges: dict[int, tuple[keyspace.KeyRange, ...]] = {}

    @property
    def versions(self) -> tuple[int, ...]:
        """Index versions that the target last reported."""
        return self.load.versions if self.load else ()


class TargetTable:
    """The view of every target, by name."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self.versions_revision = 0

    def of(self, name: str) -> TargetState:
        """Return the view of a target, a fresh one when it was never seen."""
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = TargetState()
        return state

    def forget(self, name: str) -> None:
        """Drop the view of a target."""
        self._states.pop(name, None)

    def report(self, name: str, load: TargetLoad) -> None:
        """Enter a target's report of itself."""
        state = self.of(name)
        if state.versions != load.versions:
            # Whoever keeps something derived from the versions compares the revision.
            self.versions_revision = self.versions_revision + 1
            state.ranges = {
                version: ranges
                for version, ranges in state.ranges.items()
                if version in load.versions
            }
        state.load = load

    def newest_versions(self, names: Iterable[str]) -> list[int]:
        """Return the versions that any of the targets reported, newest first."""
        return sorted({v for n in names for v in self.of(n).versions}, reverse=True)
