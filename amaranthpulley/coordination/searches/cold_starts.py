"""Cold starts of targets: detection, the sending lease, and the ramp-up of the load.

A target counts as cold when its boot id changes, when it refuses an attempt although
it is idle, when several answers in a row take far longer than usual, when a peer
publishes a fact that says so, and when operators return it or its failure domain to
service. Daemons share this state by facts.

Only the daemon that holds the target's lease in the store sends work to a cold target,
so its concurrency limit covers all daemons together. An attempt at a cold target times
out before the sender's lease can expire, even if the sender is paused.

A lost connection or a timeout makes a target suspected: it may have restarted, so
further attempts require the lease too. The suspicion is published as a fact, but only
a daemon without any report of the target (one that has just started) adopts it. An
answer with the old boot id clears the suspicion. While no lease can be acquired,
daemons probe a suspected target without one, in turn by rendezvous rank. The last
replica of a shard gets a single attempt sooner.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.control import named_leases
from amaranthpulley.coordination.searches import leaseless_probes
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, targets
from amaranthpulley.state.control import facts, topology

Commands = list[commands.Command]

ATTEMPT_TIMEOUT_MS: Final = 1_000
LEASE_MARGIN_MS: Final = 500
RECHECK_INTERVAL_MS: Final = 1_000
# A cold target is wanted for this long after a search considered it.
WANTED_VALID_MS: Final = 2_000
FACT_VALID_MS: Final = 60_000
SUSPICION_VALID_MS: Final = 30_000
FACTS_READ_INTERVAL_MS: Final = 200
FIRST_PROBE_PAUSE_MS: Final = 50
MAXIMUM_DOUBLINGS: Final = 7
TIMED_OUT_PAUSE_MS: Final = 1_000
RAMP_FAST_ANSWERS: Final = 10
RAMP_ANSWERS: Final = 200
WARM_LATENCY_FACTOR: Final = 1.5
SLOW_LATENCY_FACTOR: Final = 5
SLOW_ANSWERS: Final = 3
COLD: Final = "cold"
WARM: Final = "warm"


class ColdRecheck(NamedTuple):
    """Purpose of the timer that rechecks a cold target."""

    target: str


def free_capacity(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    state: targets.TargetState,
    now_ms: int,
) -> int | None:
    """Return how many more attempts this daemon may send to a cold target.

    Returns
    -------
    int or None
        None when this daemon may not send to the target now.
    """
    state.cold_wanted_ms = now_ms
    if now_ms < state.probe_at_ms or not _may_send(daemon, target, state, now_ms):
        return None
    return state.cold.limit - state.in_flight


def observe_load(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    load: targets.TargetLoad,
    refused: bool,
    sent_ms: int,
    now_ms: int,
) -> Commands:
    """Detect a cold start from a target's report; call it before storing the report.

    Parameters
    ----------
    daemon, target, load, now_ms
        The daemon's tables, the target with its report, and the time of receipt.
    refused : bool
        Whether the target refused the attempt that carried the report.
    sent_ms : int
        When that attempt was sent.
    """
    state = daemon.targets.of(target.name)
    reported = state.load.boot_id if state.load is not None else load.boot_id
    known = state.boot_id or reported
    state.boot_id = load.boot_id
    if load.boot_id != known:
        return mark_cold(daemon, target.name, False, now_ms)
    if refused and state.cold is not None:
        state.cold = state.cold._replace(limit=1, fast_answers=0, answered=0)
    elif refused and load.busy_slots == 0:
        return mark_cold(daemon, target.name, False, now_ms)
    # An attempt sent before the suspicion may have been answered before a restart.
    cold = state.cold
    if cold is not None and cold.suspected and sent_ms >= cold.since_ms:
        return _finish_cold_start(daemon, target.name, now_ms)
    return []


def observe_answer(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    elapsed_ms: int,
    median_ms: int,
    now_ms: int,
) -> Commands:
    """Ramp up a cold target after an answer; mark a warm one that became slow."""
    state = daemon.targets.of(target.name)
    if state.cold is not None and now_ms - elapsed_ms < state.cold.since_ms:
        return []
    if state.cold is not None:
        usual_ms = state.latency_ms or median_ms
        return _ramp_up(
            daemon, target, elapsed_ms <= WARM_LATENCY_FACTOR * usual_ms, now_ms
        )
    usual_ms = max(state.latency_ms, median_ms)
    if state.latency_ms == 0.0 or elapsed_ms <= SLOW_LATENCY_FACTOR * usual_ms:
        state.slow_answers = 0
        return []
    state.slow_answers += 1
    if state.slow_answers < SLOW_ANSWERS:
        return []
    state.slow_answers = 0
    return mark_cold(daemon, target.name, False, now_ms)


def observe_failure(
    daemon: daemon_state.Daemon, target: str, timed_out: bool, now_ms: int
) -> Commands:
    """Suspect a target that did not answer; back off after each failed probe.

    A timed-out attempt at a cold target may have arrived late and still be running, so
    nothing is sent until it must have ended.
    """
    state = daemon.targets.of(target)
    if state.cold is None:
        _publish_suspicion(daemon, target, now_ms)
        return mark_cold(daemon, target, True, now_ms)
    failures = min(state.cold.failures, MAXIMUM_DOUBLINGS)
    state.cold = state.cold._replace(failures=state.cold.failures + 1, lost=True)
    pause_ms = FIRST_PROBE_PAUSE_MS << failures
    if timed_out:
        pause_ms = max(pause_ms, TIMED_OUT_PAUSE_MS)
    state.probe_at_ms = now_ms + pause_ms
    return []


def mark_returned(
    daemon: daemon_state.Daemon, all_targets: Iterable[topology.Target], now_ms: int
) -> Commands:
    """Mark as cold the targets that operators have returned to service."""
    decided: Commands = []
    for target in all_targets:
        state = daemon.targets.of(target.name)
        if not daemon.configuration.is_in_service(target):
            state.was_out_of_service = True
        elif state.was_out_of_service:
            state.was_out_of_service = False
            decided += mark_cold(daemon, target.name, False, now_ms)
    return decided


def mark_cold(
    daemon: daemon_state.Daemon, target: str, suspected: bool, now_ms: int
) -> Commands:
    """Mark a target as cold, and publish that as a fact unless it is only suspected."""
    state = daemon.targets.of(target)
    if not suspected:
        _publish_status(daemon, target, COLD, now_ms)
    return _set_cold(daemon, target, state, suspected, now_ms)


def apply_facts(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Apply the peers' facts about targets, at most once per interval."""
    if now_ms < daemon.targets.facts_read_ms + FACTS_READ_INTERVAL_MS:
        return []
    daemon.targets.facts_read_ms = now_ms
    decided: Commands = []
    for fact, _ in daemon.facts.current(now_ms):
        if fact.kind is facts.FactKind.TARGET_SUSPECTED:
            decided += _adopt_suspicion(daemon, fact.subject, now_ms)
        if fact.kind is not facts.FactKind.TARGET_COLD:
            continue
        state = daemon.targets.of(fact.subject)
        if fact.value <= state.cold_fact_value:
            continue
        state.cold_fact_value = fact.value
        status, _, boot_id = fact.detail.partition(" ")
        state.boot_id = boot_id or state.boot_id
        if status == COLD:
            decided += _set_cold(daemon, fact.subject, state, False, now_ms)
        elif state.cold is not None and state.cold.lost:
            # Without an open connection this daemon would not notice another restart.
            state.cold = targets.ColdStart(now_ms, suspected=True, lost=True)
            decided += named_leases.acquire(
                daemon, leaseless_probes.lease_name(fact.subject), now_ms
            )
        elif state.cold is not None:
            decided += _clear_cold(daemon, fact.subject, now_ms)
    return decided


