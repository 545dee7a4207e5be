"""Experiment: load beyond the capacity of the leaves, and the recovery from it."""

from typing import Final, NamedTuple

from amaranthpulley.transport.bench import search_collector, sites, trial, workload

SWEEP_LOADS: Final = (0.6, 0.8, 1.0)
SWEEP_SECONDS: Final = 4
BASE_LOAD: Final = 0.4
HIGH_LOAD: Final = 2.0
BEFORE_S: Final = 3
HIGH_S: Final = 6
AFTER_S: Final = 8
# The service has recovered once every later second has at least this ratio of useful
# answers to searches.
RECOVERED_SHARE: Final = 0.95


class SustainedRow(NamedTuple):
    """Useful answers at a constant load, as shares of the capacity of all slots."""

    service: str
    policy: str
    offered_share: float
    useful_share: float
    p99_ms: float


class OverloadRow(NamedTuple):
    """Useful answers in one phase of a load step.

    Attributes
    ----------
    useful_per_second : float
        Answers within the deadline with enough coverage.
    share_of_slots : float
        `useful_per_second` over the capacity of all slots.
    share_of_sustained : float
        `useful_per_second` over the best result of the same policy at a constant load.
    """

    service: str
    policy: str
    phase: str
    offered_per_second: float
    useful_per_second: float
    share_of_slots: float
    share_of_sustained: float
    p99_ms: float


class RecoveryRow(NamedTuple):
    """Recovery time after a load step, and totals of the whole run."""

    service: str
    policy: str
    seconds_to_recover: int
    refused: int
    late: int
    runs_for_each_part: float


def run(seed: int, quick: bool = False) -> list[tuple]:
    """Return the rows of each service and policy: sustained, by phase, recovery."""
    if quick:
        shape = sites.DISPATCH._replace(instances=3)
        return _rows(shape, sites.FULL, seed, sweep=SWEEP_LOADS[:1])
    return [
        row
        for shape in (sites.DISPATCH, sites.COUNTER_DESK)
        for policy in (sites.PLAIN, sites.FULL)
        for row in _rows(shape, policy, seed, SWEEP_LOADS)
    ]


def _rows(
    shape: sites.Shape, policy: sites.Policy, seed: int, sweep: tuple[float, ...]
) -> list[tuple]:
    sustained = [_measure_sustained(shape, policy, share, seed) for share in sweep]
    best = max(row.useful_share for row in sustained)
    capacity = shape.capacity_per_second(workload.MEAN_SERVICE_MS)
    measured = _measure_step(shape, policy, seed)
    first = measured.begin_ms // search_collector.SECOND_MS
    spans = {
        "before": (first, first + BEFORE_S),
        "overload": (first + BEFORE_S, first + BEFORE_S + HIGH_S),
        "after": (first + BEFORE_S + HIGH_S, first + BEFORE_S + HIGH_S + AFTER_S),
    }
    phases = []
    for phase, (begin, end) in spans.items():
        offered = _per_second(measured.sent_by_second, begin, end)
        useful = _per_second(measured.useful_by_second, begin, end)
        share = useful / capacity
        p99_ms = measured.latency_between(begin, end).quantile(0.99)
        phases.append(
            OverloadRow(
                shape.service,
                policy.name,
                phase,
                offered,
                useful,
                share,
                share / best if best else 0.0,
                p99_ms,
            )
        )
    recovery = RecoveryRow(
        shape.service,
        policy.name,
        _seconds_to_recover(measured, *spans["after"]),
        measured.refused,
        measured.late,
        measured.runs_for_each(shape.shards),
    )
    return [*sustained, *phases, recovery]


def _measure_sustained(
    shape: sites.Shape, policy: sites.Policy, share: float, seed: int
) -> SustainedRow:
    capacity = shape.capacity_per_second(workload.MEAN_SERVICE_MS)
    rate = workload.constant(share * capacity)
    measured = trial.Trial(trial.Plan(shape, policy, rate, SWEEP_SECONDS), seed).run()
    return SustainedRow(
        shape.service,
        policy.name,
        share,
        measured.useful / SWEEP_SECONDS / capacity,
        measured.latency_ms.quantile(0.99),
    )


def _measure_step(
    shape: sites.Shape, policy: sites.Policy, seed: int
) -> search_collector.SearchCollector:
    capacity = shape.capacity_per_second(workload.MEAN_SERVICE_MS)
    begin_ms = BEFORE_S * 1_000
    rate = workload.step_up_and_down(
        BASE_LOAD * capacity, HIGH_LOAD * capacity, begin_ms, begin_ms + HIGH_S * 1_000
    )
    seconds = BEFORE_S + HIGH_S + AFTER_S
    return trial.Trial(trial.Plan(shape, policy, rate, seconds), seed).run()


def _per_second(by_second: dict[int, int], begin: int, end: int) -> float:
    return sum(by_second.get(second, 0) for second in range(begin, end)) / (end - begin)


def _seconds_to_recover(
    measured: search_collector.SearchCollector, begin: int, end: int
) -> int:
    # The last second is excluded: the load ends within it.
    for second in reversed(range(begin, end - 1)):
        offered = measured.sent_by_second[second]
        if measured.useful_by_second[second] < RECOVERED_SHARE * offered:
            return second + 1 - begin
    return 0
