"""Targets in a cold start: noticed, fed by one daemon, ramped up by what they finish.

A target counts as cold when its boot id changes, when it refuses although it is idle,
when several answers in a row take far longer than usual, when a peer says so, and when
operators bring it or its failure domain back. Peers learn of it by a shared fact.

From then on only the daemon that holds the target's lease in the store sends it work,
so that the bound counts all daemons together. An attempt at a cold target ends before
the lease of its sender can, also when the sender is paused.

A lost connection or a timeout makes a target suspected: it may have restarted. The next
attempt goes through the lease too. The peers are told, but only a daemon that has no
report of the target yet, since it has just started, takes the suspicion over. An answer
under the old boot id clears it. While no lease can be had, daemons try a suspected
target alone, one after another by rendezvous rank.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.control import named_leases
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, rendezvous, targets
from amaranthpulley.state.control import facts, topology

Commands = list[commands.Command]

FEED_TIMEOUT_MS: Final = 1_000
FEED_MARGIN_MS: Final = 500
RECHECK_MS: Final = 1_000
ALONE_AFTER_MS: Final = 6_000
ALONE_STEP_MS: Final = 1_000
FACT_VALID_MS: Final = 60_000
SUSPICION_VALID_MS: Final = 30_000
FACTS_READ_MS: Final = 200
FIRST_PROBE_PAUSE_MS: Final = 50
MAXIMUM_DOUBLINGS: Final = 7
LATE_ATTEMPT_MS: Final = 1_000
RAMP_FINISHED: Final = 10
RAMP_ANSWERED: Final = 200
USUAL_FACTOR: Final = 1.5
JUMP_FACTOR: Final = 5
JUMP_ANSWERS: Final = 3
COLD: Final = "cold"
WARM: Final = "warm"


class ColdRecheck(NamedTuple):
    """Purpose of the timer that looks again at a cold target."""

    target: str


def lease_name(target: str) -> str:
    """Return the name of the lease whose holder feeds a target."""
    return f"cold/{target}"


def room(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    state: targets.TargetState,
    now_ms: int,
) -> int | None:
    """Return how many attempts more a cold target takes of this daemon.

    Returns
    -------
    int or None
        None when another daemon feeds it, or nobody does.
    """
    if now_ms < state.probe_at_ms or not _may_feed(daemon, target, state, now_ms):
        return None
    return state.cold.limit - state.in_flight


def note_load(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    load: targets.TargetLoad,
    refused: bool,
    sent_ms: int,
    now_ms: int,
) -> Commands:
    """Compare a target's report with what is known, before it is entered.

    Parameters
    ----------
    daemon, target, load, now_ms
        Whose report it is, and when it came.
    refused : bool
        The target refused the attempt that the report answers.
    sent_ms : int
        When that attempt was sent.
    """
    state = daemon.targets.of(target.name)
    reported = state.load.boot_id if state.load is not None else load.boot_id
    known = state.boot_id or reported
    state.boot_id = load.boot_id
    if load.boot_id != known:
        return mark(daemon, target.name, False, now_ms)
    if refused and state.cold is not None:
        state.cold = state.cold._replace(limit=1, fast_answers=0, answered=0)
    elif refused and load.busy_slots == 0:
        return mark(daemon, target.name, False, now_ms)
    # An answer from before the suspicion proves nothing.
    cold = state.cold
    if cold is not None and cold.suspected and sent_ms >= cold.since_ms:
        return _warm(daemon, target.name, now_ms)
    return []


def note_answer(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    elapsed_ms: int,
    median_ms: int,
    now_ms: int,
) -> Commands:
    """Ramp up a cold target by an answer; notice a warm one that became slow."""
    state = daemon.targets.of(target.name)
    if state.cold is not None and now_ms - elapsed_ms < state.cold.since_ms:
        return []
    if state.cold is not None:
        usual_ms = state.latency_ms or median_ms
        return _ramp(daemon, target, elapsed_ms <= USUAL_FACTOR * usual_ms, now_ms)
    usual_ms = max(state.latency_ms, median_ms)
    if state.latency_ms == 0.0 or elapsed_ms <= JUMP_FACTOR * usual_ms:
        state.slow_answers = 0
        return []
    state.slow_answers += 1
    if state.slow_answers < JUMP_ANSWERS:
        return []
    state.slow_answers = 0
    return mark(daemon, target.name, False, now_ms)


def note_silence(
    daemon: daemon_state.Daemon, target: str, timed_out: bool, now_ms: int
) -> Commands:
    """Suspect a target that did not answer; pause longer after each failed probe.

    An attempt at a cold target that timed out may have been late on its way and run
    there still, so that nothing is sent until it must be over.
    """
    state = daemon.targets.of(target)
    if state.cold is None:
        _publish_suspicion(daemon, target, now_ms)
        return mark(daemon, target, True, now_ms)
    failures = min(state.cold.failures, MAXIMUM_DOUBLINGS)
    state.cold = state.cold._replace(failures=state.cold.failures + 1, lost=True)
    pause_ms = FIRST_PROBE_PAUSE_MS << failures
    if timed_out:
        pause_ms = max(pause_ms, LATE_ATTEMPT_MS)
    state.probe_at_ms = now_ms + pause_ms
    return []


def note_returns(
    daemon: daemon_state.Daemon, everything: Iterable[topology.Target], now_ms: int
) -> Commands:
    """Mark the targets that operators have brought back."""
    decided: Commands = []
    for target in everything:
        state = daemon.targets.of(target.name)
        if not daemon.configuration.accepts_work(target):
            state.was_out_of_service = True
        elif state.was_out_of_service:
            state.was_out_of_service = False
            decided += mark(daemon, target.name, False, now_ms)
    return decided


def mark(
    daemon: daemon_state.Daemon, target: str, suspected: bool, now_ms: int
) -> Commands:
    """Count a target as cold from now on, and tell the peers unless it is suspected."""
    state = daemon.targets.of(target)
    if not suspected:
        _publish(daemon, target, COLD, now_ms)
    return _enter(daemon, target, state, suspected, now_ms)


def learn_facts(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Take in what peers say of targets."""
    if now_ms < daemon.targets.facts_read_ms + FACTS_READ_MS:
        return []
    daemon.targets.facts_read_ms = now_ms
    decided: Commands = []
    for fact, _ in daemon.facts.current(now_ms):
        if fact.kind is facts.FactKind.TARGET_SUSPECTED:
            decided += _take_suspicion(daemon, fact.subject, now_ms)
        if fact.kind is not facts.FactKind.TARGET_COLD:
            continue
        state = daemon.targets.of(fact.subject)
        if fact.value <= state.cold_fact_value:
            continue
        state.cold_fact_value = fact.value
        status, _, boot_id = fact.detail.partition(" ")
        state.boot_id = boot_id or state.boot_id
        if status == COLD:
            decided += _enter(daemon, fact.subject, state, False, now_ms)
        elif state.cold is not None and state.cold.lost:
            # This daemon has no open connection that would break at another restart.
            state.cold = targets.ColdStart(now_ms, suspected=True, lost=True)
            decided += named_leases.acquire(daemon, lease_name(fact.subject), now_ms)
        elif state.cold is not None:
            decided += _clear(daemon, fact.subject, now_ms)
    return decided


