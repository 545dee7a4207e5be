"""A soak's site with routes of every kind, changing limits and troubled leaves."""

import random
import threading
import time
from typing import Any, Final

from amaranthpulley.platform import names
from amaranthpulley.platform.tests import wire_samples
from tests.soak import soak_site

# Bodies are limited to one of these.
LIMITS: Final = (10_000, 40_000)
LEAF_MODES: Final = ("reject once", "copies", "reject", "extra", "fail", "silent")
MAXIMUM_TROUBLE_S: Final = 2.0
BUSY_WORK_MS: Final = 80


class MixedSite(soak_site.SoakSite):
    """A site whose visits may run once, with a page beside them.

    Attributes
    ----------
    body_bytes : int
        The limit of bodies in the latest configuration.
    """

    def __init__(self, daemons: int, copies: int) -> None:
        self.body_bytes = LIMITS[0]
        super().__init__(daemons, copies)

    def configure(self, **changes: object) -> str:
        """Write a new configuration; return the path prefix that it adds."""
        self.version += 1
        prefix = f"/v{self.version}/"
        page = {"Name": "page", "PathPrefix": "/visit/page/"}
        configuration: dict[str, Any] = wire_samples.configuration(
            self.version,
            wire_samples.route(**changes),
            wire_samples.visit_route(RouteType="non_idempotent", **changes),
            wire_samples.visit_route(**{**page, **changes}),
            wire_samples.route(Name="probe", PathPrefix=prefix),
        )
        configuration["Limits"]["MaxBodyBytes"] = self.body_bytes
        self.control_store(put=names.CONFIGURATION_KEY, value=configuration)
        return prefix

    def crash_visits(self, rng: random.Random) -> str:
        """Kill all leaves that serve visits at once, and start them again."""
        leaves = [leaf for leaf in self.leaves if leaf.service == "visits"]
        for leaf in leaves:
            # With long work, each leaf is running requests when it is killed.
            self.control_leaf(leaf, mode="answer", work_ms=BUSY_WORK_MS)
        time.sleep(5 * BUSY_WORK_MS / 1000)
        for leaf in leaves:
            for name, runs in self.control_leaf(leaf).items():
                leaf.past_runs[name] = leaf.past_runs.get(name, 0) + runs
        for leaf in leaves:
            leaf.process.kill()
        for leaf in leaves:
            leaf.process.wait()
        time.sleep(rng.uniform(0.2, 1.0))
        for leaf in leaves:
            self.start_leaf(leaf)
        return "all leaves of visits crashed"

    def trouble_leaves(self, rng: random.Random) -> str:
        """Let some leaves of one service misbehave for a while."""
        service = rng.choice((*wire_samples.SHARDS, "visits", "visits", "visits"))
        mode = rng.choice(LEAF_MODES)
        found = [leaf for leaf in self.leaves if leaf.service == service]
        if mode in ("fail", "silent"):
            found = found[:1]
        for leaf in found:
            self.control_leaf(leaf, mode=mode)
        time.sleep(rng.uniform(0.5, MAXIMUM_TROUBLE_S))
        for leaf in found:
            self.control_leaf(leaf, mode="answer")
        return f"{service} {mode}"

    def change_routes(self, rng: random.Random) -> str:
        """Write configurations in series."""
        for _ in range(rng.randint(1, 3)):
            self.body_bytes = rng.choice(LIMITS)
            self.configure(TimeoutMs=rng.choice((700, 800, 900)))
            time.sleep(0.1)
        return f"configuration {self.version}"


def play_troubles(
    site: MixedSite, seed: int, seconds: float, history: list[str]
) -> threading.Thread:
    """Start a thread that plays troubles from a seed, the crash of a service last."""

    def play() -> None:
        rng = random.Random(seed)
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            trouble = rng.choice((site.trouble_leaves,) * 3 + (site.change_routes,))
            history.append(trouble(rng))
        history.append(site.crash_visits(rng))

    thread = threading.Thread(target=play, daemon=True)
    thread.start()
    return thread
