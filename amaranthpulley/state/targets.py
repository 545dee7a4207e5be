"""State of each target, as observed by this daemon and reported by the target."""

from typing import NamedTuple

from amaranthpulley.state.searches import keyspace


class TargetLoad(NamedTuple):
    """A target's load report, which each of its answers carries.

    Attributes
    ----------
    boot_id : str
        Changes whenever the target restarts.
    busy_slots : int
        Requests that it is running.
    versions : tuple of int
        Index versions that it can answer from, in ascending order.
    """

    boot_id: str
    busy_slots: int
    versions: tuple[int, ...]


class ColdStart(NamedTuple):
    """Progress of a target that is cold, or suspected to be, until it is warm.

    Attributes
    ----------
    since_ms : int
        Reading of the monotonic clock when the cold start was detected.
    suspected : bool
        True while it is only known that the target did not answer; an answer with
        the old boot id clears the suspicion.
    lost : bool
        The target has not answered this daemon since its connections failed.
    limit : int
        Concurrent attempts that the daemon responsible for the target may send.
    fast_answers : int
        Attempts answered at this limit as fast as by a warm target.
    answered : int
        Attempts answered at this limit.
    failures : int
        Attempts that were not answered.
    """

    since_ms: int
    suspected: bool
    lost: bool = False
    limit: int = 1
    fast_answers: int = 0
    answered: int = 0
    failures: int = 0


class TargetState:
    """The state of one target.

    Attributes
    ----------
    in_flight : int
        Attempts that this daemon has sent and that have not ended.
    load : TargetLoad or None
        The target's last report.
    reported_ms : int
        When that report arrived.
    ranges : dict of int to tuple of KeyRange
        The parts of the key space that it searched, by index version.
    latency_ms : float
        Moving average of its answers' latencies; 0 before the first answer.
    latency_at_ms : int
        When the last latency was observed.
    slots : int or None
        Concurrent attempts that it accepts from this daemon; None while unknown.
    full_at : int or None
        Busy slots at which it refused; None while it has not refused.
    refusals : int
        Refusals since its last answer.
    probe_at_ms : int
        When one more attempt may be tried.
    cold_wanted_ms : int
        When a search last considered it while it was cold.
    slow_answers : int
        Consecutive answers that took far longer than the average.
    was_out_of_service : bool
        The configuration kept work from it at the last check.
    has_answered : bool
        It has answered this daemon.
    boot_id : str
        The last known boot id, from the target or from a peer; empty for none.
    cold : ColdStart or None
        None while it is considered warm.
    cold_fact_value : int
        Value of the last `TARGET_COLD` fact that was applied.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.load: TargetLoad | None = None
        self.reported_ms = 0
        self.ranges: dict[int, tuple[keyspace.KeyRange, ...]] = {}
        self.latency_ms = 0.0
        self.latency_at_ms = 0
        self.slots: int | None = None
        self.full_at: int | None = None
        self.refusals = 0
        self.probe_at_ms = 0
        self.cold_wanted_ms = 0
        self.slow_answers = 0
        self.was_out_of_service = False
        self.boot_id = ""
        self.has_answered = False
        self.cold: ColdStart | None = None
        self.cold_fact_value = 0

    @property
    def versions(self) -> tuple[int, ...]:
        """Index versions that the target last reported."""
        return self.load.versions if self.load else ()


class TargetTable:
    """The state of every target, by name.

    Attributes
    ----------
    facts_read_ms : int
        Reading of the monotonic clock when the peers' facts were last applied.
    """

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self.facts_read_ms = 0

    def of(self, name: str) -> TargetState:
        """Return the state of a target, creating it on first use."""
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = TargetState()
        return state

    def get(self, name: str) -> TargetState | None:
        """Return the state of a target, or None when there is none."""
        return self._states.get(name)

    def forget(self, name: str) -> None:
        """Remove the state of a target."""
        self._states.pop(name, None)

    def report(self, name: str, load: TargetLoad) -> None:
        """Record a target's load report."""
        state = self.of(name)
        if state.versions != load.versions:
            state.ranges = {
                version: ranges
                for version, ranges in state.ranges.items()
                if version in load.versions
            }
        state.load = load
