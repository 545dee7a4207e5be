"""The leases that a daemon wants or holds, all tied to one lease of the store."""

import enum
from typing import NamedTuple


class Phase(enum.StrEnum):
    """Which store call a lease waits for."""

    IDLE = "idle"
    CLAIMING = "claiming"
    READING = "reading"
    HELD = "held"
    RELEASING = "releasing"


class LeaseClaim(NamedTuple):
    """One named lease.

    Attributes
    ----------
    phase : Phase
        How far it has come.
    wanted : bool
        False once it has been released.
    uncertain : bool
        A claim may have taken effect although its reply was lost.
    revision : int
        Revision of the key while it is held.
    """

    phase: Phase = Phase.IDLE
    wanted: bool = True
    uncertain: bool = False
    revision: int = 0


class LeaseTable:
    """The named leases of one daemon.

    A named lease is a key in the store that vanishes with the daemon's store lease.
    Its time is counted from before the grant or renewal was asked for, so that the
    daemon stops using it before the store gives it to another.
    """

    def __init__(self) -> None:
        self.claims: dict[str, LeaseClaim] = {}
        self.store_lease_id: str | None = None
        self.valid_until_ms = 0
        self.call_in_flight = False
        self.next_renewal_ms = 0
        self.tick_pending = False

    def holds(self, name: str, now_ms: int) -> bool:
        """Tell whether a lease is held at this moment; ask before each use."""
        claim = self.claims.get(name)
        if claim is None or now_ms >= self.valid_until_ms:
            return False
        return claim.phase is Phase.HELD and claim.wanted

    def held(self, now_ms: int) -> list[str]:
        """Return the names of all leases held at this moment."""
        return [name for name in self.claims if self.holds(name, now_ms)]

    def extend(self, store_lease_id: str, valid_until_ms: int) -> None:
        """Enter a grant or a renewal of the store lease."""
        self.store_lease_id = store_lease_id
        self.valid_until_ms = valid_until_ms

    def lapse(self) -> None:
        """Forget the store lease and all that was held under it."""
        self.store_lease_id = None
        self.valid_until_ms = 0
        for name, claim in list(self.claims.items()):
            is_gone = claim.phase in (Phase.HELD, Phase.IDLE) or claim.uncertain
            if is_gone:
                self.claims[name] = LeaseClaim(wanted=claim.wanted)
