"""Faults of a soak, drawn by a seed; they come in series and overlap."""

import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Final

from tests.soak import proxy, soak_site

LEAF_MODES: Final = ("silent", "reset", "reject", "fail", "cut", "extra", "garble")
# Longest time that one fault lasts, in seconds.
MAXIMUM_FAULT_S: Final = 3.0
EXIT_TIMEOUT_S: Final = 4.0

Fault = Callable[["site.SoakSite", random.Random], str]


def leaf_misbehaves(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Have a leaf answer wrongly for a while."""
    leaf, mode = rng.choice(site.leaves), rng.choice(LEAF_MODES)
    site.control_leaf(leaf, mode=mode)
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    site.control_leaf(leaf, mode="answer")
    return f"{leaf.leaf_id} {mode}"


def leaf_is_slow(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Have a leaf take long for a while."""
    leaf = rng.choice(site.leaves)
    site.control_leaf(leaf, work_ms=rng.choice((100, 400)))
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    site.control_leaf(leaf, work_ms=5)
    return f"{leaf.leaf_id} slow"


def leaf_link_fails(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Disturb the way to a leaf."""
    leaf, mode = rng.choice(site.leaves), rng.choice(proxy.MODES[1:])
    _disturb(site, leaf.proxy, mode, rng)
    return f"{leaf.leaf_id} link {mode}"


def leaf_pauses(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Stop a leaf's process and let it go on."""
    leaf = rng.choice(site.leaves)
    leaf.process.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.1, MAXIMUM_FAULT_S))
    leaf.process.send_signal(signal.SIGCONT)
    return f"{leaf.leaf_id} paused"


def leaf_restarts(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Kill a leaf's process and start a new life under the same identity."""
    leaf = rng.choice(site.leaves)
    for name, runs in site.control_leaf(leaf).items():
        leaf.past_runs[name] = leaf.past_runs.get(name, 0) + runs
    leaf.process.kill()
    leaf.process.wait()
    time.sleep(rng.uniform(0.0, 1.0))
    site.start_leaf(leaf)
    return f"{leaf.leaf_id} restarted"


def leaf_drains(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Take a leaf out and back."""
    leaf = rng.choice(site.leaves)
    site.register(leaf, "draining")
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    site.register(leaf)
    return f"{leaf.leaf_id} drained"


def store_link_fails(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Disturb one daemon's way to the store."""
    daemon, mode = rng.choice(site.daemons), rng.choice(proxy.MODES[1:])
    _disturb(site, daemon.proxy, mode, rng)
    return f"{daemon.name} store link {mode}"


def store_fails(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Have the store refuse, or say nothing, and forget its history."""
    failing = rng.choice((503, 429, 0))
    site.control_store(failing=failing)
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    site.control_store(failing=None, drop_history=rng.random() < 0.5)
    return f"store {failing}"


def configuration_changes(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Write configurations in quick succession."""
    for _ in range(rng.randint(1, 4)):
        site.configure(TimeoutMs=rng.choice((700, 800, 900)))
        time.sleep(0.1)
    return f"configuration {at.version}"


def daemon_pauses(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Stop a daemon's process and let it go on."""
    daemon = rng.choice(site.daemons)
    daemon.process.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.1, MAXIMUM_FAULT_S))
    daemon.process.send_signal(signal.SIGCONT)
    return f"{daemon.name} paused"


def daemon_restarts(site: soak_site.SoakSite, rng: random.Random) -> str:
    """End a daemon's process by a signal and start it again."""
    daemon = rng.choice(site.daemons)
    number = rng.choice((signal.SIGTERM, signal.SIGKILL))
    daemon.process.send_signal(signal.SIGCONT)
    daemon.process.send_signal(number)
    daemon.process.wait(EXIT_TIMEOUT_S)
    time.sleep(rng.uniform(0.0, 0.5))
    site.start_daemon(daemon)
    return f"{daemon.name} {number.name}"


ALL_FAULTS: Final[tuple[Fault, ...]] = (
    leaf_misbehaves,
    leaf_is_slow,
    leaf_link_fails,
    leaf_pauses,
    leaf_restarts,
    leaf_drains,
    store_link_fails,
    store_fails,
    configuration_changes,
    daemon_pauses,
    daemon_restarts,
)
# Faults that end or stop a process come one at a time: a stopped one cannot be told
# anything, nor ended in order.
EXCLUSIVE_FAULTS: Final = (
    leaf_misbehaves,
    leaf_is_slow,
    leaf_pauses,
    leaf_restarts,
    daemon_pauses,
    daemon_restarts,
)


def _disturb(
    site: soak_site.SoakSite, link: proxy.Proxy, mode: str, rng: random.Random
) -> None:
    link.set_mode(mode, site.proxies.loop)
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    # Connections that were silenced have lost bytes, and are reset.
    link.set_mode("reset", site.proxies.loop)
    link.set_mode("pass", site.proxies.loop)


def start_faults(
    site: soak_site.SoakSite, seed: int, seconds: float, lanes: int, told: list[str]
) -> list[threading.Thread]:
    """Begin to play faults in several lanes at once; return the lanes' threads."""
    end = time.monotonic() + seconds
    lock = threading.Lock()

    def lane(number: int) -> None:
        rng = random.Random(f"{seed} {number}")
        while time.monotonic() < end:
            fault = rng.choice(ALL_FAULTS)
            if fault in EXCLUSIVE_FAULTS:
                with lock:
                    told.append(fault(site, rng))
            else:
                told.append(fault(site, rng))
            time.sleep(rng.uniform(0.0, 0.5))

    threads = [
        threading.Thread(target=lane, args=(number,), daemon=True)
        for number in range(lanes)
    ]
    for thread in threads:
        thread.start()
    return threads
