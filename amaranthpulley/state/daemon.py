"""The complete state of one daemon, with its identity and limits."""

from typing import NamedTuple

from amaranthpulley.state import counters, crashes, lateness, services, targets
from amaranthpulley.state.accounts import journal
from amaranthpulley.state.control import (
    configuration,
    control_state,
    facts,
    leases,
    members,
)
from amaranthpulley.state.orders import claims, orders
from amaranthpulley.state.searches import searches


class Identity(NamedTuple):
    """The identity of a daemon process.

    Attributes
    ----------
    name : str
        Name of its VM.
    address : str
        ``IP:port`` on which its peers reach it.
    failure_domain, region : str
        Location of its VM.
    life : str
        Unique for each start of the process.
    """

    name: str
    address: str
    failure_domain: str
    region: str
    life: str


class Limits(NamedTuple):
    """Limits on the work of a daemon; times in milliseconds.

    Attributes
    ----------
    maximum_requests_in_progress, maximum_row_count : int
        Concurrent requests, and rows of one answer.
    maximum_queued_searches : int
        Queued searches of each service.
    maximum_lateness_ms : int
        Lateness of the event loop above which requests are refused.
    store_timeout_ms : int
        Time to wait for the store's reply.
    journal_flush_ms : int
        Time between writes of the journal; longer in a large fleet.
    journal_memory_bytes : int
        Memory for records that are not yet written to the store.
    journal_when_full : OverflowPolicy
        How new requests are handled when that memory is full.
    drain_grace_ms : int
        Time for which a leaving daemon, already unready, still accepts requests.
    drain_limit_ms : int
        Time after which a leaving daemon ends even if work is unfinished.
    journal_life_first : bool
        Refuse requests until the daemon's life is written to the store.
    order_retention_ms : int
        How long an idempotency key is kept, by the wall clocks of the daemons; a
        repeat after that is a new order.
    order_record_retention_ms : int
        How long the journal records in the claims of orders stay in the store, at
        least as long as the idempotency keys.
    """

    maximum_requests_in_progress: int = 1_000
    maximum_lateness_ms: int = 250
    maximum_row_count: int = 100_000
    maximum_queued_searches: int = 200
    store_timeout_ms: int = 500
    drain_grace_ms: int = 2_000
    drain_limit_ms: int = 30_000
    journal_flush_ms: int = 5_000
    journal_memory_bytes: int = 32 * 1024 * 1024
    journal_when_full: journal.OverflowPolicy = journal.OverflowPolicy.REFUSE
    journal_life_first: bool = False
    order_retention_ms: int = 86_400_000
    order_record_retention_ms: int = 7_776_000_000


class Daemon:
    """The complete state of one daemon.

    Parameters
    ----------
    identity : Identity
        Identity of the process.
    limits : Limits
        Limits on its work.

    Attributes
    ----------
    wall_offset_ms : int
        Wall time minus monotonic time at the start of the process.
    leaving : bool
        Whether it has begun to leave: it is unready, but accepts requests until
        `draining` is set.
    draining : bool
        Whether it refuses new requests and only finishes those in progress.
    closed_to_callers : bool
        Whether requests are refused on arrival, so that the journal may close the life.
    """

    def __init__(self, identity: Identity, limits: Limits) -> None:
        self.identity = identity
        self.limits = limits
        self.configuration = configuration.Configuration()
        self.targets = targets.TargetTable()
        self.services = services.ServiceTable()
        self.searches = searches.SearchTable()
        self.orders = orders.OrderTable()
        self.claims = claims.RangeTable()
        self.crashes = crashes.CrashTable()
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
        self.journal = journal.Journal()
        self.leases = leases.LeaseTable()
        self.control = control_state.ControlState()
        self.lateness = lateness.Lateness()
        self.wall_offset_ms = 0
        self.leaving = False
        self.draining = False
        self.closed_to_callers = False
        self._last_id = 0

    @property
    def requests_in_progress(self) -> int:
        """The number of requests that are not answered yet."""
        return len(self.searches) + len(self.orders)

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this daemon."""
        is_current = not self.configuration.suspended
        if self.limits.journal_life_first and not self.journal.announced:
            return False
        return is_current and not self.leaving and bool(self.configuration.entries)

    def wall_ms(self, now_ms: int) -> int:
        """Convert a monotonic reading to milliseconds since the Unix epoch."""
        return now_ms + self.wall_offset_ms

    def next_id(self, prefix: str) -> str:
        """Return an identifier that is unique over all daemons and their restarts."""
        self._last_id += 1
        return f"{prefix}-{self.identity.name}-{self.identity.life}-{self._last_id}"
