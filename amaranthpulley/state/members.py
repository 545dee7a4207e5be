"""The daemons that a daemon knows of."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from amaranthpulley.state import rendezvous


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


class MemberTable:
    """The daemons that are believed to be live, always with the daemon itself.

    Parameters
    ----------
    own : Vm
        The daemon itself.
    """

    def __init__(self, own: Vm) -> None:
        self._own = own
        self._live: dict[str, Vm] = {own.name: own}

    @property
    def live(self) -> tuple[Vm, ...]:
        """The live daemons in ascending order of their names."""
        return tuple(self._live[name] for name in sorted(self._live))

    @property
    def peers(self) -> tuple[Vm, ...]:
        """The live daemons without the daemon itself."""
        return tuple(vm for vm in self.live if vm.name != self._own.name)

    def replace(self, vms: Iterable[Vm]) -> None:
        """Set the live daemons."""
        self._live = {vm.name: vm for vm in vms}
        self._live[self._own.name] = self._own

    def owner_of(self, key: str) -> Vm:
        """Return the live daemon that owns a key by rendezvous hash."""
        return self._live[rendezvous.ranking(self._live, key)[0]]

    def is_owner(self, key: str) -> bool:
        """Tell whether the daemon itself owns a key."""
        return self.owner_of(key).name == self._own.name
