"""Experiment: effect of slow leaf calls on the tail latency of searches."""

from typing import Final, NamedTuple

from amaranthpulley.transport.bench import sites, trial, workload

LOAD_SHARE: Final = 0.3
SECONDS: Final = 20
QUICK_SECONDS: Final = 3
# Shorter, because each search of this site asks 81 leaves.
WIDE_SECONDS: Final = 10
# Longer than a slow call, so that the deadline does not cut off the tail latency.
DEADLINE_MS: Final = 1_000
SLOW_SHARE: Final = 0.01
NONE: Final = "none"
SLOW_CALLS: Final = "one call in 100"
SLOW_LEAF: Final = "one slow leaf"
BOTH: Final = "both"
FAULTS: Final = (NONE, SLOW_CALLS, SLOW_LEAF, BOTH)


class StragglerRow(NamedTuple):
    """Latency, coverage and load of one policy under one fault."""

    service: str
    fault: str
    policy: str
    searches: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    mean_coverage: float
    least_coverage: float
    refused: int
    extra_load: float
    most_connections: int


def run(seed: int, quick: bool = False) -> list[StragglerRow]:
    """Return a row for each service, fault and policy."""
    seconds = QUICK_SECONDS if quick else SECONDS
    shapes = (sites.DISPATCH,) if quick else (sites.DISPATCH, sites.COUNTER_DESK)
    cases = [(shape, fault) for shape in shapes for fault in FAULTS]
    if not quick:
        others = (sites.OLD_DESK, sites.LEDGER_VIEWER, sites.WIDE)
        cases += [(shape, BOTH) for shape in others]
    return [
        _row(shape, fault, policy, seconds, seed)
        for shape, fault in cases
        for policy in (sites.PLAIN, sites.FULL)
    ]


def _row(
    shape: sites.Shape, fault: str, policy: sites.Policy, seconds: int, seed: int
) -> StragglerRow:
    capacity = shape.capacity_per_second(workload.MEAN_SERVICE_MS)
    rate = workload.constant(LOAD_SHARE * capacity)
    stragglers = _stragglers(shape, fault)
    if shape is sites.WIDE:
        seconds = min(seconds, WIDE_SECONDS)
    plan = trial.Plan(shape, policy, rate, seconds, DEADLINE_MS, stragglers)
    running = trial.Trial(plan, seed)
    measured = running.run()
    return StragglerRow(
        shape.service,
        fault,
        policy.name,
        measured.sent,
        measured.latency_ms.quantile(0.5),
        measured.latency_ms.quantile(0.99),
        measured.latency_ms.quantile(0.999),
        measured.coverage.mean,
        measured.coverage.minimum,
        measured.refused,
        measured.runs_for_each(shape.shards) - 1.0,
        running.site.links.most_connections,
    )


def _stragglers(shape: sites.Shape, fault: str) -> workload.Stragglers:
    share = SLOW_SHARE if fault in (SLOW_CALLS, BOTH) else 0.0
    slow = f"{shape.service}-0-0" if fault in (SLOW_LEAF, BOTH) else ""
    return workload.Stragglers(share=share, slow_leaf=slow)
