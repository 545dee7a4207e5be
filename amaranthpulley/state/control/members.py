"""The table of known daemons and of the owners of keys among them."""

import bisect
import enum
from collections.abc import Iterable
from typing import NamedTuple

from amaranthpulley.state import ring


class VmStatus(enum.StrEnum):
    """The status of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """One entry of the platform's VM list, which may be out of date.

    Attributes
    ----------
    name : str
        Name of the VM.
    address : str
        ``IP:port`` on which its daemon listens for peers.
    failure_domain, region : str
        Location of the VM.
    status : VmStatus
        Whether the VM stays or is about to leave.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    status: VmStatus = VmStatus.LIVE

    @property
    def ip(self) -> str:
        """The IP address without the port."""
        return self.address.rsplit(":", 1)[0]


class Standing(enum.IntEnum):
    """A member's state in the group; of the same incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """One known daemon.

    Attributes
    ----------
    vm : Vm
        The VM on which it runs.
    incarnation : int
        Raised by the member itself when it starts and when it is wrongly suspected;
        0 while it is known only from the VM list.
    standing : Standing
        Whether it is considered alive, suspect, dead or gone.
    since_ms : int
        Reading of this daemon's monotonic clock at the last change of its standing.
    listed : bool
        Whether it was in the VM list.
    """

    vm: Vm
    incarnation: int = 0
    standing: Standing = Standing.ALIVE
    since_ms: int = 0
    listed: bool = False

    @property
    def is_live(self) -> bool:
        """Whether it may have duties; a suspect member keeps its duties."""
        serves = self.standing in (Standing.ALIVE, Standing.SUSPECT)
        return serves and self.vm.status is VmStatus.LIVE


class MemberTable:
    """The known daemons, always including the daemon itself.

    Parameters
    ----------
    own : Vm
        The VM of the daemon itself.

    Attributes
    ----------
    version : int
        Raised with each change that may affect the live daemons.
    """

    def __init__(self, own: Vm) -> None:
        self._own = own
        self._members: dict[str, Member] = {own.name: Member(own)}
        self._names: dict[Standing, dict[str, None]] = {s: {} for s in Standing}
        self._ips: dict[str, int] = {own.ip: 1}
        self._ring = ring.Ring()
        self._ring.add(own.name)
        self._live_names = [own.name]
        self._live: tuple[Vm, ...] | None = None
        self._peers: tuple[Vm, ...] | None = None
        self.version = 0

    @property
    def live(self) -> tuple[Vm, ...]:
        """The live daemons in ascending order of their names."""
        if self._live is None:
            names = self._live_names
            self._live = tuple(self._members[name].vm for name in names)
        return self._live

    @property
    def peers(self) -> tuple[Vm, ...]:
        """The live daemons without the daemon itself."""
        if self._peers is None:
            own = self._own.name
            self._peers = tuple(vm for vm in self.live if vm.name != own)
        return self._peers

    @property
    def peer_count(self) -> int:
        """The number of live daemons without the daemon itself."""
        return len(self._live_names) - 1

    def peer_at(self, index: int) -> Vm:
        """Return the live peer at an index in the ascending order of the names."""
        own = bisect.bisect_left(self._live_names, self._own.name)
        name = self._live_names[index + 1 if index >= own else index]
        return self._members[name].vm

    def all(self) -> list[Member]:
        """Return every known member, including dead ones."""
        return list(self._members.values())

    def get(self, name: str) -> Member | None:
        """Return a member, or None when it is not known."""
        return self._members.get(name)

    def with_standing(self, standing: Standing) -> list[Member]:
        """Return the members with a standing, without the daemon itself."""
        return [self._members[name] for name in self._names[standing]]

    def knows_ip(self, ip: str) -> bool:
        """Return whether a known member, live or not, has an IP address."""
        return ip in self._ips

    def put(self, member: Member) -> None:
        """Add a member or replace its state."""
        name = member.vm.name
        known = self._members.get(name)
        if known == member:
            return
        was_live = known is not None and known.is_live
        if known is not None:
            self._remove_ip(known.vm.ip)
            self._names[known.standing].pop(name, None)
        self._members[name] = member
        self._names[member.standing][name] = None
        self._ips[member.vm.ip] = self._ips.get(member.vm.ip, 0) + 1
        moved = known is not None and known.vm != member.vm
        if was_live != member.is_live or moved:
            self._update_ring(name, was_live, member.is_live)

    def drop(self, name: str) -> None:
        """Remove a member."""
        member = self._members.pop(name, None)
        if member is not None:
            self._remove_ip(member.vm.ip)
            self._names[member.standing].pop(name, None)
            self._update_ring(name, member.is_live, False)

    def replace(self, vms: Iterable[Vm]) -> None:
        """Replace all members except the daemon itself by listed live ones."""
        for name in [name for name in self._members if name != self._own.name]:
            self.drop(name)
        for vm in vms:
            if vm.name != self._own.name:
                self.put(Member(vm, listed=True))

    def owner_of(self, key: str) -> Vm:
        """Return the live daemon that owns a key by consistent hashing."""
        return self._members[self._ring.owner_of(key)].vm

    def is_owner(self, key: str) -> bool:
        """Return whether the daemon itself owns a key."""
        return self._ring.owner_of(key) == self._own.name

    def _update_ring(self, name: str, was_live: bool, is_live: bool) -> None:
        self._live = None
        self._peers = None
        self.version += 1
        if name == self._own.name or was_live == is_live:
            return
        place = bisect.bisect_left(self._live_names, name)
        if is_live:
            self._live_names.insert(place, name)
            self._ring.add(name)
        else:
            del self._live_names[place]
            self._ring.remove(name)

    def _remove_ip(self, ip: str) -> None:
        self._ips[ip] -= 1
        if not self._ips[ip]:
            del self._ips[ip]
