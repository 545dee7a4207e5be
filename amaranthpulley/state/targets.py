"""What a daemon has learnt of each target from the target's own answers."""

from typing import NamedTuple

from amaranthpulley.state.searches import keyspace


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


class ColdStart(NamedTuple):
    """A target that is cold, or may be, and how far it has come.

    Attributes
    ----------
    since_ms : int
        Reading of the monotonic clock when that was noticed.
    suspected : bool
        True while all that is known is that the target did not answer; an answer
        under the old boot id clears it.
    lost : bool
        This daemon has lost its connections and had no answer since.
    limit : int
        Attempts at a time that the daemon that feeds it may send.
    finished : int
        Attempts that it has answered at this limit as fast as a warm target does.
    answered : int
        Attempts that it has answered at this limit.
    failures : int
        Attempts that it did not answer.
    """

    since_ms: int
    suspected: bool
    lost: bool = False
    limit: int = 1
    fast_answers: int = 0
    answered: int = 0
    failures: int = 0


class TargetState:
    """The view of one target.

    Attributes
    ----------
    in_flight : int
        Attempts that this daemon has sent and that have not ended.
    load : TargetLoad or None
        The target's last report.
    reported_ms : int
        When that report came.
    ranges : dict of int to tuple of KeyRange
        The parts of the key space that it searched, by index version.
    latency_ms : float
        Moving average of its answers' latencies; 0 while there is none.
    latency_at_ms : int
        When the last latency was seen.
    slots : int or None
        Attempts at a time that it took of this daemon; None while not known.
    full_at : int or None
        Busy slots at which it refused; None while it has not refused.
    refusals : int
        Refusals since its last answer.
    probe_at_ms : int
        From then on one attempt more may be tried.
    slow_answers : int
        Answers in a row that took far longer than the average.
    was_out : bool
        Operators had taken it out of service when it was last looked at.
    is_proven : bool
        It has answered this daemon.
    boot_id : str
        The boot id last heard of, from the target or from a peer; empty for none.
    cold : ColdStart or None
        None while it counts as warm.
    cold_fact_value : int
        Value of the last fact about its coldness that was taken in.
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
    """The view of every target, by name."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        self.facts_read_ms = 0

    def of(self, name: str) -> TargetState:
        """Return the view of a target, a fresh one when it was never seen."""
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = TargetState()
        return state

    def seen(self, name: str) -> TargetState | None:
        """Return the view of a target, None when it was never seen."""
        return self._states.get(name)

    def forget(self, name: str) -> None:
        """Drop the view of a target."""
        self._states.pop(name, None)

    def report(self, name: str, load: TargetLoad) -> None:
        """Enter a target's report of itself."""
        state = self.of(name)
        if state.versions != load.versions:
            state.ranges = {
                version: ranges
                for version, ranges in state.ranges.items()
                if version in load.versions
            }
        state.load = load
