"""Case: SIGHUP ends a process that is still starting."""

import asyncio
import contextlib
import signal
from typing import Final

from review.tests import leaf, record, site

DAEMONS: Final = 5
SIGNALLED: Final = 2
STARTS: Final = 3
# Time from the start of a process to the signal, and until its end is noticed.
AFTER_START_S: Final = 0.1
NOTICE_S: Final = 0.4
RESTART_S: Final = 0.3


async def _restart(
    one: site.Site, daemon: site.Daemon, log: record.Record, trouble: bool
) -> int:
    """Restart a machine whose settings change meanwhile; count the ends by itself."""
    daemon.send_signal(signal.SIGTERM)
    log.add(f"{daemon.name}: SIGTERM")
    await daemon.process.wait()
    ends = 0
    for _ in range(STARTS):
        await asyncio.sleep(RESTART_S)
        await one.start_daemon(daemon)
        log.add(f"{daemon.name}: started")
        await asyncio.sleep(AFTER_START_S)
        if trouble:
            daemon.send_signal(signal.SIGHUP)
            log.add(f"{daemon.name}: SIGHUP")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(daemon.process.wait(), NOTICE_S)
        if daemon.process.returncode is None:
            break
        ends += 1
        log.add(f"{daemon.name}: ended by itself, code {daemon.process.returncode}")
    if daemon.process.returncode is not None:
        await one.start_daemon(daemon)
    await one.wait_until_ready(daemon)
    log.add(f"{daemon.name}: ready")
    return ends


async def _case(log: record.Record, trouble: bool) -> int:
    one = site.Site()
    leaves = [leaf.Leaf(f"i-{n}", "visits", site.ZONES[n], 0.02) for n in range(3)]
    try:
        await one.start(leaves, DAEMONS)
        ends = [
            await _restart(one, daemon, log, trouble)
            for daemon in one.daemons[:SIGNALLED]
        ]
    finally:
        await one.close()
    log.add(f"ends by itself: {ends}")
    return record.BROKEN if all(n >= STARTS for n in ends) else record.HELD


if __name__ == "__main__":
    # A shell may have started this process with the signal ignored.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    record.run_case(_case)
