"""The daemons that a daemon knows of."""

import enum
from typing import NamedTuple


class VmStatus(enum.StrEnum):
    """What the platform's VM list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """One entry of the platform's VM list, which lags behind the truth.

    Attributes
    ----------
    name : str
        Name of the VM.
    address : str
        ``IP:port`` on which its daemon listens for peers.
    failure_domain, region : str
        Where it stands.
    status : VmStatus
        Whether it stays or leaves.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    status: VmStatus = VmStatus.LIVE
