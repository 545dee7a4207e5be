"""All tables of one daemon."""

from typing import NamedTuple

from amaranthpulley.state import (
    claims,
    configuration,
    counters,
    facts,
    leases,
    members,
    orders,
    searches,
    targets,
)


class Identity(NamedTuple):
    """Who a daemon is.

    Attributes
    ----------
    name : str
        Name of its VM.
    address : str
        ``IP:port`` on which its peers reach it.
    failure_domain, region : str
        Where its VM stands.
    life : str
        Unique for each start of the process.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    life: str


class Limits(NamedTuple):
    """Bounds on what a daemon takes on; times in milliseconds."""

    maximum_requests_in_progress: int = 1_000
    maximum_row_count: int = 100_000
    store_timeout_ms: int = 500
    order_retention_ms: int = 86_400_000


class Daemon:
    """The whole state of one daemon.

    Parameters
    ----------
    identity : Identity
        Who the daemon is.
    limits : Limits
        Bounds on what it takes on.
    """

    def __init__(self, identity: Identity, limits: Limits) -> None:
        self.identity = identity
        self.limits = limits
        self.configuration = configuration.Configuration()
        self.targets = targets.TargetTable()
        self.searches = searches.SearchTable()
        self.orders = orders.OrderTable()
        self.claims = claims.RangeTable()
        self.counters = counters.Counters()
        self.members = members.MemberTable(
            members.Vm(
                identity.name,
                identity.address,
                identity.failure_domain,
                identity.region,
            )
        )
        self.facts = facts.FactTable()
        self.leases = leases.LeaseTable()
        self.wall_offset_ms = 0
        self.draining = False
        self._last_id = 0

    @property
    def requests_in_progress(self) -> int:
        """The number of requests that have no answer yet."""
        return len(self.searches) + len(self.orders)

    def wall_ms(self, now_ms: int) -> int:
        """Return milliseconds since the Unix epoch for a monotonic reading."""
        return now_ms + self.wall_offset_ms

    def next_id(self, prefix: str) -> str:
        """Return an identifier that no other daemon and no other life uses."""
        self._last_id += 1
        return f"{prefix}-{self.identity.name}-{self.identity.life}-{self._last_id}"
