"""Faults of a soak, drawn by a seed; they come in series and overlap."""

import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Final

from tests.soak import proxy, site

LEAF_MODES: Final = ("silent", "reset", "reject", "fail", "cut", "extra", "garble")
# Longest time that one fault lasts, in seconds.
LONGEST_S: Final = 3.0
GRACE_S: Final = 4.0

Fault = Callable[["site.SoakSite", random.Random], str]


def leaf_misbehaves(at: site.SoakSite, chance: random.Random) -> str:
    """Have a leaf answer wrongly for a while."""
    leaf, mode = chance.choice(at.leaves), chance.choice(LEAF_MODES)
    at.tell_leaf(leaf, mode=mode)
    time.sleep(chance.uniform(0.3, LONGEST_S))
    at.tell_leaf(leaf, mode="answer")
    return f"{leaf.leaf_id} {mode}"


def leaf_is_slow(at: site.SoakSite, chance: random.Random) -> str:
    """Have a leaf take long for a while."""
    leaf = chance.choice(at.leaves)
    at.tell_leaf(leaf, work_ms=chance.choice((100, 400)))
    time.sleep(chance.uniform(0.3, LONGEST_S))
    at.tell_leaf(leaf, work_ms=5)
    return f"{leaf.leaf_id} slow"


def leaf_link_fails(at: site.SoakSite, chance: random.Random) -> str:
    """Disturb the way to a leaf."""
    leaf, mode = chance.choice(at.leaves), chance.choice(proxy.MODES[1:])
    _disturb(at, leaf.proxy, mode, chance)
    return f"{leaf.leaf_id} link {mode}"


def leaf_pauses(at: site.SoakSite, chance: random.Random) -> str:
    """Stop a leaf's process and let it go on."""
    leaf = chance.choice(at.leaves)
    leaf.process.send_signal(signal.SIGSTOP)
    time.sleep(chance.uniform(0.1, LONGEST_S))
    leaf.process.send_signal(signal.SIGCONT)
    return f"{leaf.leaf_id} paused"


def leaf_restarts(at: site.SoakSite, chance: random.Random) -> str:
    """Kill a leaf's process and start a new life under the same identity."""
    leaf = chance.choice(at.leaves)
    for name, runs in at.tell_leaf(leaf).items():
        leaf.past_runs[name] = leaf.past_runs.get(name, 0) + runs
    leaf.process.kill()
    leaf.process.wait()
    time.sleep(chance.uniform(0.0, 1.0))
    at.start_leaf(leaf)
    return f"{leaf.leaf_id} restarted"


def leaf_drains(at: site.SoakSite, chance: random.Random) -> str:
    """Take a leaf out and back."""
    leaf = chance.choice(at.leaves)
    at.register(leaf, "draining")
    time.sleep(chance.uniform(0.3, LONGEST_S))
    at.register(leaf)
    return f"{leaf.leaf_id} drained"


def store_link_fails(at: site.SoakSite, chance: random.Random) -> str:
    """Disturb one daemon's way to the store."""
    daemon, mode = chance.choice(at.daemons), chance.choice(proxy.MODES[1:])
    _disturb(at, daemon.proxy, mode, chance)
    return f"{daemon.name} store link {mode}"


def store_fails(at: site.SoakSite, chance: random.Random) -> str:
    """Have the store refuse, or say nothing, and forget its history."""
    failing = chance.choice((503, 429, 0))
    at.tell_store(failing=failing)
    time.sleep(chance.uniform(0.3, LONGEST_S))
    at.tell_store(failing=None, drop_history=chance.random() < 0.5)
    return f"store {failing}"


def configuration_changes(at: site.SoakSite, chance: random.Random) -> str:
    """Write configurations in quick succession."""
    for _ in range(chance.randint(1, 4)):
        at.configure(TimeoutMs=chance.choice((700, 800, 900)))
        time.sleep(0.1)
    return f"configuration {at.version}"


def daemon_pauses(at: site.SoakSite, chance: random.Random) -> str:
    """Stop a daemon's process and let it go on."""
    daemon = chance.choice(at.daemons)
    daemon.process.send_signal(signal.SIGSTOP)
    time.sleep(chance.uniform(0.1, LONGEST_S))
    daemon.process.send_signal(signal.SIGCONT)
    return f"{daemon.name} paused"


def daemon_restarts(at: site.SoakSite, chance: random.Random) -> str:
    """End a daemon's process by a signal and start it again."""
    daemon = chance.choice(at.daemons)
    number = chance.choice((signal.SIGTERM, signal.SIGKILL))
    daemon.process.send_signal(signal.SIGCONT)
    daemon.process.send_signal(number)
    daemon.process.wait(GRACE_S)
    time.sleep(chance.uniform(0.0, 0.5))
    at.start_daemon(daemon)
    return f"{daemon.name} {number.name}"


ALL: Final[tuple[Fault, ...]] = (
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
EXCLUSIVE: Final = (
    leaf_misbehaves,
    leaf_is_slow,
    leaf_pauses,
    leaf_restarts,
    daemon_pauses,
    daemon_restarts,
)


def _disturb(
    at: site.SoakSite, link: proxy.Proxy, mode: str, chance: random.Random
) -> None:
    link.set_mode(mode, at.proxies.loop)
    time.sleep(chance.uniform(0.3, LONGEST_S))
    # Connections that were silenced have lost bytes, and are reset.
    link.set_mode("reset", at.proxies.loop)
    link.set_mode("pass", at.proxies.loop)


def play(
    at: site.SoakSite, seed: int, seconds: float, lanes: int, told: list[str]
) -> list[threading.Thread]:
    """Begin to play faults in several lanes at once; return the lanes' threads."""
    end = time.monotonic() + seconds
    lock = threading.Lock()

    def lane(number: int) -> None:
        chance = random.Random(f"{seed} {number}")
        while time.monotonic() < end:
            fault = chance.choice(ALL)
            if fault in EXCLUSIVE:
                with lock:
                    told.append(fault(at, chance))
            else:
                told.append(fault(at, chance))
            time.sleep(chance.uniform(0.0, 0.5))

    threads = [
        threading.Thread(target=lane, args=(number,), daemon=True)
        for number in range(lanes)
    ]
    for thread in threads:
        thread.start()
    return threads