def recheck(
    daemon: daemon_state.Daemon,
    event: tuple,
    now_ms: int,
    random: object,
) -> Commands:
    """Ask for the lease of a cold target when it is this daemon's turn."""
    target = event.purpose.target
    state = daemon.targets.of(target)
    decided = learn_facts(daemon, now_ms)
    if state.cold is None:
        return decided
    if state.cold.suspected:
        _renew_suspicion(daemon, target, now_ms)
    name = lease_name(target)
    if daemon.leases.holds(name, now_ms):
        if not state.cold.suspected:
            _publish(daemon, target, COLD, now_ms)
    elif _has_turn(daemon, target, state, now_ms):
        decided += named_leases.acquire(daemon, name, now_ms)
    else:
        decided += named_leases.release(daemon, name, now_ms)
    timer = commands.SetTimer(ColdRecheck(target), now_ms + RECHECK_MS)
    return [*decided, timer]


def _may_feed(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    state: targets.TargetState,
    now_ms: int,
) -> bool:
    until_ms = now_ms + FEED_TIMEOUT_MS + FEED_MARGIN_MS
    if daemon.leases.holds(lease_name(target.name), until_ms):
        return True
    if not state.cold.suspected or now_ms < daemon.leases.valid_until_ms:
        return False
    return now_ms >= _alone_at_ms(daemon, target.name, state)


