"""Experiment: sudden loss of a failure domain whose leaves come back cold."""

from typing import Final, NamedTuple

from amaranthpulley.state import standin_leaf
from amaranthpulley.state.control import members
from amaranthpulley.transport.bench import search_collector, sites, trial, workload

LOAD_SHARE: Final = 0.4
LOSS_AT_S: Final = 5
RETURN_AT_S: Final = 20
END_AT_S: Final = 40
# Requests that a leaf must finish before it is warm.
WARM_AFTER: Final = (10, 20)
QUICK_TIMES_S: Final = (1, 3, 5)
# Time after which the balancer's health check detects that a VM died or came back.
BALANCER_CHECK_MS: Final = 1_000


class SecondRow(NamedTuple):
    """Searches and their answers in one second of a run."""

    policy: str
    warm_after: int
    second: int
    sent: int
    useful: int
    p99_ms: float


class DomainLossRow(NamedTuple):
    """Totals of one run, including the work of cold leaves.

    Attributes
    ----------
    warm_after : int
        Requests that a leaf must finish before it is warm.
    unanswered : int
        Searches that got no reply, because their VM died with the failure domain.
    least_useful_share : float
        Lowest ratio of useful answers to searches in any second, from the second
        after the balancer has removed the dead VMs.
    seconds_below : int
        Seconds in which the ratio of useful answers to searches was below 0.95.
    cold_runs : int
        Requests that leaves ran while they were cold.
    cold_bound : int
        Requests that a cold leaf can run at the same time.
    falls : int
        Times that a cold leaf crashed because it got more than that.
    """

    service: str
    policy: str
    warm_after: int
    sent: int
    useful: int
    refused: int
    unanswered: int
    least_useful_share: float
    seconds_below: int
    p99_ms: float
    cold_runs: int
    cold_bound: int
    falls: int
    mixed_answers: int
    coverage_errors: int


def run(seed: int, quick: bool = False) -> list[tuple]:
    """Return the totals of each policy, then its rows by second."""
    times = QUICK_TIMES_S if quick else (LOSS_AT_S, RETURN_AT_S, END_AT_S)
    totals: list[tuple] = []
    by_second: list[tuple] = []
    for warm_after in WARM_AFTER[:1] if quick else WARM_AFTER:
        for policy in (sites.PLAIN, sites.FULL):
            loss_trial = _DomainLossTrial(
                sites.DISPATCH, policy, warm_after, seed, *times
            )
            measured = loss_trial.trial.run()
            totals.append(_total_row(loss_trial, measured))
            by_second += _second_rows(loss_trial, measured)
    return [*totals, *by_second]


def run_trial(
    shape: sites.Shape, policy: sites.Policy, seed: int, times_s: tuple[int, int, int]
) -> DomainLossRow:
    """Return the totals of one run, given the times of loss, return and end."""
    loss_trial = _DomainLossTrial(shape, policy, WARM_AFTER[0], seed, *times_s)
    return _total_row(loss_trial, loss_trial.trial.run())


class _DomainLossTrial:
    """A trial that loses the first failure domain and brings it back cold."""

    def __init__(
        self,
        shape: sites.Shape,
        policy: sites.Policy,
        warm_after: int,
        seed: int,
        loss_at_s: int,
        return_at_s: int,
        end_at_s: int,
    ) -> None:
        self.loss_at_s = loss_at_s
        self.cold = standin_leaf.ColdMode(
            workload.COLD_CONCURRENCY, warm_after, workload.COLD_SLOWDOWN
        )
        rate = workload.constant(
            LOAD_SHARE * shape.capacity_per_second(workload.MEAN_SERVICE_MS)
        )
        self.trial = trial.Trial(trial.Plan(shape, policy, rate, end_at_s), seed)
        self._site = self.trial.site
        self._domain = shape.failure_domains[0]
        self.trial.at(loss_at_s * 1_000, self._lose_domain)
        self.trial.at(loss_at_s * 1_000 + BALANCER_CHECK_MS, self._remove_from_balancer)
        self.trial.at(return_at_s * 1_000, self._restore_domain)
        self.trial.at(return_at_s * 1_000 + BALANCER_CHECK_MS, self._return_to_balancer)

    @property
    def _vms(self) -> list[members.Vm]:
        return [vm for vm in self._site.vms if vm.failure_domain == self._domain]

    def _lose_domain(self) -> None:
        self._site.links.isolated_domains.add(self._domain)
        for vm in self._vms:
            self._site.network.crash(vm.name)

    def _remove_from_balancer(self) -> None:
        dead = {vm.name for vm in self._vms}
        callers = self.trial.callers
        callers.balancer_vms = [
            name for name in callers.balancer_vms if name not in dead
        ]

    def _restore_domain(self) -> None:
        self._site.links.isolated_domains.clear()
        for leaf in self._site.leaves_of(self._domain):
            leaf.restart(self.cold)
        for vm in self._vms:
            self._site.start_daemon(vm, life="2")

    def _return_to_balancer(self) -> None:
        self.trial.callers.balancer_vms = [vm.name for vm in self._site.vms]


def _total_row(
    loss_trial: _DomainLossTrial, measured: search_collector.SearchCollector
) -> DomainLossRow:
    plan = loss_trial.trial.plan
    seconds = _whole_seconds(measured)
    first_balanced_second = (
        measured.begin_ms // search_collector.SECOND_MS + loss_trial.loss_at_s + 2
    )
    return DomainLossRow(
        plan.shape.service,
        plan.policy.name,
        loss_trial.cold.warm_after,
        measured.sent,
        measured.useful,
        measured.refused,
        measured.unanswered_count,
        min(
            _useful_share(measured, second)
            for second in seconds
            if second >= first_balanced_second
        ),
        sum(_useful_share(measured, second) < 0.95 for second in seconds),
        measured.latency_ms.quantile(0.99),
        measured.cold_runs,
        workload.COLD_CONCURRENCY,
        sum(leaf.falls for leaf in loss_trial.trial.site.leaves.values()),
        measured.mixed_answers,
        measured.coverage_errors,
    )


def _second_rows(
    loss_trial: _DomainLossTrial, measured: search_collector.SearchCollector
) -> list[SecondRow]:
    first = measured.begin_ms // search_collector.SECOND_MS
    return [
        SecondRow(
            loss_trial.trial.plan.policy.name,
            loss_trial.cold.warm_after,
            second - first,
            measured.sent_by_second[second],
            measured.useful_by_second[second],
            measured.latency_between(second, second + 1).quantile(0.99),
        )
        for second in _whole_seconds(measured)
    ]


def _whole_seconds(measured: search_collector.SearchCollector) -> range:
    second_ms = search_collector.SECOND_MS
    return range(measured.begin_ms // second_ms, measured.end_ms // second_ms)


def _useful_share(measured: search_collector.SearchCollector, second: int) -> float:
    return measured.useful_by_second[second] / measured.sent_by_second[second]
