"""Case: a leaf restarts under its identity, cold, while the store is silent."""

import asyncio
import time
from typing import Final

from review.tests import clients, leaf, record, site

COLD_PER_S: Final = 4.0
COLD_S: Final = 3.0
# WarmupPerS x WarmupOverage + WarmupSlack.
BOUND: Final = COLD_PER_S * 1.5 + 5
# The leaf crashes at four times the rate that it tolerates.
CRASH_ABOVE: Final = 4 * COLD_PER_S
OUTAGE_S: Final = 4.5
DOWN_S: Final = 1.0
CLIENTS_PER_DAEMON: Final = 10
INTERVAL_S: Final = 0.25
LEAVES: Final = 3


async def _restart_cold(one: site.Site, log: record.Record) -> list[float]:
    """Cause the disruption; return when the leaf got requests while it was cold."""
    restarted = one.leaves[0]
    one.store.set_mode("silent")
    log.add("the store is silent")
    end_s = time.monotonic() + OUTAGE_S
    await asyncio.sleep(0.2)
    restarted.crash()
    log.add("i-0 crashes")
    await asyncio.sleep(DOWN_S)
    await restarted.restart(COLD_S)
    log.add("i-0 is back under its identity, and cold")

    def crash_again() -> None:
        log.add("i-0 crashes from too many requests")
        restarted.crash()

    restarted.crash_above, restarted.on_overload = CRASH_ABOVE, crash_again
    await asyncio.sleep(end_s - time.monotonic())
    one.store.set_mode("open")
    one.store.put("servers/i-0", restarted.entry())
    log.add("the store answers again")
    for at_s in restarted.checks:
        log.add("health check at i-0, answered with X-Warmup-Ms", at_s)
    return [run.at_s for run in restarted.cold_runs(restarted.cold_since_s)]


async def _case(log: record.Record, trouble: bool) -> int:
    one = site.Site()
    leaves = [
        leaf.Leaf(f"i-{n}", "visits", site.ZONES[n % 3], 0.05) for n in range(LEAVES)
    ]
    outcomes: list[clients.Outcome] = []
    order = site.route(Name="order", PathPrefix="/order/", RouteType="non_idempotent")
    kinds = ({}, {}, {"method": "POST", "prefix": "/order/"})
    limits = {"WarmupS": COLD_S, "WarmupPerS": COLD_PER_S}
    try:
        await one.start(leaves, 3, site.route(), order, **limits)
        await asyncio.sleep(1)
        end_s = time.monotonic() + 10
        tasks = [
            asyncio.create_task(
                clients.Client(daemon, f"{daemon.name}-{n}", outcomes).request_until(
                    end_s,
                    INTERVAL_S,
                    n * INTERVAL_S / CLIENTS_PER_DAEMON,
                    **kinds[n % 3],
                )
            )
            for daemon in one.daemons
            for n in range(CLIENTS_PER_DAEMON)
        ]
        await asyncio.sleep(3)
        times = await _restart_cold(one, log) if trouble else []
        await asyncio.gather(*tasks)
    finally:
        await one.close()
    for at_s in times:
        log.add("i-0 gets a request while it is cold", at_s)
    for outcome in outcomes:
        if outcome.status != 200:
            text = f"{outcome.request_id} answered {outcome.status}"
            log.add(text, outcome.ended_s)
    log.add(f"answers by status: {clients.count(outcomes)}")
    log.add(f"most in one second: {leaf.worst_second(times)}, bound {BOUND}")
    return record.BROKEN if leaf.worst_second(times) > BOUND else record.HELD


if __name__ == "__main__":
    record.run_case(_case)
