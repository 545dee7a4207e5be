"""A run of a simulated site under load and faults."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.transport.bench import search_collector, sites, workload

WARM_UP_MS: Final = 5_000
COOL_DOWN_MS: Final = 5_000
STEP_MS: Final = 1_000

Action = Callable[[], None]


class Plan(NamedTuple):
    """Load and faults of a trial.

    Attributes
    ----------
    shape : Shape
        The site.
    policy : Policy
        Settings of the service.
    rate : callable
        Given the time since the begin of the measured span in milliseconds, returns
        the searches per second; the time is negative during the warm-up.
    seconds : int
        Length of the measured span.
    deadline_ms : int
        Deadline of the service.
    stragglers : Stragglers
        The slow leaf calls.
    """

    shape: sites.Shape
    policy: sites.Policy
    rate: workload.Rate
    seconds: int
    deadline_ms: int = 400
    stragglers: workload.Stragglers = workload.Stragglers()


class Trial:
    """A run of a site with its callers.

    Parameters
    ----------
    plan : Plan
        Load and faults of the trial.
    seed : int
        Seeds all random choices.

    Attributes
    ----------
    begin_ms, end_ms : int
        The measured span.
    """

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.site = sites.Site(plan.shape, plan.policy, seed, plan.deadline_ms)
        self.begin_ms = sites.START_MS + WARM_UP_MS
        self.end_ms = self.begin_ms + plan.seconds * 1_000
        self.collector = search_collector.SearchCollector(
            plan.shape, self.begin_ms, self.end_ms, plan.deadline_ms
        )
        self.callers = workload.Callers(
            self.site,
            lambda now_ms: plan.rate(now_ms - self.begin_ms),
            seed + 1,
            self.collector,
        )
        self.site.network.targets.service_ms = workload.service_time(
            plan.stragglers, seed + 2, self.collector.add_run
        )

    def at(self, since_begin_ms: int, action: Action) -> None:
        """Schedule an action at a time since the begin of the measured span."""
        self.site.network.at(self.begin_ms + since_begin_ms, action)

    def run(self) -> search_collector.SearchCollector:
        """Run the trial to its end and return the statistics."""
        network = self.site.network
        self.callers.start(sites.START_MS, self.end_ms)
        for now_ms in range(network.now_ms, self.end_ms + COOL_DOWN_MS, STEP_MS):
            network.run_until(now_ms + STEP_MS)
            self.collector.add_answers(network.answers)
            network.answers.clear()
            network.logs.clear()
        return self.collector
