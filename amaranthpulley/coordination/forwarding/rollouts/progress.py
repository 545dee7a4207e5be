"""Takes up orders and steps from the store, and decides the next step."""

from typing import Final

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import (
    commands,
    leaf_selection,
)
from amaranthpulley.coordination.forwarding.rollouts import (
    decider,
    evidence,
    exposure,
    rollout_events,
    steps,
)
from amaranthpulley.state import log_events, store
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import rollouts

# Time for which the result of a write is waited for; a call fails after 1 s, and what
# it wrote is read back within another.
WRITE_MS: Final = 2_500
# Pause after a write that did not succeed.
RETRY_MS: Final = 1_000
# Time before the deadline at which an order that is not judged good is reverted, so
# that the third daemon in turn still writes it in time.
REVERT_MARGIN_MS: Final = 3_500
# Time after the planned one in which the move may still begin, out of the 8 s that are
# reserved for the last writes.
LATE_MOVE_MS: Final = 4_000
# Latest time before the deadline at which `COMPLETED` may be written.
COMPLETE_MARGIN_MS: Final = 300


def handle_order(
    gateway: gateway_state.Gateway,
    event: rollout_events.RolloutOrdered,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Begin with an order, replace the one before, or end it without an order."""
    rollout = gateway.rollouts.of_service(event.service)
    known, order = rollout.order, event.order
    if order is not None and _is_known(rollout, event):
        rollout.order_revision = event.revision
        return []
    if known is not None and order is not None and known.target != order.target:
        step = rollout.current_step()
        if step is None or step.phase is not rollouts.Phase.COMPLETED:
            rollout.replaced.add(known.target)
    if order is None:
        rollout.replaced.clear()
    rollout.order, rollout.order_revision = order, event.revision
    rollout.begin(now_ms, gateway.listed)
    if order is None:
        return [common.log(log_events.ROLLOUT_WITHDRAWN, service=event.service)]
    exposure.charge_earlier_sends(gateway, event.service, now_ms)
    if rollout.current_step() is not None:
        _take_up(gateway, rollout, now_ms)
    return [
        common.log(
            log_events.ROLLOUT_ORDERED,
            service=event.service,
            order=rollout.order_number,
            target=order.target,
            duration_ms=order.duration_ms,
        )
    ]


def handle_step(
    gateway: gateway_state.Gateway,
    event: rollout_events.RolloutStepRead,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Take up a step.

    A step that is behind the known one is from a copy of the store. It is not taken up,
    and the known one is written again.
    """
    rollout = gateway.rollouts.of_service(event.service)
    known, step = rollout.current_step(), event.step
    rollout.step_revision = event.revision if step is not None else 0
    rollout.write_until_ms = 0
    is_behind = known is not None and (
        step is None or (step.order, step.number) < (known.order, known.number)
    )
    rollout.must_rewrite = is_behind
    if is_behind or step == rollout.step:
        return []
    rollout.step = step
    if rollout.current_step() is None or step is None:
        return []
    _take_up(gateway, rollout, now_ms)
    gateway.counters.add("forward_rollout_steps_total", phase=step.phase.value)
    return [
        common.log(
            log_events.ROLLOUT_STEP,
            service=event.service,
            order=step.order,
            target=step.target,
            step=step.number,
            phase=step.phase.value,
            share=step.share,
            reason=step.reason,
        )
    ]


def handle_status(
    gateway: gateway_state.Gateway,
    event: rollout_events.RolloutStatusRead,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Record the revision of the status, on which the next write depends."""
    gateway.rollouts.of_service(event.service).status_revision = event.revision
    return []


def handle_write_end(
    gateway: gateway_state.Gateway,
    event: rollout_events.RolloutWriteEnded,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Log a write that did not succeed; the decision is made again from the store."""
    rollout = gateway.rollouts.of_service(event.service)
    gateway.counters.add("forward_rollout_writes_total", result=event.result)
    if event.result == rollout_events.WRITTEN:
        # The step itself comes by the watch.
        return []
    rollout.write_until_ms = now_ms + RETRY_MS
    return [common.log(log_events.ROLLOUT_WRITE_FAILED, **event._asdict())]


def tick(gateway: gateway_state.Gateway, now_ms: int) -> list[commands.Command]:
    """Judge the running roll-outs, send evidence, and write the steps that are due."""
    decided: list[commands.Command] = []
    for service, rollout in gateway.rollouts.by_service.items():
        if rollout.order is None:
            continue
        step = rollout.current_step()
        if step is not None and step.phase in rollouts.FINAL_PHASES:
            if rollout.must_rewrite:
                decided += _write_if_due(gateway, service, rollout, step, now_ms)
            continue
        exposure.slack_part(gateway, rollout, now_ms)
        evidence.update_verdict(gateway, service, now_ms)
        if rollout.verdict is rollouts.Verdict.BAD and not rollout.distrusted:
            rollout.distrusted = True
            rollout.next_evidence_ms = now_ms
            decided.append(_verdict_line(service, rollout))
        decided += evidence.messages(gateway, service, now_ms)
        wanted = _next_step(gateway, service, rollout, now_ms)
        decided += _write_if_due(gateway, service, rollout, wanted, now_ms)
    return decided


def _is_known(rollout: rollouts.Rollout, event: rollout_events.RolloutOrdered) -> bool:
    """Return whether an order is the current one, listed again.

    A store that comes back from a copy lists it in another era. To begin anew would
    give the version its slack, and the order its duration, a second time.
    """
    number = store.number_of(event.revision)
    return rollout.order == event.order and rollout.order_number == number


def _take_up(
    gateway: gateway_state.Gateway, rollout: rollouts.Rollout, now_ms: int
) -> None:
    """Begin to count for the current step, and read its times by the own clock.

    The deadline is read once for an order, so a later step of the wall clock changes
    nothing.
    """
    step, order = rollout.current_step(), rollout.order
    if step is None or order is None:
        return
    rollout.begin_step()
    rollout.step_seen_ms = now_ms
    rollout.step_seen_live = gateway.listed
    offset_ms = gateway.rollouts.wall_offset_ms
    if rollout.deadline_ms is None:
        exposure.fix_slack_part(gateway, rollout, step)
        latest_ms = rollout.seen_ms + order.duration_ms
        read_ms = min(step.deadline_ms - offset_ms, latest_ms)
        if rollout.seen_live:
            # The order was read within the time of a change, whatever the clocks say.
            read_ms = max(read_ms, latest_ms - gateway.limits.configuration_ms)
        rollout.deadline_ms = read_ms
    rollout.full_at_ms = None
    if step.full_at_ms:
        latest_ms = now_ms + steps.FULL_LOAD_DELAY_MS
        rollout.full_at_ms = max(now_ms, min(step.full_at_ms - offset_ms, latest_ms))


def _next_step(
    gateway: gateway_state.Gateway,
    service: str,
    rollout: rollouts.Rollout,
    now_ms: int,
) -> rollouts.Step | None:
    """Return the step that is due; None if there is none."""
    order, step = rollout.order, rollout.current_step()
    if order is None:
        return None
    if step is None:
        return _first_step(gateway, service, rollout, order, now_ms)
    if rollout.must_rewrite:
        return step
    deadline_ms = rollout.deadline_ms or now_ms
    if rollout.distrusted and decider.is_judge(gateway, service):
        return steps.ended(step, rollouts.Phase.REVERTED, rollout.reason)
    if step.phase is rollouts.Phase.MOVING:
        if now_ms >= deadline_ms - COMPLETE_MARGIN_MS:
            return steps.ended(step, rollouts.Phase.REVERTED, "deadline")
        if rollout.distrusted:
            return None
        moved_ms = rollout.step_seen_ms + steps.move_ms(gateway, service)
        if now_ms >= moved_ms:
            return steps.ended(step, rollouts.Phase.COMPLETED, "all daemons have moved")
        # Written at once, since a write may take seconds to happen.
        if rollout.step_seen_live and moved_ms >= deadline_ms - COMPLETE_MARGIN_MS:
            return steps.ended(step, rollouts.Phase.REVERTED, "moved too late")
        return None
    if now_ms >= deadline_ms - REVERT_MARGIN_MS:
        return steps.ended(step, rollouts.Phase.REVERTED, "deadline")
    if not decider.is_judge(gateway, service):
        return None
    return _judged_step(gateway, service, rollout, order, step, now_ms)


def _first_step(
    gateway: gateway_state.Gateway,
    service: str,
    rollout: rollouts.Rollout,
    order: rollouts.Order,
    now_ms: int,
) -> rollouts.Step:
    first = steps.first(gateway, rollout, order, now_ms)
    passed_ms = now_ms - rollout.seen_ms
    judgement_ms = steps.judgement_ms(gateway, service, order) - passed_ms
    if judgement_ms < steps.SHORTEST_JUDGEMENT_MS:
        return first._replace(
            phase=rollouts.Phase.REVERTED, share=0.0, reason="too short to judge"
        )
    return first


def _judged_step(
    gateway: gateway_state.Gateway,
    service: str,
    rollout: rollouts.Rollout,
    order: rollouts.Order,
    step: rollouts.Step,
    now_ms: int,
) -> rollouts.Step | None:
    """Return the step that follows from the evidence; None before its time."""
    deadline_ms = rollout.deadline_ms or now_ms
    is_good = rollout.verdict is rollouts.Verdict.GOOD
    latest_move_ms = steps.latest_move_ms(gateway, service, deadline_ms)
    if now_ms >= latest_move_ms + LATE_MOVE_MS:
        return steps.ended(step, rollouts.Phase.REVERTED, "not judged in time")
    if now_ms >= latest_move_ms:
        if is_good and step.number >= steps.EARLIEST_LAST_STAGE:
            return steps.ended(step, rollouts.Phase.MOVING, "judged good")
        return None
    begun_ms = rollout.step_seen_ms
    if now_ms < steps.end_ms(gateway, service, order, step, deadline_ms, begun_ms):
        return None
    answers = sum(pair.new.answers for pair in rollout.gathered.routes.values())
    if step.number < len(steps.STAGES):
        # No evidence means no advance.
        return steps.grown(gateway, step, now_ms) if answers else None
    if is_good:
        return steps.ended(step, rollouts.Phase.MOVING, "judged good")
    return None


def _write_if_due(
    gateway: gateway_state.Gateway,
    service: str,
    rollout: rollouts.Rollout,
    wanted: rollouts.Step | None,
    now_ms: int,
) -> list[commands.Command]:
    """Write a step once it has been due for as long as this daemon's turn takes."""
    if wanted is None:
        rollout.due = None
        return []
    due = rollout.due
    if due is None or due[:2] != (wanted.phase, wanted.number):
        due = rollout.due = (wanted.phase, wanted.number, now_ms)
    turn_ms = decider.turn_ms(gateway, service, now_ms)
    if turn_ms is None or now_ms - due[2] < turn_ms or now_ms < rollout.write_until_ms:
        return []
    rollout.write_until_ms = now_ms + WRITE_MS
    return [
        commands.WriteRolloutStep(
            service,
            wanted,
            store.number_of(rollout.order_revision),
            store.number_of(rollout.step_revision),
            store.number_of(rollout.status_revision),
        )
    ]


def _verdict_line(service: str, rollout: rollouts.Rollout) -> commands.Command:
    found = rollout.gathered.total
    return common.log(
        log_events.ROLLOUT_JUDGED_BAD,
        service=service,
        order=rollout.order_number,
        reason=rollout.reason,
        answers=found.new.answers,
        failed=found.new.failed,
        slow=found.new.slow,
        old_answers=found.old.answers,
        old_failed=found.old.failed,
        old_slow=found.old.slow,
    )
