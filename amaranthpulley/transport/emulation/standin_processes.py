"""Entry points that serve the stand-in targets or platform in a separate process."""

import secrets
from collections.abc import Callable
from typing import Final

import eventlet.event

from amaranthpulley.state import standin_leaf
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport import system_clock
from amaranthpulley.transport.emulation import standin_server

SAMPLE_KEYS: Final = [f"item-{number:04d}" for number in range(1_000)]
SLOTS: Final = 2


def run_leaf(
    address: str, shard: int, shards: int, count: int, show: Callable[[str], None]
) -> int:
    """Serve stand-in targets until the process is terminated.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on; port 0 selects a free port and is required when
        `count` is above 1.
    shard, shards : int
        Index of the first target's shard, and the number of equal shards.
    count : int
        Number of targets to serve, for consecutive shards.
    show : callable
        Called with the address of each target.
    """
    parts = keyspace.split_evenly(shards)[shard : shard + count]
    servers = []
    for part in parts:
        leaf = standin_leaf.StandInLeaf(secrets.token_hex(4), SLOTS)
        leaf.hold(1, (part,), SAMPLE_KEYS)
        servers.append(standin_server.LeafServer(address, leaf))
        show(servers[-1].address)
    return eventlet.event.Event().wait()


def run_store(address: str, show: Callable[[str], None]) -> int:
    """Serve the stand-in platform until the process is terminated.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on; port 0 selects a free port.
    show : callable
        Called with the address of the platform.
    """
    server = standin_server.PlatformServer(address, system_clock.system_clock())
    show(server.address)
    return eventlet.event.Event().wait()