def recheck(
    daemon: daemon_state.Daemon,
    event: tuple,
    now_ms: int,
    random: object,
) -> Commands:
    """Request the lease of a cold target, or release it if no search wants the target.

    A daemon without searches would neither send to the target nor learn that it is
    warm, and would keep the daemons that have searches from doing so.
    """
    target = event.purpose.target
    state = daemon.targets.of(target)
    decided = apply_facts(daemon, now_ms)
    if state.cold is None:
        return decided
    if state.cold.suspected:
        _renew_suspicion(daemon, target, now_ms)
    name = leaseless_probes.lease_name(target)
    is_wanted = now_ms - state.cold_wanted_ms <= WANTED_VALID_MS
    if daemon.leases.holds(name, now_ms) and (is_wanted or state.in_flight):
        if not state.cold.suspected:
            _publish_status(daemon, target, COLD, now_ms)
    elif is_wanted and (
        state.cold.suspected or _has_turn(daemon, target, state, now_ms)
    ):
        decided += named_leases.acquire(daemon, name, now_ms)
    else:
        decided += named_leases.release(daemon, name, now_ms)
    timer = commands.SetTimer(ColdRecheck(target), now_ms + RECHECK_INTERVAL_MS)
    return [*decided, timer]


def _may_send(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    state: targets.TargetState,
    now_ms: int,
) -> bool:
    until_ms = now_ms + ATTEMPT_TIMEOUT_MS + LEASE_MARGIN_MS
    if daemon.leases.holds(leaseless_probes.lease_name(target.name), until_ms):
        return True
    return leaseless_probes.may_probe(daemon, target, state, now_ms)