def _enter(
    daemon: daemon_state.Daemon,
    target: str,
    state: targets.TargetState,
    suspected: bool,
    now_ms: int,
) -> Commands:
    known = state.cold
    lost = suspected or (known is not None and known.lost)
    state.cold = targets.ColdStart(now_ms, suspected, lost)
    state.slots = None
    state.probe_at_ms = now_ms
    if known is not None:
        return []
    daemon.counters.add("targets_cold_total", suspected=str(suspected).lower())
    decided: Commands = [
        commands.log(log_events.TARGET_COLD, target=target, suspected=suspected),
        commands.SetTimer(ColdRecheck(target), now_ms + RECHECK_MS),
    ]
    if suspected or _rank(daemon, target) == 0:
        decided += named_leases.acquire(daemon, lease_name(target), now_ms)
    return decided


def _ramp(
    daemon: daemon_state.Daemon, target: topology.Target, usual: bool, now_ms: int
) -> Commands:
    state = daemon.targets.of(target.name)
    state.cold = state.cold._replace(
        fast_answers=state.cold.fast_answers + 1 if usual else 0,
        answered=state.cold.answered + 1,
        failures=0,
        lost=False,
    )
    ripe = (
        state.cold.fast_answers >= RAMP_FINISHED or state.cold.answered >= RAMP_ANSWERED
    )
    if not ripe:
        return []
    limit = state.cold.limit + 1
    if limit > target.slots:
        return _warm(daemon, target.name, now_ms)
    state.cold = state.cold._replace(limit=limit, fast_answers=0, answered=0)
    return []


def _warm(daemon: daemon_state.Daemon, target: str, now_ms: int) -> Commands:
    _publish(daemon, target, WARM, now_ms)
    return _clear(daemon, target, now_ms)


def _clear(daemon: daemon_state.Daemon, target: str, now_ms: int) -> Commands:
    state = daemon.targets.of(target)
    state.cold = None
    state.slots = None
    state.slow_answers = 0
    return [
        commands.log(log_events.TARGET_WARM, target=target),
        *named_leases.release(daemon, lease_name(target), now_ms),
    ]


def _take_suspicion(daemon: daemon_state.Daemon, target: str, now_ms: int) -> Commands:
    state = daemon.targets.of(target)
    # Who has an answer of the target knows better than a peer with a bad link.
    if state.load is not None or state.cold is not None:
        return []
    return mark(daemon, target, True, now_ms)


def _renew_suspicion(daemon: daemon_state.Daemon, target: str, now_ms: int) -> None:
    in_half_its_time_ms = now_ms + SUSPICION_VALID_MS // 2
    kind = facts.FactKind.TARGET_SUSPECTED
    if daemon.facts.get(kind, target, in_half_its_time_ms) is None:
        _publish_suspicion(daemon, target, now_ms)


def _publish_suspicion(daemon: daemon_state.Daemon, target: str, now_ms: int) -> None:
    kind = facts.FactKind.TARGET_SUSPECTED
    fact = facts.Fact(kind, target, daemon.wall_ms(now_ms))
    daemon.facts.publish(fact, now_ms + SUSPICION_VALID_MS)


def _publish(
    daemon: daemon_state.Daemon, target: str, status: str, now_ms: int
) -> None:
    state = daemon.targets.of(target)
    value = max(daemon.wall_ms(now_ms), state.cold_fact_value + 1)
    state.cold_fact_value = value
    # With the boot id no daemon takes the same start for another one.
    detail = f"{status} {state.boot_id}"
    fact = facts.Fact(facts.FactKind.TARGET_COLD, target, value, detail)
    daemon.facts.publish(fact, now_ms + FACT_VALID_MS)


def _rank(daemon: daemon_state.Daemon, target: str) -> int:
    names = [vm.name for vm in daemon.members.live]
    return rendezvous.ranking(names, lease_name(target)).index(daemon.identity.name)


def _has_turn(
    daemon: daemon_state.Daemon, target: str, state: targets.TargetState, now_ms: int
) -> bool:
    rank = _rank(daemon, target)
    turn = (now_ms - state.cold.since_ms) // RECHECK_MS
    return rank == 0 or turn % len(daemon.members.live) == rank


def _alone_at_ms(
    daemon: daemon_state.Daemon, target: str, state: targets.TargetState
) -> int:
    wait_ms = ALONE_AFTER_MS + _rank(daemon, target) * ALONE_STEP_MS
    return state.cold.since_ms + wait_ms


HANDLERS: Final = {ColdRecheck: recheck}
