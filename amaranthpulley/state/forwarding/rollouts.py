"""Roll-outs of a service's version: orders, steps, and the counts of a daemon."""

import enum
from typing import Final, NamedTuple

from amaranthpulley.state import store


class Phase(enum.Enum):
    """How far a roll-out has come; the last two are final."""

    GROWING = "growing"
    MOVING = "moving"
    COMPLETED = "completed"
    REVERTED = "reverted"


class Verdict(enum.Enum):
    """What the evidence says about a version."""

    OPEN = "open"
    GOOD = "good"
    BAD = "bad"


FINAL_PHASES: Final = frozenset({Phase.COMPLETED, Phase.REVERTED})


class Order(NamedTuple):
    """An operator's order to move a service to the leaves of a version.

    Attributes
    ----------
    target : str
        The version.
    duration_ms : int
        Time from the order to its deadline.
    """

    target: str
    duration_ms: int


class Step(NamedTuple):
    """A step of a roll-out, as it is stored.

    Attributes
    ----------
    order : int
        Number of the order's revision.
    target : str
        The version.
    number : int
        Rises with each step of an order.
    phase : Phase
        How far the roll-out has come.
    share : float
        Share of the requests that the target gets while the phase is `GROWING`.
    full_at_ms : int
        Wall time at which a short period of full load begins; 0 for none.
    deadline_ms : int
        Wall time of the deadline, by the clock of the daemon that wrote the first step.
    daemons : int
        Registered daemons at the first step, among which the slack is divided.
    barred : tuple of str
        Versions of earlier orders that did not end well; they get no requests.
    reason : str
        Why the step was taken.
    """

    order: int
    target: str
    number: int
    phase: Phase
    share: float
    full_at_ms: int
    deadline_ms: int
    daemons: int
    barred: tuple[str, ...] = ()
    reason: str = ""


class Tally(NamedTuple):
    """Answers of one version.

    Attributes
    ----------
    answers, failed, slow : int
        All answers and failures; those that failed; those that were good but slow.
    """

    answers: int = 0
    failed: int = 0
    slow: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        return Tally(
            self.answers + other.answers,
            self.failed + other.failed,
            self.slow + other.slow,
        )

    def at_least(self, other: "Tally") -> "Tally":
        """Return the greater of each count; totals only grow."""
        return Tally(*(max(a, b) for a, b in zip(self, other, strict=True)))


class Pair(NamedTuple):
    """Tallies of the target and of the other version in the same time."""

    new: Tally = Tally()
    old: Tally = Tally()

    def plus(self, other: "Pair") -> "Pair":
        """Return the sum of two pairs."""
        return Pair(self.new.plus(other.new), self.old.plus(other.old))

    def at_least(self, other: "Pair") -> "Pair":
        """Return the greater of each count."""
        return Pair(self.new.at_least(other.new), self.old.at_least(other.old))


class Evidence(NamedTuple):
    """What has been counted for an order.

    Attributes
    ----------
    number : int
        The step.
    routes : dict
        Counts since the step began, by route.
    total : Pair
        Counts since the order.
    """

    number: int
    routes: dict[str, Pair]
    total: Pair


