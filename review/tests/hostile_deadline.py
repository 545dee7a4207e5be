"""Case: one client's malformed deadline leaves other clients without an answer."""

import asyncio
from typing import Final

from review.tests import clients, leaf, record, site

KEY: Final = "key-1"
ORDINARY: Final = 20
HOSTILE: Final = 4
ROUNDS: Final = 4
TIMEOUT_S: Final = 2.0
ANSWERED_WITHIN_S: Final = 0.5
DIGITS: Final = 5_000


async def _send_ordinary(client: clients.Client) -> None:
    for _ in range(6):
        await client.request(X_Key=KEY)
        await asyncio.sleep(0.05)


async def _send_hostile(client: clients.Client, trouble: bool) -> None:
    second = clients.request_text("h", X_Key=KEY, X_Deadline_Ms="9" * DIGITS)
    for _ in range(6):
        if await client.request(second if trouble else b"", X_Key=KEY) <= 0:
            return
        await asyncio.sleep(0.05)


async def _case(log: record.Record, trouble: bool) -> int:
    one = site.Site()
    one.tenants = [{"Name": "gym", "ApiKeys": [KEY], "RatePerS": 2.0, "Burst": 0.0}]
    leaves = [leaf.Leaf(f"i-{n}", "visits", site.ZONES[n], 0.03) for n in range(3)]
    ordinary: list[clients.Outcome] = []
    hostile: list[clients.Outcome] = []
    try:
        await one.start(leaves, 3)
        await asyncio.sleep(2)
        daemon = one.daemons[0]
        for turn in range(ROUNDS):
            tasks = [
                _send_ordinary(clients.Client(daemon, f"o{turn}-{n}", ordinary))
                for n in range(ORDINARY)
            ]
            tasks += [
                _send_hostile(clients.Client(daemon, f"h{turn}-{n}", hostile), trouble)
                for n in range(HOSTILE)
            ]
            await asyncio.gather(*tasks)
        return _judge(log, ordinary, hostile)
    finally:
        await one.close()


def _judge(
    log: record.Record, ordinary: list[clients.Outcome], hostile: list[clients.Outcome]
) -> int:
    late = [one for one in ordinary if one.ended_s - one.sent_s > TIMEOUT_S]
    unanswered = [
        one
        for one in late
        if one.ended_s - one.sent_s > TIMEOUT_S + ANSWERED_WITHIN_S or one.status <= 0
    ]
    for outcome in (*ordinary, *hostile):
        log.add(f"{outcome.request_id} sent", outcome.sent_s)
        log.add(f"{outcome.request_id} ended: {outcome.status}", outcome.ended_s)
    log.add(f"hostile clients: {clients.count(hostile)}")
    log.add(f"ordinary clients: {clients.count(ordinary)}")
    log.add(f"unanswered at {TIMEOUT_S} s: {len(late)}, later: {len(unanswered)}")
    return record.BROKEN if 2 * len(unanswered) > len(late) else record.HELD


if __name__ == "__main__":
    record.run_case(_case)
