"""Run soaks with requests of every kind, by seed.

Usage: mixed [--seeds RANGE] [--seconds N] [--daemons N] [--copies N]

Options:
  --seeds RANGE  First and last seed [default: 1-1].
  --seconds N    How long troubles come, for each seed [default: 10].
  --daemons N    Daemons [default: 3].
  --copies N     Leaves of each service [default: 3].

Exit status 1 when a rule was broken; the seed and what was seen are printed.
"""

import collections
import random
import sys
import threading
import time
from typing import Final

import docopt

from tests.soak import mixed_requests, mixed_site, run, wire_client

CLIENT_COUNT: Final = 12
# Clients that send small bodies on connections that they never close. There are more of
# them than requests may be denied.
STEADY_COUNT: Final = 24
STEADY_KIND: Final = ("POST", "/visit/page/today", "idempotent")
STEADY_BODY: Final = b"x" * 200
# The users' recovery time; the last configuration is in force sooner.
RECOVERY_S: Final = 12.0
THINK_S: Final = 0.01
CALM_THINK_S: Final = 0.3
NEW_CONNECTION_SHARE: Final = 0.05
PIPELINED_SHARE: Final = 0.1
TIMEOUT_S: Final = 2.0


class _Client:
    """A client that keeps a connection to one daemon, while it lasts."""

    def __init__(self, seed: str, front: str) -> None:
        self._rng = random.Random(seed)
        self._front = front
        self._name = seed.replace(" ", "-")
        self._connection: wire_client.WireClient | None = None
        self._sent = 0

    def ask(self, checker: mixed_requests.MixedChecker) -> None:
        """Send one request, or two at once."""
        if self._connection is not None:
            if self._rng.random() < NEW_CONNECTION_SHARE:
                self._drop()
        count = 2 if self._rng.random() < PIPELINED_SHARE else 1
        asked = [self._draw() for _ in range(count)]
        # The answer to such a request closes the connection.
        oversized = [request for request in asked if request.kind == "oversized"]
        self._exchange(checker, oversized[:1] or asked)
        if oversized:
            self._drop()

    def ask_kind(
        self, checker: mixed_requests.MixedChecker, kind: tuple, body: bytes
    ) -> int | None:
        """Send a request of one kind; return the status, None without an answer."""
        self._sent += 1
        name = f"{self._name}-{self._sent}"
        request = mixed_requests.MixedRequest(name, *kind, body, False)
        return self._exchange(checker, [request])

    def _draw(self) -> mixed_requests.MixedRequest:
        self._sent += 1
        name = f"{self._name}-{self._sent}"
        return mixed_requests.draw(self._rng, name, mixed_site.LIMITS)

    def _exchange(
        self, checker: mixed_requests.MixedChecker, asked: list
    ) -> int | None:
        try:
            if self._connection is None:
                self._connection = wire_client.WireClient(self._front, TIMEOUT_S)
            return checker.exchange(self._connection, asked)[-1]
        except (wire_client.EndedError, OSError):
            self._drop()
            return None

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def soak(seed: int, seconds: float, daemons: int, copies: int) -> run.Result:
    """Run the soak of one seed."""
    site = mixed_site.MixedSite(daemons, copies)
    try:
        return _soak(site, seed, seconds)
    finally:
        site.close()


class _Load:
    """Clients of a site, each in a thread of its own, until they are stopped."""

    def __init__(self, site: mixed_site.MixedSite, seed: int) -> None:
        self.checker = mixed_requests.MixedChecker(
            tuple(leaf.leaf_id for leaf in site.leaves)
        )
        fronts = [daemon.front for daemon in site.daemons]
        self.clients = [
            _Client(f"{seed} {n}", fronts[n % len(fronts)]) for n in range(CLIENT_COUNT)
        ]
        self.steady = [
            _Client(f"{seed} steady {n}", fronts[n % len(fronts)])
            for n in range(STEADY_COUNT)
        ]
        self.think_s = THINK_S
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=play, args=(client,), daemon=True)
            for play, clients in (
                (self._play, self.clients),
                (self._keep, self.steady),
            )
            for client in clients
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop all clients."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _play(self, client: _Client) -> None:
        while not self._stop.is_set():
            client.ask(self.checker)
            time.sleep(self.think_s)

    def _keep(self, client: _Client) -> None:
        while not self._stop.is_set():
            client.ask_kind(self.checker, STEADY_KIND, STEADY_BODY)
            time.sleep(CALM_THINK_S)


def _soak(site: mixed_site.MixedSite, seed: int, seconds: float) -> run.Result:
    load = _Load(site, seed)
    checker = load.checker
    history: list[str] = []
    mixed_site.play_troubles(site, seed, seconds, history).join()
    load.think_s = CALM_THINK_S
    site.body_bytes = mixed_site.LIMITS[1]
    site.configure()
    time.sleep(RECOVERY_S)
    load.stop()
    _check_calm(load.clients, load.steady, checker)
    _check_runs(site, checker)
    for daemon in site.daemons:
        if "internal_error" in site.read_log(daemon):
            checker.add_violation(f"{daemon.name} logged an internal error")
    return run.Result(checker.violations, dict(checker.statuses), history)


def _check_calm(
    clients: list[_Client],
    steady: list[_Client],
    checker: mixed_requests.MixedChecker,
) -> None:
    """Check that each kind is served again, with bodies of the new limit."""
    body = b"x" * mixed_site.LIMITS[1]
    for client in steady:
        client.ask_kind(checker, STEADY_KIND, body)
    for kind in sorted(set(mixed_requests.KINDS)):
        sent = body if kind[0] == "POST" else b""
        statuses = [client.ask_kind(checker, kind, sent) for client in clients]
        expected = 404 if kind[2] == "none" else 200
        served = statuses.count(expected) / len(statuses)
        if served < mixed_requests.SERVED_SHARE:
            checker.add_violation(f"RECOVER: {kind}: {statuses}")
    checker.check_counts()


def _check_runs(
    site: mixed_site.MixedSite, checker: mixed_requests.MixedChecker
) -> None:
    runs: collections.Counter[str] = collections.Counter()
    for leaf in site.leaves:
        runs.update(site.control_leaf(leaf))
        runs.update(leaf.past_runs)
    checker.check_runs(runs)


def _summary(violations: list[str]) -> list[str]:
    """Return for each broken rule how often it was broken, and how first."""
    by_rule: dict[str, list[str]] = {}
    for violation in violations:
        by_rule.setdefault(violation.partition(":")[0], []).append(violation)
    return [f"{len(found)} times {found[0]}" for found in by_rule.values()]


def main() -> int:
    """Run the seeds that the command line names."""
    arguments = docopt.docopt(__doc__)
    first, _, last = arguments["--seeds"].partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        numbers = [int(arguments[name]) for name in ("--daemons", "--copies")]
        result = soak(seed, float(arguments["--seconds"]), *numbers)
        failed += bool(result.violations)
        answers = sum(result.statuses.values())
        troubles = len(result.faults)
        print(f"seed {seed}: {answers} answers, {troubles} troubles", flush=True)
        for line in _summary(result.violations):
            print(f"  broken: {line}", flush=True)
        if result.violations:
            print(f"  troubles: {result.faults}", flush=True)
    print(f"{failed} seeds with a broken rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
