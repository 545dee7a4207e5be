"""The plan of a roll-out: its steps, their lengths, and the time that its end needs.

Load pattern: a version that turns bad late, under load, or on one route only. The share
grows in steps with time to judge in each. Two of them begin with a short period of full
load, paid for by the requests that the steps before have left of the bound: a version
that fails under load fails there, while most requests still go to the old leaves.
"""

from typing import Final, NamedTuple

from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import rollouts

# Time after the write of a step at which its period of full load begins, so that all
# daemons have read it.
FULL_LOAD_DELAY_MS: Final = 1_500
# Time for the writes of the last two steps, each by the third daemon in turn and late.
# At 6 s, writes that the store carries out 4 s late end a roll-out after its deadline.
END_WRITES_MS: Final = 8_000
# Time between the end of the wait for the move and the write of `COMPLETED`.
MOVE_MARGIN_MS: Final = 500
# Longest time that a request under way on an old leaf is waited for.
LONGEST_REQUEST_MS: Final = 5_000
# Orders whose judgement would have less time than this are reverted.
SHORTEST_JUDGEMENT_MS: Final = 4_000


class Stage(NamedTuple):
    """A step of the plan.

    Attributes
    ----------
    share : float
        Part of the exposure bound's share that the target gets.
    length : float
        Part of the time for the judgement.
    full_load : bool
        Whether it begins with a short period of full load.
    """

    share: float
    length: float
    full_load: bool = False


# What a stage leaves of the bound is what the next period of full load may spend.
STAGES: Final = (
    Stage(0.2, 0.15),
    Stage(0.4, 0.25),
    Stage(0.5, 0.2, full_load=True),
    Stage(0.6, 0.2),
    Stage(0.6, 0.15, full_load=True),
)
# After delays, the service may move without the last stage: it has borne full load.
EARLIEST_LAST_STAGE: Final = 4
# Least part of its length that a stage lasts when the ones before were late.
SHORTEST_PART: Final = 0.4


def stage_of(step: rollouts.Step) -> Stage:
    """Return the stage of a step; numbers begin at 1."""
    return STAGES[min(step.number, len(STAGES)) - 1]


def move_ms(gateway: gateway_state.Gateway, service: str) -> int:
    """Return how long all requests must have gone to the target before the end.

    A daemon learns of the move within the time of a configuration change, and a request
    that it has sent to an old leaf before runs until its timeout.
    """
    longest_ms = 0
    configuration = gateway.configuration
    if configuration is not None:
        for prefixes in configuration.routes.values():
            for route in prefixes.values():
                names = {*route.shards, *(one.name for one in route.services)}
                if service in names:
                    longest_ms = max(longest_ms, route.timeout_ms)
    request_ms = min(LONGEST_REQUEST_MS, longest_ms)
    return gateway.limits.configuration_ms + request_ms + MOVE_MARGIN_MS


def judgement_ms(
    gateway: gateway_state.Gateway, service: str, order: rollouts.Order
) -> int:
    """Return the time for the judgement; negative if the order leaves none."""
    return order.duration_ms - move_ms(gateway, service) - END_WRITES_MS


def latest_move_ms(
    gateway: gateway_state.Gateway, service: str, deadline_ms: int
) -> int:
    """Return the time at which the move has to begin."""
    return deadline_ms - move_ms(gateway, service) - END_WRITES_MS


def end_ms(
    gateway: gateway_state.Gateway,
    service: str,
    order: rollouts.Order,
    step: rollouts.Step,
    deadline_ms: int,
    begun_ms: int,
) -> int:
    """Return the time at which a step ends.

    It depends on the deadline, so that delays of the steps before do not add up.
    """
    span_ms = judgement_ms(gateway, service, order)
    done = sum(stage.length for stage in STAGES[: step.number])
    planned_ms = latest_move_ms(gateway, service, deadline_ms) - (1 - done) * span_ms
    return int(
        max(planned_ms, begun_ms + SHORTEST_PART * stage_of(step).length * span_ms)
    )


def first(
    gateway: gateway_state.Gateway,
    rollout: rollouts.Rollout,
    order: rollouts.Order,
    now_ms: int,
) -> rollouts.Step:
    """Return the first step of an order."""
    wall_ms = now_ms + gateway.rollouts.wall_offset_ms
    left_ms = order.duration_ms - (now_ms - rollout.seen_ms)
    return rollouts.Step(
        rollout.order_number,
        order.target,
        1,
        rollouts.Phase.GROWING,
        STAGES[0].share * gateway.limits.exposure_share,
        0,
        wall_ms + left_ms,
        max(1, len(gateway.members)),
        tuple(sorted(rollout.barred())),
        "ordered",
    )


def grown(
    gateway: gateway_state.Gateway, step: rollouts.Step, now_ms: int
) -> rollouts.Step:
    """Return the next step in which the share grows."""
    following = step._replace(number=step.number + 1, reason="no sign of a bad version")
    stage = stage_of(following)
    wall_ms = now_ms + gateway.rollouts.wall_offset_ms
    return following._replace(
        share=stage.share * gateway.limits.exposure_share,
        full_at_ms=wall_ms + FULL_LOAD_DELAY_MS if stage.full_load else 0,
    )


def ended(step: rollouts.Step, phase: rollouts.Phase, reason: str) -> rollouts.Step:
    """Return the step to another phase."""
    return step._replace(
        number=step.number + 1, phase=phase, full_at_ms=0, reason=reason
    )