class Rollout:
    """What a daemon knows of a service's roll-out, and what it has counted.

    Attributes
    ----------
    order : Order or None
        The order; None when there is none.
    order_revision, step_revision, status_revision : int
        Revisions of the stored items; 0 for those that do not exist.
    must_rewrite : bool
        Whether the store holds less than was known, since it is from a copy.
    seen_ms, step_seen_ms : int
        When this daemon learned of the order, and of the step.
    step_seen_live : bool
        Whether the daemon ran when the step came, so that it knows its age.
    seen_live : bool
        Whether the daemon ran when the order came. One that started later does not know
        what its previous life spent, so it has no slack.
    replaced : set of str
        Targets of earlier orders that this daemon knows of.
    deadline_ms, full_at_ms : int or None
        Times of the step by this daemon's monotonic clock.
    daemons_seen : int
        The greatest number of daemons that were registered since the order.
    fixed_slack : int or None
        This daemon's part of the slack, divided at the first step that it read.
    requests, sent : int
        Requests that reached the service, and sends to the target, since the order.
    step_requests, step_sent : int
        The same since the step.
    attempts : dict
        By number, whether a running attempt went to the target.
    routes, total
        Answers counted by this daemon since the step and since the order.
    baseline : dict
        By route, the old version's answers in the last step in which it had any.
    old_mean_ms : dict
        By route, mean time of the old version's answers.
    received : dict
        Evidence of daemons, by name and life; under ``("", 0)`` the sum that a deciding
        daemon has sent.
    lost_ms : dict
        When a lost connection to each leaf was last counted.
    gathered, verdict, reason
        The evidence of all daemons that this one knew last, and what follows from it.
    distrusted : bool
        Whether this daemon has judged the target bad.
    due : tuple or None
        The phase and step number of a write that is due, and since when.
    write_until_ms : int
        Until when the result of a write is waited for.
    """

    def __init__(self) -> None:
        self.order: Order | None = None
        self.order_revision = 0
        self.step: Step | None = None
        self.step_revision = 0
        self.step_seen_ms = 0
        self.step_seen_live = False
        self.must_rewrite = False
        self.status_revision = 0
        self.replaced: set[str] = set()
        self.begin(0, False)

    def begin(self, now_ms: int, seen_live: bool) -> None:
        """Begin to count for another order."""
        self.seen_ms = now_ms
        self.seen_live = seen_live
        self.deadline_ms: int | None = None
        self.full_at_ms: int | None = None
        self.daemons_seen = 0
        self.fixed_slack: int | None = None
        self.requests = 0
        self.sent = 0
        self.attempts: dict[int, bool] = {}
        self.total = Pair()
        self.baseline: dict[str, Tally] = {}
        self.old_mean_ms: dict[str, float] = {}
        self.received: dict[tuple[str, int], Evidence] = {}
        self.lost_ms: dict[str, int] = {}
        self.gathered = Evidence(0, {}, Pair())
        self.verdict = Verdict.OPEN
        self.reason = ""
        self.next_judgement_ms = now_ms
        self.distrusted = False
        self.due: tuple[Phase, int, int] | None = None
        self.write_until_ms = 0
        self.next_evidence_ms = now_ms
        self.routes: dict[str, Pair] = {}
        self.begin_step()

    def begin_step(self) -> None:
        """Begin to count for another step."""
        for route, pair in self.routes.items():
            if pair.old.answers:
                self.baseline[route] = pair.old
        self.routes = {}
        self.step_requests = 0
        self.step_sent = 0
        self.due = None
        # The verdict on the step before does not hold for this one.
        if self.verdict is not Verdict.BAD:
            self.verdict = Verdict.OPEN
        self.gathered = Evidence(0, {}, Pair())
        self.next_judgement_ms = 0

    @property
    def order_number(self) -> int:
        """Number of the order's revision, the same in a copy of the store."""
        return store.number_of(self.order_revision)

    def current_step(self) -> Step | None:
        """Return the step of the current order; None if it has none yet."""
        if self.order is None or self.step is None:
            return None
        return self.step if self.step.order == self.order_number else None

    def barred(self) -> set[str]:
        """Return the versions that get nothing, because an order for them failed."""
        found = set(self.replaced)
        if self.step is not None:
            found.update(self.step.barred)
            failed = self.step.phase is not Phase.COMPLETED
            if failed and self.current_step() is None:
                found.add(self.step.target)
        if self.order is not None:
            found.discard(self.order.target)
        return found


class RolloutTable:
    """Roll-outs by service.

    Attributes
    ----------
    wall_offset_ms : int
        Wall time less monotonic time.
    """

    def __init__(self) -> None:
        self.by_service: dict[str, Rollout] = {}
        self.wall_offset_ms = 0

    def ordered(self, service: str) -> Rollout | None:
        """Return the roll-out of a service, if there is an order for it."""
        found = self.by_service.get(service)
        return None if found is None or found.order is None else found

    def of_service(self, service: str) -> Rollout:
        """Return the entry of a service, adding it if it is missing."""
        return self.by_service.setdefault(service, Rollout())