def _set_cold(
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
        commands.SetTimer(ColdRecheck(target), now_ms + RECHECK_INTERVAL_MS),
    ]
    if suspected or leaseless_probes.rank(daemon, target) == 0:
        decided += named_leases.acquire(
            daemon, leaseless_probes.lease_name(target), now_ms
        )
    return decided


def _ramp_up(
    daemon: daemon_state.Daemon, target: topology.Target, is_fast: bool, now_ms: int
) -> Commands:
    state = daemon.targets.of(target.name)
    state.cold = state.cold._replace(
        fast_answers=state.cold.fast_answers + 1 if is_fast else 0,
        answered=state.cold.answered + 1,
        failures=0,
        lost=False,
    )
    is_complete = (
        state.cold.fast_answers >= RAMP_FAST_ANSWERS
        or state.cold.answered >= RAMP_ANSWERS
    )
    if not is_complete:
        return []
    limit = state.cold.limit + 1
    if limit > target.slots:
        return _finish_cold_start(daemon, target.name, now_ms)
    state.cold = state.cold._replace(limit=limit, fast_answers=0, answered=0)
    return []


def _finish_cold_start(
    daemon: daemon_state.Daemon, target: str, now_ms: int
) -> Commands:
    _publish_status(daemon, target, WARM, now_ms)
    return _clear_cold(daemon, target, now_ms)


def _clear_cold(daemon: daemon_state.Daemon, target: str, now_ms: int) -> Commands:
    state = daemon.targets.of(target)
    state.cold = None
    state.slots = None
    state.slow_answers = 0
    return [
        commands.log(log_events.TARGET_WARM, target=target),
        *named_leases.release(daemon, leaseless_probes.lease_name(target), now_ms),
    ]


def _adopt_suspicion(daemon: daemon_state.Daemon, target: str, now_ms: int) -> Commands:
    state = daemon.targets.of(target)
    # A daemon that has had an answer from the target does not rely on the suspicion of
    # a peer, whose link may be bad.
    if state.load is not None or state.cold is not None:
        return []
    return mark_cold(daemon, target, True, now_ms)


def _renew_suspicion(daemon: daemon_state.Daemon, target: str, now_ms: int) -> None:
    renewal_ms = now_ms + SUSPICION_VALID_MS // 2
    kind = facts.FactKind.TARGET_SUSPECTED
    if daemon.facts.get(kind, target, renewal_ms) is None:
        _publish_suspicion(daemon, target, now_ms)


def _publish_suspicion(daemon: daemon_state.Daemon, target: str, now_ms: int) -> None:
    kind = facts.FactKind.TARGET_SUSPECTED
    fact = facts.Fact(kind, target, daemon.wall_ms(now_ms))
    daemon.facts.publish(fact, now_ms + SUSPICION_VALID_MS)


def _publish_status(
    daemon: daemon_state.Daemon, target: str, status: str, now_ms: int
) -> None:
    state = daemon.targets.of(target)
    value = max(daemon.wall_ms(now_ms), state.cold_fact_value + 1)
    state.cold_fact_value = value
    # The boot id keeps the peers from taking the same start for a second one.
    detail = f"{status} {state.boot_id}"
    fact = facts.Fact(facts.FactKind.TARGET_COLD, target, value, detail)
    daemon.facts.publish(fact, now_ms + FACT_VALID_MS)


def _has_turn(
    daemon: daemon_state.Daemon, target: str, state: targets.TargetState, now_ms: int
) -> bool:
    rank = leaseless_probes.rank(daemon, target)
    turn = (now_ms - state.cold.since_ms) // RECHECK_INTERVAL_MS
    return rank == 0 or turn % len(daemon.members.live) == rank


HANDLERS: Final = {ColdRecheck: recheck}
