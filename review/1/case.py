"""A late copy of a leaf's rejection makes a request run twice."""

import asyncio
import collections
import itertools
import pathlib
import random
import sys
from typing import Final

from standins import http_wire, leaf, site

# The largest dose of the small site file for late extra answers: 4 in 100 answers of
# half of the leaves, for 5 s at a time.
LATE_SHARE: Final = 0.04
LATE_S: Final = 5.0
PAUSE_S: Final = 1.0
WINDOWS: Final = 14
# One of the two leaves of each service gives the late answers.
LEAF_ZONES: Final = ("za", "zb")
SERVICES: Final = ("portal", "cobranca", "agenda", "pedidos")
DAEMONS: Final = 8
CLIENTS: Final = 14
THINK_S: Final = 0.02
WORK_MS: Final = 30.0
DEADLINE_MS: Final = 2_000
PROMISES: Final = frozenset({408, 421, 429, 503})


async def play(place: site.Site) -> bool:
    """Send visits that may run once; return whether one ran more than once."""
    await place.start(DAEMONS)
    for service in SERVICES:
        for zone in LEAF_ZONES:
            name = f"i-{service}-{zone}"
            added = leaf.Leaf(name, service, zone, slots=2, queue=1, work_ms=WORK_MS)
            await place.add_leaf(added)
    kind = "non_idempotent"
    routes = [
        site.route(name, f"/{name}/", Service=name, RouteType=kind) for name in SERVICES
    ]
    await place.configure(*routes, connections=25)
    await place.wait_until_ready()
    answers: dict[str, str] = {}
    numbers = itertools.count()
    clients = [
        asyncio.create_task(_send_visits(place, service, n, numbers, answers))
        for service in SERVICES
        for n in range(CLIENTS)
    ]
    for _ in range(WINDOWS):
        await asyncio.sleep(PAUSE_S)
        for number, faulty in enumerate(place.leaves):
            chosen = place.troubled and number % len(LEAF_ZONES) == 0
            faulty.late_share = LATE_SHARE if chosen else 0.0
        await asyncio.sleep(LATE_S)
        for faulty in place.leaves:
            faulty.late_share = 0.0
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    await asyncio.sleep(1.0)
    return _judge(place, answers)


async def _send_visits(
    place: site.Site,
    service: str,
    number: int,
    numbers: itertools.count,
    answers: dict[str, str],
) -> None:
    chance = random.Random(number)
    client = http_wire.Client(place.daemons[number % len(place.daemons)].front)
    while True:
        await asyncio.sleep(chance.random() * 2 * THINK_S)
        name = f"visit-{next(numbers)}"
        headers = {
            "Host": site.HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        body = f"oven {name}".encode()
        answer = await client.request(
            f"POST /{service}/nova HTTP/1.1", headers, body, 2.5
        )
        got = str(answer.status if isinstance(answer, http_wire.Message) else answer)
        answers[name] = got


def _judge(place: site.Site, answers: dict[str, str]) -> bool:
    """Return whether a visit ran twice, or ran although its status denies it."""
    runs: dict[str, list[tuple[float, str]]] = collections.defaultdict(list)
    for target in place.leaves:
        for name, at_s in target.runs:
            runs[name].append((at_s, target.leaf_id))
    twice, refused = [], []
    for name, got in answers.items():
        found = sorted(runs[name])
        mark = ""
        if len(found) > 1:
            twice.append(name)
            mark = " TWICE"
        if found and got.isdigit() and int(got) in PROMISES:
            refused.append(name)
            mark += " REFUSED"
        ran = ", ".join(f"{leaf_id} at {place.at(at_s):.3f}" for at_s, leaf_id in found)
        place.note(f"{name} was answered {got}; run by {ran or 'none'}{mark}")
    counts = collections.Counter(answers.values())
    rejections = sum(target.rejections for target in place.leaves)
    copies = sum(target.late_copies for target in place.leaves)
    place.note(
        f"{len(answers)} visits {dict(counts)}, {rejections} rejected by leaves, "
        f"{copies} late copies, {len(twice)} ran twice, {len(refused)} refused but run"
    )
    return bool(twice or refused)


if __name__ == "__main__":
    sys.exit(site.run_case(play, pathlib.Path(__file__).resolve().parent))
