"""Experiment: store writes for each order, and orders under faults.

The daemons run the real decisions on claims, their owners and repeated orders. The
network, the store and the targets are stand-ins under virtual time.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.state import requests
from amaranthpulley.transport.bench import histogram, order_site

DAEMONS: Final = 8
SETTLE_MS: Final = 15_000

# Enough for the highest rate, so that the targets are not the bottleneck.
COST_SLOTS: Final = 64


class Rate(NamedTuple):
    """A rate of orders, and how long it lasts."""

    orders_per_second: int
    seconds: int


RATES: Final = (Rate(1, 300), Rate(10, 60), Rate(100, 20), Rate(1_000, 5))
HIGHEST_RATE: Final = Rate(10_000, 2)
QUICK_RATES: Final = (Rate(1, 20), Rate(100, 2))


class OrderCostRow(NamedTuple):
    """Cost of orders for the store, without faults."""

    orders_per_second: int
    orders: int
    done: int
    writes_for_each: float
    reads_for_each: float
    writes_per_second: float
    written_kb_per_second: float
    p50_ms: float
    p99_ms: float


FAULT_DAEMONS: Final = 6
FAULT_SLOTS: Final = 4
FAULT_RATE: Final = 20
FAULT_SECONDS: Final = 60
QUICK_FAULT_SECONDS: Final = 5
REPEAT_DELAY_MS: Final = 1_500
MAXIMUM_TRIES: Final = 4
LOST_MESSAGE_SHARE: Final = 0.02
LOST_STORE_REPLY_SHARE: Final = 0.1
OUTAGE_INTERVAL_MS: Final = 15_000
OUTAGE_MS: Final = 4_000
RESTART_INTERVAL_MS: Final = 5_000
PAUSE_MS: Final = 2_000

Fault = Callable[[order_site.OrderSite, int], None]


class OrderFaultRow(NamedTuple):
    """Outcomes of orders whose callers repeat them, under one kind of fault.

    `false_not_run` counts requests that were refused as not run although they are in
    the targets' `started_requests`; `unknown_share` is the share of orders whose last
    try had an unknown outcome.
    """

    fault: str
    orders: int
    tries: int
    done: int
    not_run: int
    unknown: int
    unanswered: int
    runs_over_one: int
    false_not_run: int
    unknown_share: float


def run(seed: int, quick: bool = False) -> list[OrderCostRow | OrderFaultRow]:
    """Return a row for each rate, and one for each kind of fault."""
    rates = QUICK_RATES if quick else (*RATES, HIGHEST_RATE)
    seconds = QUICK_FAULT_SECONDS if quick else FAULT_SECONDS
    costs = [_measure_cost(rate, seed) for rate in rates]
    return [*costs, *(_measure_fault(name, seed, seconds) for name in FAULTS)]


def _measure_cost(rate: Rate, seed: int) -> OrderCostRow:
    site = order_site.OrderSite(seed, DAEMONS, COST_SLOTS)
    end_ms = site.network.now_ms + rate.seconds * 1_000
    site.schedule_arrivals(
        rate.orders_per_second,
        end_ms,
        lambda number: site.order(site.draw_vm(), f"order-{number}"),
    )
    site.network.run_until(end_ms)
    calls_in_span = site.store_call_counter.calls
    site.network.run_until(end_ms + order_site.DEADLINE_MS)
    latency_ms = histogram.Histogram()
    for answered in site.network.answers:
        if isinstance(answered.command.outcome, requests.OrderDone):
            sent = site.sent[answered.command.request.request_id]
            latency_ms.add(answered.at_ms - sent.at_ms)
    orders = len(site.sent)
    return OrderCostRow(
        rate.orders_per_second,
        orders,
        len(latency_ms),
        site.store_call_counter.calls.writes / orders,
        site.store_call_counter.calls.reads / orders,
        calls_in_span.writes / rate.seconds,
        calls_in_span.written_bytes / 1_000 / rate.seconds,
        latency_ms.quantile(0.5),
        latency_ms.quantile(0.99),
    )


class _Callers:
    """Callers that repeat an order until it is done, in up to `MAXIMUM_TRIES` tries."""

    def __init__(self, site: order_site.OrderSite) -> None:
        self.site = site
        self.last_try: dict[str, str] = {}
        self._tries: dict[str, int] = {}
        self._answers_read = 0
        self._outcomes: dict[str, requests.Outcome] = {}

    @property
    def outcomes(self) -> dict[str, requests.Outcome]:
        """The outcome of each request that was answered."""
        answers = self.site.network.answers
        for answered in answers[self._answers_read :]:
            request_id = answered.command.request.request_id
            self._outcomes[request_id] = answered.command.outcome
        self._answers_read = len(answers)
        return self._outcomes

    def send(self, key: str) -> None:
        """Send an order, and repeat it after `REPEAT_DELAY_MS` unless it is done."""
        self._tries[key] = self._tries.get(key, 0) + 1
        self.last_try[key] = self.site.order(self.site.draw_vm(), key)
        if self._tries[key] < MAXIMUM_TRIES:
            self.site.network.after(
                REPEAT_DELAY_MS, lambda: self._repeat_unless_done(key)
            )

    def _repeat_unless_done(self, key: str) -> None:
        outcome = self.outcomes.get(self.last_try[key])
        if not isinstance(outcome, requests.OrderDone):
            self.send(key)


def _measure_fault(name: str, seed: int, seconds: int) -> OrderFaultRow:
    site = order_site.OrderSite(seed, FAULT_DAEMONS, FAULT_SLOTS)
    callers = _Callers(site)
    end_ms = site.network.now_ms + seconds * 1_000
    FAULTS[name](site, end_ms)
    site.schedule_arrivals(
        FAULT_RATE, end_ms, lambda number: callers.send(f"order-{number}")
    )
    site.network.run_until(end_ms + SETTLE_MS)
    outcomes = callers.outcomes
    last_outcomes = [
        outcomes.get(request_id) for request_id in callers.last_try.values()
    ]
    unknown = sum(
        isinstance(outcome, requests.OrderUnknown) for outcome in last_outcomes
    )
    return OrderFaultRow(
        name,
        len(last_outcomes),
        len(site.sent),
        sum(isinstance(outcome, requests.OrderDone) for outcome in last_outcomes),
        sum(isinstance(outcome, requests.Refusal) for outcome in last_outcomes),
        unknown,
        sum(outcome is None for outcome in last_outcomes),
        sum(count > 1 for count in site.runs.values()),
        sum(
            isinstance(outcome, requests.Refusal)
            and outcome.not_run
            and request_id in site.network.targets.started_requests
            for request_id, outcome in outcomes.items()
        ),
        unknown / len(last_outcomes),
    )


def _no_fault(site: order_site.OrderSite, end_ms: int) -> None:
    return


def _lost_messages(site: order_site.OrderSite, end_ms: int) -> None:
    rng = site.network.random

    def delay(sender: str, receiver: str) -> int | None:
        return None if rng.random() < LOST_MESSAGE_SHARE else 1

    site.network.delay = delay


def _lost_store_replies(site: order_site.OrderSite, end_ms: int) -> None:
    usual = order_site.USUAL_STORE
    site.network.platform.faults = usual._replace(
        lost_reply_share=LOST_STORE_REPLY_SHARE
    )


def _outages(site: order_site.OrderSite, end_ms: int) -> None:
    platform = site.network.platform

    def set_down(down: bool) -> None:
        platform.faults = platform.faults._replace(down=down)

    for begin_ms in range(site.network.now_ms + 1_000, end_ms, OUTAGE_INTERVAL_MS):
        site.network.at(begin_ms, lambda: set_down(True))
        site.network.at(begin_ms + OUTAGE_MS, lambda: set_down(False))


def _restarts(site: order_site.OrderSite, end_ms: int) -> None:
    def restart() -> None:
        vm = site.draw_vm()
        site.network.crash(vm.name)
        site.start(vm)

    for due_ms in range(site.network.now_ms + 1_000, end_ms, RESTART_INTERVAL_MS):
        site.network.at(due_ms, restart)


def _pauses(site: order_site.OrderSite, end_ms: int) -> None:
    for due_ms in range(site.network.now_ms + 1_000, end_ms, RESTART_INTERVAL_MS):
        site.network.at(
            due_ms, lambda: site.network.pause(site.draw_vm().name, PAUSE_MS)
        )


def _all_faults(site: order_site.OrderSite, end_ms: int) -> None:
    for fault in (_lost_messages, _lost_store_replies, _outages, _restarts, _pauses):
        fault(site, end_ms)


FAULTS: Final[dict[str, Fault]] = {
    "none": _no_fault,
    "2% of messages lost": _lost_messages,
    "10% of store replies lost": _lost_store_replies,
    "store down 4 s of 15 s": _outages,
    "a daemon restarts every 5 s": _restarts,
    "a daemon pauses 2 s every 5 s": _pauses,
    "all of these": _all_faults,
}
