"""Case: SIGTERM while clients have several requests on one connection."""

import asyncio
import signal
import time
from typing import Final

from review.tests import clients, http_text, leaf, record, site

CLIENTS: Final = 5
REQUESTS: Final = 3
WORK_S: Final = 0.4
LOSS_SLACK_S: Final = 0.2
WAIT_S: Final = 5.0


async def _pipeline(daemon: site.Daemon, name: str, log: record.Record) -> int:
    """Send requests on one connection; return how many were cut without an answer."""
    reader, writer = await daemon.connect()
    for n in range(REQUESTS):
        writer.write(clients.request_text(f"{name}-{n}"))
        log.add(f"{name}-{n} sent")
    sent_s = time.monotonic()
    answered, end = 0, "all answered"
    try:
        while answered < REQUESTS:
            reading = http_text.read_message(reader)
            answer = await asyncio.wait_for(reading, WAIT_S)
            if answer is None:
                # The process had read all bytes: otherwise the system resets.
                end = "closed after all requests were read"
                break
            request_id = answer.headers["x-request-id"]
            log.add(f"{request_id} answered {answer.status}")
            answered += 1
    except (OSError, asyncio.IncompleteReadError) as error:
        end = f"broken off: {error!r}"
    open_s = time.monotonic() - sent_s
    writer.close()
    log.add(f"{name}: {end}, {open_s:.3f} s after the last byte was sent")
    is_cut = end.startswith("closed") and open_s > LOSS_SLACK_S
    return REQUESTS - answered if is_cut else 0


async def _case(log: record.Record, trouble: bool) -> int:
    one = site.Site()
    leaves = [leaf.Leaf(f"i-{n}", "visits", site.ZONES[n], WORK_S) for n in range(3)]
    try:
        await one.start(leaves, 3)
        daemon = one.daemons[0]
        tasks = [
            asyncio.create_task(_pipeline(daemon, f"c{n}", log)) for n in range(CLIENTS)
        ]
        await asyncio.sleep(WORK_S / 2)
        if trouble:
            daemon.send_signal(signal.SIGTERM)
            log.add("SIGTERM")
        cut = sum(await asyncio.gather(*tasks))
    finally:
        await one.close()
    for server in leaves:
        for run in server.runs:
            log.add(f"{run.leaf_id} runs {run.request_id}", run.at_s)
    log.add(f"requests that were read and cut: {cut}")
    return record.BROKEN if cut else record.HELD


if __name__ == "__main__":
    record.run_case(_case)
