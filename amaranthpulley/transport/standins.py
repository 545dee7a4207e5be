"""The stand-in target and platform as processes of their own."""

import secrets
from collections.abc import Callable
from typing import Final

import eventlet.event

from amaranthpulley.state import keyspace, standin_leaf
from amaranthpulley.transport import standin_server, system_clock

SAMPLE_KEYS: Final = [f"item-{number:04d}" for number in range(1_000)]
SLOTS: Final = 2


def run_leaf(address: str, shard: int, shards: int, show: Callable[[str], None]) -> int:
    """Serve a stand-in target until the process is ended.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 takes a free one.
    shard, shards : int
        Which part of the key space it holds, out of how many.
    show : callable
        Called with the address that it listens on.
    """
    leaf = standin_leaf.StandInLeaf(secrets.token_hex(4), SLOTS)
    leaf.hold(1, (keyspace.split_evenly(shards)[shard],), SAMPLE_KEYS)
    server = standin_server.LeafServer(address, leaf)
    show(server.address)
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
