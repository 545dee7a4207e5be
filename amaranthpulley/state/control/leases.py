"""The named leases that a daemon claims or holds, all attached to one store lease."""

import enum
from typing import NamedTuple


class Phase(enum.StrEnum):
    """Progress of a named lease: idle, held, or with a store call in flight."""

    IDLE = "idle"
    CLAIMING = "claiming"
    READING = "reading"
    HELD = "held"
    RELEASING = "releasing"


class LeaseClaim(NamedTuple):
    """The state of one named lease.

    Attributes
    ----------
    phase : Phase
        Progress of the claim or the release.
    wanted : bool
        False once the daemon has released it.
    uncertain : bool
        A claim, or a deletion while releasing, may take effect although it failed.
    revision : int
        Revision of the key while it is held.
    """

    phase: Phase = Phase.IDLE
    wanted: bool = True
    uncertain: bool = False
    revision: int = 0


class LeaseTable:
    """The named leases of one daemon.

    A named lease is a key that the store deletes with the daemon's store lease. Its
    time is counted from before the grant or renewal was requested, so that the daemon
    stops using it before the store lets another daemon claim it.
    """

    def __init__(self) -> None:
        self.claims: dict[str, LeaseClaim] = {}
        self.store_lease_id: str | None = None
        self.valid_until_ms = 0
        self.call_in_flight = False
        self.next_renewal_ms = 0
        self.tick_pending = False

    def holds(self, name: str, now_ms: int) -> bool:
        """Return whether a lease is held now; to be checked before each use."""
        claim = self.claims.get(name)
        if claim is None or now_ms >= self.valid_until_ms:
            return False
        return claim.phase is Phase.HELD and claim.wanted

    def held(self, now_ms: int) -> list[str]:
        """Return the names of all leases held now."""
        return [name for name in self.claims if self.holds(name, now_ms)]

    def extend(self, store_lease_id: str, valid_until_ms: int) -> None:
        """Record a grant or a renewal of the store lease."""
        self.store_lease_id = store_lease_id
        self.valid_until_ms = valid_until_ms

    def lapse(self) -> None:
        """Drop the store lease, and reset the leases that were held under it."""
        self.store_lease_id = None
        self.valid_until_ms = 0
        for name, claim in list(self.claims.items()):
            is_gone = claim.phase in (Phase.HELD, Phase.IDLE) or claim.uncertain
            if is_gone:
                self.claims[name] = LeaseClaim(wanted=claim.wanted)
