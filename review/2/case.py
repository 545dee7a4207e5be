"""A request that ran while all leaves of a service crashed is refused for minutes."""

import asyncio
import collections
import itertools
import os
import pathlib
import random
import signal
import sys
import time
from typing import Final, NamedTuple

from standins import http_wire, leaf, site

DAEMONS: Final = 6
SERVICE: Final = "agenda"
LEAF_ZONES: Final = (*site.ZONES, "za")
CLIENTS: Final = 40
THINK_S: Final = 0.3
DEADLINE_MS: Final = 2_000
BEFORE_S: Final = 8.0
# The small site file's days of this kind: all servers of a service for 4.5 s to 5.2 s.
CRASH_S: Final = 4.5
# The final fault: all processes are killed after one more acknowledged change, and
# start again after 0.82 s.
CLOSING_AFTER_S: Final = 1.0
DOWN_S: Final = 0.82
RECOVERY_S: Final = float(site.BOUNDS["RecoveryS"])
MEASURED_S: Final = 25.0
LEAST_SHARE: Final = 0.25


class Sent(NamedTuple):
    """A request and its answer."""

    at_s: float
    result: str


async def play(place: site.Site) -> bool:
    """Crash all leaves of the service, then kill all daemons; measure the recovery."""
    await place.start(DAEMONS)
    for number, zone in enumerate(LEAF_ZONES):
        await place.add_leaf(leaf.Leaf(f"i-{number}", SERVICE, zone))
    route = site.route("agenda", "/agenda/", Service=SERVICE)
    await place.configure(route)
    await place.wait_until_ready()
    sent: list[Sent] = []
    numbers = itertools.count()
    clients = [
        asyncio.create_task(_send_requests(place, number, numbers, sent))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(BEFORE_S)
    fault_s = time.monotonic()
    if place.troubled:
        returning = asyncio.create_task(_crash_leaves(place))
        await asyncio.sleep(CLOSING_AFTER_S)
        await place.configure({**route, "TimeoutMs": 1_900})
        await _kill_all_daemons(place)
        await returning
    back_s = fault_s + CLOSING_AFTER_S + DOWN_S
    await asyncio.sleep(back_s + RECOVERY_S + MEASURED_S - time.monotonic())
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return _judge(place, sent, fault_s, back_s + RECOVERY_S)


async def _crash_leaves(place: site.Site) -> None:
    crashed, place.leaves = place.leaves, []
    running = [target.running for target in crashed]
    for target in crashed:
        target.crash()
    place.note(f"all leaves have crashed; they were working on {running} requests")
    # Their entries are removed after three heartbeats of silence.
    await asyncio.sleep(3.6)
    for target in crashed:
        await place.store.delete(f"servers/{target.leaf_id}")
    await asyncio.sleep(CRASH_S - 3.6)
    for number, zone in enumerate(LEAF_ZONES):
        await place.add_leaf(leaf.Leaf(f"i-again-{number}", SERVICE, zone))


async def _kill_all_daemons(place: site.Site) -> None:
    if os.environ.get("TROUBLE") == "crash":
        return
    for daemon in place.daemons:
        daemon.signal(signal.SIGKILL)
    place.note("all daemons were killed")
    await asyncio.sleep(DOWN_S)
    for daemon in place.daemons:
        await place.start_daemon(daemon)


async def _send_requests(
    place: site.Site, number: int, numbers: itertools.count, sent: list[Sent]
) -> None:
    chance = random.Random(number)
    fronts = [daemon.front for daemon in place.daemons]
    client = http_wire.Client(fronts[number % len(fronts)])
    while True:
        await asyncio.sleep(chance.random() * 2 * THINK_S)
        headers = {
            "Host": site.HOST,
            "X-Request-Id": f"r-{next(numbers)}",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        at_s = time.monotonic()
        answer = await client.request("GET /agenda/hoje HTTP/1.1", headers, b"", 2.5)
        result = answer if isinstance(answer, str) else str(answer.status)
        sent.append(Sent(at_s, result))
        place.note(f"{headers['X-Request-Id']} {result}")


def _judge(
    place: site.Site, sent: list[Sent], fault_s: float, recovered_s: float
) -> bool:
    """Return whether less than a quarter is served, though it was before the fault."""
    shares = []
    for name, found in (
        ("before the fault", [r.result for r in sent if r.at_s < fault_s]),
        ("after the recovery", [r.result for r in sent if r.at_s > recovered_s]),
    ):
        counts = collections.Counter(found)
        shares.append(counts["200"] / max(1, len(found)))
        place.note(f"{name}: {dict(counts)}, {shares[-1]:.3f} served")
    for line in place.read_logs().splitlines():
        if "lost_leaf" in line or "crashes_leaves" in line:
            place.note(f"a daemon's log: {line[:300]}")
            break
    return shares[0] >= LEAST_SHARE > shares[1]


if __name__ == "__main__":
    sys.exit(site.run_case(play, pathlib.Path(__file__).resolve().parent))
