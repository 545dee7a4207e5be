"""Experiment: rolling updates of the index version under load."""

from typing import Final, NamedTuple

from amaranthpulley.state import standin_leaf
from amaranthpulley.transport.bench import sites, trial, workload

LOAD_SHARE: Final = 0.3
SECONDS: Final = 30
QUICK_SECONDS: Final = 4
# All shards of an instance switch together, one instance after the other.
INSTANCE_INTERVAL_MS: Final = 300
# How long a leaf holds both the old version and the new one.
OVERLAP_MS: Final = 1_000
PAUSE_MS: Final = 1_000


class RollingRow(NamedTuple):
    """Correctness and latency of the answers, with and without rolling updates."""

    service: str
    policy: str
    rolling: str
    versions: int
    searches: int
    mixed_answers: int
    coverage_errors: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    mean_coverage: float
    least_coverage: float
    refused: int
    extra_load: float


def run(seed: int, quick: bool = False) -> list[RollingRow]:
    """Return a row for each service, policy and overlap, also without updates."""
    shapes = (sites.DISPATCH,) if quick else (sites.DISPATCH, sites.COUNTER_DESK)
    seconds = QUICK_SECONDS if quick else SECONDS
    return [
        run_trial(shape, policy, overlap_ms, seconds, seed)
        for shape in shapes
        for policy in (sites.PLAIN, sites.FULL)
        for overlap_ms in (None, OVERLAP_MS, 0)
    ]


class _VersionRollout:
    """Repeatedly moves all instances, one after the other, to the next version."""

    def __init__(self, rolling_trial: trial.Trial, overlap_ms: int) -> None:
        self.version = sites.FIRST_VERSION
        self._trial = rolling_trial
        self._overlap_ms = overlap_ms
        self._instances = rolling_trial.plan.shape.instances

    def start_next_version(self) -> None:
        """Start the update to the next version, unless the trial has ended."""
        network = self._trial.site.network
        if network.now_ms >= self._trial.end_ms:
            return
        self.version += 1
        for instance in range(self._instances):
            network.after(instance * INSTANCE_INTERVAL_MS, self._move_action(instance))
        network.after(
            self._instances * INSTANCE_INTERVAL_MS + PAUSE_MS, self.start_next_version
        )

    def _move_action(self, instance: int) -> trial.Action:
        version = self.version
        return lambda: self._move(instance, version)

    def _move(self, instance: int, version: int) -> None:
        site = self._trial.site
        for shard in range(site.shape.shards):
            leaf = site.leaves[f"{site.shape.service}-{instance}-{shard}"]
            site.load_version(leaf, version)
            site.network.after(self._overlap_ms, _drop_action(leaf, version - 1))


def _drop_action(leaf: standin_leaf.StandInLeaf, version: int) -> trial.Action:
    return lambda: leaf.drop(version)


def run_trial(
    shape: sites.Shape,
    policy: sites.Policy,
    overlap_ms: int | None,
    seconds: int,
    seed: int,
) -> RollingRow:
    """Return the row of one run; None as `overlap_ms` means no updates."""
    capacity = shape.capacity_per_second(workload.MEAN_SERVICE_MS)
    rate = workload.constant(LOAD_SHARE * capacity)
    rolling_trial = trial.Trial(trial.Plan(shape, policy, rate, seconds), seed)
    rollout = _VersionRollout(rolling_trial, overlap_ms or 0)
    if overlap_ms is not None:
        rolling_trial.at(0, rollout.start_next_version)
    measured = rolling_trial.run()
    return RollingRow(
        shape.service,
        policy.name,
        "none" if overlap_ms is None else f"{overlap_ms} ms overlap",
        rollout.version - sites.FIRST_VERSION,
        measured.sent,
        measured.mixed_answers,
        measured.coverage_errors,
        measured.latency_ms.quantile(0.5),
        measured.latency_ms.quantile(0.99),
        measured.latency_ms.quantile(0.999),
        measured.coverage.mean,
        measured.coverage.minimum,
        measured.refused,
        measured.runs_for_each(shape.shards) - 1.0,
    )
