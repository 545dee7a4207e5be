"""Case: the leaves of a zone become cold one shortly after the other."""

import asyncio
import time
from typing import Final

from review.tests import clients, leaf, record, site

COLD_PER_S: Final = 4.0
COLD_S: Final = 3.0
# WarmupPerS x WarmupOverage + WarmupSlack.
BOUND: Final = COLD_PER_S * 1.5 + 5
# Time between the entries of the leaves of the zone.
STEP_S: Final = 0.1
CLIENTS_PER_DAEMON: Final = 15
INTERVAL_S: Final = 0.25
LEAVES: Final = 7


async def _cool(one: site.Site, log: record.Record) -> list[leaf.Leaf]:
    """Let the leaves of the first zone become cold, as their entries say at once."""
    cooled = [server for server in one.leaves if server.zone == site.ZONES[0]]
    for server in cooled:
        server.become_cold(COLD_S)
        one.store.put(f"servers/{server.leaf_id}", server.entry())
        log.add(f"{server.leaf_id} becomes cold, and its entry says so")
        await asyncio.sleep(STEP_S)
    return cooled


async def _case(log: record.Record, trouble: bool) -> int:
    one = site.Site()
    leaves = [
        leaf.Leaf(f"i-{n}", "visits", site.ZONES[n % 3], 0.03) for n in range(LEAVES)
    ]
    outcomes: list[clients.Outcome] = []
    cooled: list[leaf.Leaf] = []
    try:
        await one.start(leaves, 3, WarmupS=COLD_S, WarmupPerS=COLD_PER_S)
        await asyncio.sleep(0.5)
        end_s = time.monotonic() + 7
        tasks = [
            asyncio.create_task(
                clients.Client(daemon, f"{daemon.name}-{n}", outcomes).request_until(
                    end_s, INTERVAL_S, n * INTERVAL_S / CLIENTS_PER_DAEMON
                )
            )
            for daemon in one.daemons
            for n in range(CLIENTS_PER_DAEMON)
        ]
        await asyncio.sleep(2)
        if trouble:
            cooled = await _cool(one, log)
        await asyncio.gather(*tasks)
    finally:
        await one.close()
    log.add(f"answers by status: {clients.count(outcomes)}")
    worst = 0
    for server in cooled:
        times = [run.at_s for run in server.cold_runs(server.cold_since_s)]
        for at_s in times:
            log.add(f"{server.leaf_id} gets a request while it is cold", at_s)
        most = leaf.worst_second(times)
        log.add(f"{server.leaf_id}: most in one second {most}, bound {BOUND}")
        worst = max(worst, most)
    return record.BROKEN if worst > BOUND else record.HELD


if __name__ == "__main__":
    record.run_case(_case)
