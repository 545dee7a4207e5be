"""The stand-in target and platform as processes of their own."""

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
    """Serve stand-in targets until the process is ended.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 takes a free one, and is needed for more than one target.
    shard, shards : int
        Which part of the key space the first one holds, out of how many.
    count : int
        How many to serve, with consecutive shards.
    show : callable
        Called with each address that they listen on.
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
    """Serve the stand-in platform until the process is ended.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 takes a free one.
    show : callable
        Called with the address that it listens on.
    """
    server = standin_server.PlatformServer(address, system_clock.system_clock())
    show(server.address)
    return eventlet.event.Event().wait()
