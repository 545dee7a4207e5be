"""Daemons of a fleet and the store of their registrations, under virtual time."""

from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination.forwarding import events, store_watchers
from amaranthpulley.state.forwarding import gateway

CHECK_MS: Final = 100
LIFETIME_MS: Final = store_watchers.REGISTRATION_LIFETIME_MS


class Daemon:
    """A daemon of the fleet and what reaches it."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.member = gateway.Member(domain, f"{name}:1")
        self.gateway: gateway.Gateway | None = None
        self.life = 0
        self.paused_until_ms = 0
        # Cut off from the store, and from the daemons of the other side.
        self.cut = False
        # Position in the store's list of changes, and number of the registration.
        self.seen = self.lease = 0
        self.sent_bytes = self.sent = self.received_bytes = self.received = 0
        self.wakes: dict[int, int] = {}


class RegistrationStore:
    """Registrations, when each lapses, and the list of their changes.

    Parameters
    ----------
    now_ms : callable
        Returns the current virtual time.
    """

    def __init__(self, now_ms: Callable[[], int]) -> None:
        self._now_ms = now_ms
        self.changes: list[events.MemberChanged] = []
        # Counts the registrations that each daemon has had.
        self.leases: dict[str, int] = {}
        self._until_ms: dict[str, int] = {}

    def renew(self, name: str, member: gateway.Member) -> bool:
        """Renew a registration, or write it anew; return whether it was written."""
        written = name not in self._until_ms
        if written:
            self.leases[name] = self.leases.get(name, 0) + 1
            self.changes.append(events.MemberChanged(name, member))
        self._until_ms[name] = self._now_ms() + LIFETIME_MS
        return written

    def publish_grants(self, name: str, member: gateway.Member, lease: int) -> None:
        """Write the right to grant under a lease, unless that has ended."""
        if name in self._until_ms and self.leases[name] == lease:
            granting = member._replace(grants=True)
            self.changes.append(events.MemberChanged(name, granting))

    def end(self, name: str) -> None:
        """End a registration."""
        if self._until_ms.pop(name, None) is not None:
            self.changes.append(events.MemberChanged(name, None))

    def end_lapsed(self) -> None:
        """End the registrations that were not renewed in time."""
        for name, until_ms in list(self._until_ms.items()):
            if until_ms <= self._now_ms():
                self.end(name)
