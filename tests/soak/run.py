"""Run soaks by seed.

Usage: run [--seeds RANGE] [--seconds N] [--daemons N] [--copies N] [--restores]

Options:
  --seeds RANGE  First and last seed [default: 1-1].
  --seconds N    How long faults come, for each seed [default: 10].
  --daemons N    Daemons [default: 3].
  --copies N     Leaves of each service [default: 2].
  --restores     Let the store come back from copies as well.

Exit status 1 when a promise was broken; the seed and what was seen are printed.
"""

import collections
import sys
import threading
import time
from typing import Final, NamedTuple

import docopt
import urllib3

from tests.soak import answer_checks, faults, soak_site

CLIENT_COUNT: Final = 6
FAULT_THREADS: Final = 3
REQUEST_INTERVAL_S: Final = 0.02
# Within this time after the last fault every request must be answered again.
RECOVERY_TIMEOUT_S: Final = 8.0
# The users' bound: so long after the last fault, a configuration that was written right
# after it is in force.
CONTACT_S: Final = 5.0
FINAL_REQUESTS: Final = 60


class Result(NamedTuple):
    """The result of one soak."""

    violations: list[str]
    statuses: dict[str, int]
    faults: list[str]


def soak(
    seed: int, seconds: float, daemons: int, copies: int, restores: bool = False
) -> Result:
    """Run the soak of one seed."""
    site = soak_site.SoakSite(daemons, copies)
    try:
        kinds = faults.WITH_RESTORES if restores else faults.ALL_FAULTS
        return _soak(site, seed, seconds, kinds)
    finally:
        site.close()


def _soak(
    site: soak_site.SoakSite,
    seed: int,
    seconds: float,
    kinds: tuple[faults.Fault, ...],
) -> Result:
    checker = answer_checks.AnswerChecker(
        {leaf.leaf_id: leaf.service for leaf in site.leaves}
    )
    http = urllib3.PoolManager(num_pools=50, maxsize=CLIENT_COUNT, retries=False)
    history: list[str] = []
    stop = threading.Event()
    clients = [
        threading.Thread(
            target=_client, args=(site, checker, http, stop, n), daemon=True
        )
        for n in range(CLIENT_COUNT)
    ]
    for client in clients:
        client.start()
    for thread in faults.start_faults(
        site, seed, seconds, FAULT_THREADS, history, kinds
    ):
        thread.join()
    for daemon in site.daemons:
        site.wait_until_ready(daemon)
    stop.set()
    for client in clients:
        client.join()
    _check_recovery(site, checker, http)
    runs: collections.Counter[str] = collections.Counter()
    for leaf in site.leaves:
        runs.update(site.control_leaf(leaf))
        runs.update(leaf.past_runs)
    checker.check_runs(runs)
    for daemon in site.daemons:
        if "internal_error" in site.read_log(daemon):
            checker.add_violation(f"{daemon.name} logged an internal error")
    return Result(checker.violations, dict(checker.statuses), history)


def _client(
    site: soak_site.SoakSite,
    checker: answer_checks.AnswerChecker,
    http: urllib3.PoolManager,
    stop: threading.Event,
    number: int,
) -> None:
    sent = 0
    while not stop.is_set():
        sent += 1
        kind = "visit" if sent % 4 == 0 else "wide"
        daemon = site.daemons[(number + sent) % len(site.daemons)]
        checker.send_request(http, daemon.front, kind, f"c{number}-{sent}")
        time.sleep(REQUEST_INTERVAL_S)


def _check_recovery(
    site: soak_site.SoakSite,
    checker: answer_checks.AnswerChecker,
    http: urllib3.PoolManager,
) -> None:
    end = time.monotonic() + RECOVERY_TIMEOUT_S
    prefix = site.configure()
    changed = time.monotonic()
    for daemon in site.daemons:
        url = f"http://{daemon.front}{prefix}1"
        headers = {
            "Host": "search.example",
            "X-Request-Id": "p",
            "X-Deadline-Ms": "900",
        }
        while http.request("GET", url, headers=headers).status == 404:
            if time.monotonic() - changed > CONTACT_S:
                checker.add_violation(
                    f"{daemon.name}: the new configuration is not in force in time"
                )
                break
            time.sleep(0.1)
    time.sleep(max(0.0, end - time.monotonic()))
    for number in range(FINAL_REQUESTS):
        daemon = site.daemons[number % len(site.daemons)]
        kind = "visit" if number % 4 == 0 else "wide"
        status = checker.send_request(http, daemon.front, kind, f"last-{number}")
        if status != "200":
            checker.add_violation(f"{daemon.name}: {kind} after the faults: {status}")


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
            arguments["--restores"],
        )
        failed += bool(result.violations)
        print(
            f"seed {seed}: {result.statuses}, {len(result.faults)} faults", flush=True
        )
        for violation in result.violations[:10]:
            print(f"  broken: {violation}", flush=True)
        if result.violations:
            print(f"  faults: {result.faults}", flush=True)
    print(f"{failed} seeds with a broken promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
