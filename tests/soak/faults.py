"""Faults of a soak, drawn at random from a seed; faults may overlap."""

import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Final

from tests.soak import proxy, soak_site

LEAF_MODES: Final = ("silent", "reset", "reject", "fail", "cut", "extra", "garble")
# Longest duration of one fault.
MAXIMUM_FAULT_S: Final = 3.0
EXIT_TIMEOUT_S: Final = 4.0

Fault = Callable[["soak_site.SoakSite", random.Random], str]


def leaf_misbehaves(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Make a leaf give wrong answers temporarily."""
    leaf, mode = rng.choice(site.leaves), rng.choice(LEAF_MODES)
    site.control_leaf(leaf, mode=mode)
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    site.control_leaf(leaf, mode="answer")
    return f"{leaf.leaf_id} {mode}"


def leaf_is_slow(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Make a leaf slow temporarily."""
    leaf = rng.choice(site.leaves)
    site.control_leaf(leaf, work_ms=rng.choice((100, 400)))
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    site.control_leaf(leaf, work_ms=5)
    return f"{leaf.leaf_id} slow"


def leaf_link_fails(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Break the link to a leaf temporarily."""
    leaf, mode = rng.choice(site.leaves), rng.choice(proxy.MODES[1:])
    _break_link(site, leaf.proxy, mode, rng)
    return f"{leaf.leaf_id} link {mode}"


def leaf_pauses(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Pause a leaf's process and resume it."""
    leaf = rng.choice(site.leaves)
    leaf.process.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.1, MAXIMUM_FAULT_S))
    leaf.process.send_signal(signal.SIGCONT)
    return f"{leaf.leaf_id} paused"


def leaf_restarts(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Kill a leaf's process and restart it under the same identity."""
    leaf = rng.choice(site.leaves)
    for name, runs in site.control_leaf(leaf).items():
        leaf.past_runs[name] = leaf.past_runs.get(name, 0) + runs
    leaf.process.kill()
    leaf.process.wait()
    time.sleep(rng.uniform(0.0, 1.0))
    site.start_leaf(leaf)
    return f"{leaf.leaf_id} restarted"


def leaf_drains(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Drain a leaf and return it to service."""
    leaf = rng.choice(site.leaves)
    site.register(leaf, "draining")
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    site.register(leaf)
    return f"{leaf.leaf_id} drained"


def store_link_fails(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Break one daemon's link to the store temporarily."""
    daemon, mode = rng.choice(site.daemons), rng.choice(proxy.MODES[1:])
    _break_link(site, daemon.proxy, mode, rng)
    return f"{daemon.name} store link {mode}"


def store_fails(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Make the store refuse calls or stay silent, and possibly drop its history."""
    failing = rng.choice((503, 429, 0))
    site.control_store(failing=failing)
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    site.control_store(failing=None, drop_history=rng.random() < 0.5)
    return f"store {failing}"


def store_is_restored(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Let the store come back from a copy some time after it fell silent."""
    site.control_store(copy=True)
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    site.raise_revision(rng.choice((5, 100)))
    site.configure()
    time.sleep(rng.uniform(0.0, 1.0))
    site.control_store(failing=0)
    time.sleep(rng.uniform(0.1, 1.0))
    site.control_store(failing=None, restore=True)
    time.sleep(rng.uniform(0.0, 1.5))
    site.write_again()
    return "store restored"


def configuration_changes(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Write configurations in quick succession."""
    for _ in range(rng.randint(1, 4)):
        site.configure(TimeoutMs=rng.choice((700, 800, 900)))
        time.sleep(0.1)
    return f"configuration {site.version}"


def daemon_pauses(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Pause a daemon's process and resume it."""
    daemon = rng.choice(site.daemons)
    daemon.process.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.1, MAXIMUM_FAULT_S))
    daemon.process.send_signal(signal.SIGCONT)
    return f"{daemon.name} paused"


def daemon_restarts(site: soak_site.SoakSite, rng: random.Random) -> str:
    """Terminate or kill a daemon's process and restart it."""
    daemon = rng.choice(site.daemons)
    signum = rng.choice((signal.SIGTERM, signal.SIGKILL))
    daemon.process.send_signal(signal.SIGCONT)
    daemon.process.send_signal(signum)
    daemon.process.wait(EXIT_TIMEOUT_S)
    time.sleep(rng.uniform(0.0, 0.5))
    site.start_daemon(daemon)
    return f"{daemon.name} {signum.name}"


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
# Apart, so that the draws of the other seeds stay as they are.
WITH_RESTORES: Final = (*ALL_FAULTS, store_is_restored, store_is_restored)
# Faults that control, pause or end a process are injected one at a time: a paused
# process takes no control commands and does not shut down cleanly.
EXCLUSIVE_FAULTS: Final = (
    leaf_misbehaves,
    leaf_is_slow,
    leaf_pauses,
    leaf_restarts,
    daemon_pauses,
    daemon_restarts,
    store_is_restored,
)


def _break_link(
    site: soak_site.SoakSite, link: proxy.Proxy, mode: str, rng: random.Random
) -> None:
    link.set_mode(mode, site.proxies.loop)
    time.sleep(rng.uniform(0.3, MAXIMUM_FAULT_S))
    # Connections on the failed link have lost bytes, so they are reset.
    link.set_mode("reset", site.proxies.loop)
    link.set_mode("pass", site.proxies.loop)


def start_faults(
    site: soak_site.SoakSite,
    seed: int,
    seconds: float,
    thread_count: int,
    history: list[str],
    kinds: tuple[Fault, ...] = ALL_FAULTS,
) -> list[threading.Thread]:
    """Start threads that inject faults and append them to `history`; return them."""
    end = time.monotonic() + seconds
    lock = threading.Lock()

    def inject(number: int) -> None:
        rng = random.Random(f"{seed} {number}")
        while time.monotonic() < end:
            fault = rng.choice(kinds)
            if fault in EXCLUSIVE_FAULTS:
                with lock:
                    history.append(fault(site, rng))
            else:
                history.append(fault(site, rng))
            time.sleep(rng.uniform(0.0, 0.5))

    threads = [
        threading.Thread(target=inject, args=(number,), daemon=True)
        for number in range(thread_count)
    ]
    for thread in threads:
        thread.start()
    return threads
