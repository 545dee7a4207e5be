"""Run soaks by seed.

Usage: run [--seeds RANGE] [--seconds N] [--daemons N] [--copies N]

Options:
  --seeds RANGE  First and last seed [default: 1-1].
  --seconds N    How long faults come, for each seed [default: 10].
  --daemons N    Daemons [default: 3].
  --copies N     Leaves of each service [default: 2].

Exit status 1 when a promise was broken; the seed and what was seen are printed.
"""

import collections
import sys
import threading
import time
from typing import Final, NamedTuple

import docopt
import urllib3

from tests.soak import faults, promises, site

CLIENTS: Final = 6
LANES: Final = 3
PAUSE_S: Final = 0.02
# After the faults every request is answered again within this time.
RECOVERY_S: Final = 8.0
IN_FORCE_S: Final = 3.0
# The bound counts from this time after the last fault on: a watch that was sent to a
# silent store is given up after 6 s at the latest.
TOUCH_S: Final = 5.0
LAST_REQUESTS: Final = 60


class Result(NamedTuple):
    """What a soak saw."""

    broken: list[str]
    statuses: dict[str, int]
    faults: list[str]


def soak(seed: int, seconds: float, daemons: int, copies: int) -> Result:
    """Play one seed and return what was seen."""
    at = site.SoakSite(daemons, copies)
    try:
        return _soak(at, seed, seconds)
    finally:
        at.close()


def _soak(at: site.SoakSite, seed: int, seconds: float) -> Result:
    kept = promises.Promises({leaf.leaf_id: leaf.service for leaf in at.leaves})
    http = urllib3.PoolManager(num_pools=50, maxsize=CLIENTS, retries=False)
    told: list[str] = []
    stop = threading.Event()
    clients = [
        threading.Thread(target=_client, args=(at, kept, http, stop, n), daemon=True)
        for n in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    for lane in faults.play(at, seed, seconds, LANES, told):
        lane.join()
    for daemon in at.daemons:
        at.wait_ready(daemon)
    stop.set()
    for client in clients:
        client.join()
    _check_recovery(at, kept, http)
    runs: collections.Counter[str] = collections.Counter()
    for leaf in at.leaves:
        runs.update(at.tell_leaf(leaf))
        runs.update(leaf.past_runs)
    kept.check_runs(runs)
    for daemon in at.daemons:
        if "internal_error" in at.log_of(daemon):
            kept.broke(f"{daemon.name} logged an internal error")
    return Result(kept.broken, dict(kept.statuses), told)


def _client(
    at: site.SoakSite,
    kept: promises.Promises,
    http: urllib3.PoolManager,
    stop: threading.Event,
    number: int,
) -> None:
    sent = 0
    while not stop.is_set():
        sent += 1
        kind = "visit" if sent % 4 == 0 else "wide"
        daemon = at.daemons[(number + sent) % len(at.daemons)]
        kept.ask(http, daemon.front, kind, f"c{number}-{sent}")
        time.sleep(PAUSE_S)


def _check_recovery(
    at: site.SoakSite, kept: promises.Promises, http: urllib3.PoolManager
) -> None:
    end = time.monotonic() + RECOVERY_S
    time.sleep(TOUCH_S)
    prefix = at.configure()
    changed = time.monotonic()
    for daemon in at.daemons:
        url = f"http://{daemon.front}{prefix}1"
        headers = {
            "Host": "search.example",
            "X-Request-Id": "p",
            "X-Deadline-Ms": "900",
        }
        while http.request("GET", url, headers=headers).status == 404:
            if time.monotonic() - changed > IN_FORCE_S:
                kept.broke(f"{daemon.name}: a version is not in force in time")
                break
            time.sleep(0.1)
    time.sleep(max(0.0, end - time.monotonic()))
    for number in range(LAST_REQUESTS):
        daemon = at.daemons[number % len(at.daemons)]
        kind = "visit" if number % 4 == 0 else "wide"
        told = kept.ask(http, daemon.front, kind, f"last-{number}")
        if told != "200":
            kept.broke(f"{daemon.name}: {kind} after the faults: {told}")


def main() -> int:
    """Run the seeds that the command line names."""
    arguments = docopt.docopt(__doc__)
    first, _, last = arguments["--seeds"].partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        result = soak(
            seed,
            float(arguments["--seconds"]),
            int(arguments["--daemons"]),
            int(arguments["--copies"]),
        )
        failed += bool(result.broken)
        print(
            f"seed {seed}: {result.statuses}, {len(result.faults)} faults", flush=True
        )
        for broken in result.broken[:10]:
            print(f"  broken: {broken}", flush=True)
        if result.broken:
            print(f"  faults: {result.faults}", flush=True)
    print(f"{failed} seeds with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
