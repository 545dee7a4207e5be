"""What a process may hold for its clients, from the resources of its VM."""

import enum
from typing import Final, NamedTuple

# The smallest VM that the deployments name; assumed if the settings name none.
DEFAULT_MEMORY_MB: Final = 200.0
DEFAULT_DESCRIPTORS: Final = 4_100
_BYTES_PER_MB: Final = 1_000_000
# Share of the VM's memory for what clients have sent and have not read. Of the 200 MB
# of the smallest VM, the process takes 40 MB, unfinished answers of leaves up to 34 MB,
# and Python keeps up to as much again as was held, since it returns freed memory only
# partly.
MEMORY_SHARE: Final = 0.25
# Share of that for requests in progress, which are never aborted. The rest is left for
# requests that are being received.
IN_PROGRESS_SHARE: Final = 0.75
# Descriptors for files, logs and the hub.
FILE_DESCRIPTORS: Final = 200


class Server(enum.Enum):
    """A server of the process."""

    FRONT = "front"
    DELEGATED = "delegated"
    RELAY = "relay"
    READINESS = "readiness"
    METRICS = "metrics"


# Shares of the descriptors that are not for files. The rest, 0.24, is for leaves, other
# daemons and the store: 936 on the smallest VM, where five for each of 174 leaves (54
# shards of three, and two services of six) are 870.
CONNECTION_SHARES: Final = {
    Server.FRONT: 0.6,
    Server.DELEGATED: 0.06,
    Server.RELAY: 0.06,
    Server.READINESS: 0.02,
    Server.METRICS: 0.02,
}


class Budget(NamedTuple):
    """What a process may hold for its clients.

    Attributes
    ----------
    memory_bytes : int
        Bytes of all its servers together.
    connections : dict
        Connections of each server.
    """

    memory_bytes: int
    connections: dict[Server, int]


def budget_of(
    memory_mb: float = DEFAULT_MEMORY_MB, descriptors: int = DEFAULT_DESCRIPTORS
) -> Budget:
    """Return the budget on a VM with this memory and number of descriptors."""
    sockets = max(0, descriptors - FILE_DESCRIPTORS)
    return Budget(
        int(max(0.0, memory_mb) * _BYTES_PER_MB * MEMORY_SHARE),
        {
            server: max(1, int(share * sockets))
            for server, share in CONNECTION_SHARES.items()
        },
    )
