"""State that a daemon keeps in memory for forwarded requests."""

from typing import Final, NamedTuple

from amaranthpulley.state import counters as counters_state
from amaranthpulley.state import latency
from amaranthpulley.state.forwarding import (
    crashes,
    delegations,
    latencies,
    leaves,
    pace,
    requests,
    retry_window,
    rollouts,
    token_bucket,
    waiting,
)
from amaranthpulley.state.forwarding import routes as routes_state
from amaranthpulley.state.forwarding.client_accounts import quotas


class Limits(NamedTuple):
    """Limits of a daemon, from its settings.

    Attributes
    ----------
    retry_ratio : float
        Retries and hedges per request that all daemons together may send to a service.
    retry_slack : int
        Further retries and hedges that all daemons together may send in a window.
    retry_window_ms : int
        Length of that sliding window.
    drain_ms : int
        Time after which a leaving leaf must get no more requests.
    grace_ms : int
        Time between the request to stop and the end of the process.
    cold_slack : float
        Burst of requests that a cold leaf accepts from all daemons beyond its rate.
    contact_ms : int
        Time after an outage of the store, or of the way to it, within which everything
        that changed meanwhile must be in force.
    configuration_ms : int
        Time within which a change must be in force where there was no outage.
    exposure_share : float
        Share of a service's requests that a version may get before it is judged.
    exposure_slack : int
        Further requests that all daemons together may send to it.
    rollback_ms : int
        Time after the bound of bad answers from which it must get no more requests.
    pace : bool
        Whether leaves that start or recover get their requests at a pace; this applies
        to services for which a warm-up is stated.
    quota_window_ms : int
        Length of the sliding windows in which quotas of client accounts are judged.
    quota_overage : float
        Share by which an account's requests may exceed its quota in a window.
    quota_slack : float
        Further requests of an account in a window.
    """

    retry_ratio: float = 0.2
    retry_slack: int = 50
    retry_window_ms: int = 10_000
    drain_ms: int = 3_000
    grace_ms: int = 6_000
    cold_slack: float = 5.0
    contact_ms: int = 5_000
    configuration_ms: int = 3_000
    exposure_share: float = 0.1
    exposure_slack: int = 50
    rollback_ms: int = 5_000
    pace: bool = False
    quota_window_ms: int = 5_000
    quota_overage: float = 0.1
    quota_slack: float = 20.0


class Place(NamedTuple):
    """Identity and location of a daemon.

    Attributes
    ----------
    regions : dict
        Region of every failure domain, by name.
    """

    name: str
    failure_domain: str
    region: str
    regions: dict[str, str]


class Member(NamedTuple):
    """A registered daemon.

    Attributes
    ----------
    failure_domain : str
        Failure domain in which it runs.
    address : str
        ``IP:port`` for other daemons.
    delegate_address : str
        ``IP:port`` for the requests that it runs for other daemons; empty if it runs
        none.
    speed : float
        Processor time that it gets in a second, in seconds of one core.
    grants : bool
        Whether its claim to grant tokens of quotas was confirmed under this
        registration.
    """

    failure_domain: str
    address: str
    delegate_address: str = ""
    speed: float = 0.0
    grants: bool = False


class Gateway:
    """State of one daemon.

    Parameters
    ----------
    place : Place
        Identity and location of the daemon.
    limits : Limits
        Limits from its settings.
    started_ms : int
        Start of the process, by the monotonic clock.

    Attributes
    ----------
    listed : bool
        Whether the store's directory has been listed completely.
    evacuated : set of str
        Failure domains whose leaves get no requests.
    watchers : list of str or None
        Daemons of the region that watch the store; None after a change of the daemons.
    connection_plans : dict
        By service, the connections that may stay open to each leaf. Plans are made
        again after a change of the configuration, the daemons or the leaves.
    sharded_services : tuple of str
        Services of the configuration's sharded routes.
    registered_until_ms : int or None
        End of this daemon's registration unless it is renewed; None before the first.
    fleet : Fleet or None
        The daemons that run sharded requests; None after a change of the daemons.
    delegations : dict
        Keys of the requests at a delegate, by the number of the delegation.
    suspected_delegates : dict
        Delegates that did not answer, by name.
    own_searches : RetryWindow
        Sharded requests that clients sent to this daemon.
    waiting : WaitingCalls
        Calls that wait for a leaf, by service.
    paces : PaceTable
        Leaves that have started or recovered a short time ago.
    turns : dict
        By route and service, the current weights of the smooth weighted round robin.
    losses : LossTable
        Leaves that were lost while running a request.
    rollouts : RolloutTable
        Roll-outs of versions, by service.
    publication_tokens : TokenBucket
        Losses that this daemon may publish.
    quotas : Quotas
        Tokens of client accounts that this daemon spends and grants.
    cautious_until_ms : int
        Until when sharded requests are sent to one leaf first.
    warmup_index : int
        Position of the sharded service whose connections were warmed last.
    draining_since_ms : int or None
        When the drain started; None before.
    drain_end_ms : int or None
        Until when a draining daemon answers every request.
    log_tokens, log_refilled_ms, logs_dropped
        Token bucket for log lines, when it was last refilled, and the number of lines
        dropped for lack of tokens.
    """

    def __init__(self, place: Place, limits: Limits, started_ms: int) -> None:
        self.place = place
        self.limits = limits
        self.started_ms = started_ms
        self.configuration: routes_state.Configuration | None = None
        self.directory = leaves.LeafDirectory()
        self.listed = False
        self.evacuated: set[str] = set()
        self.members: dict[str, Member] = {}
        self.watchers: list[str] | None = None
        self.connection_plans: dict[str, dict[str, int]] = {}
        self.sharded_services: tuple[str, ...] = ()
        self.registered_until_ms: int | None = None
        self.fleet: delegations.Fleet | None = None
        self.delegations: dict[int, int] = {}
        self.suspected_delegates: dict[str, delegations.Suspicion] = {}
        self.own_searches = retry_window.RetryWindow(limits.retry_window_ms)
        self.requests: dict[int, requests.ForwardedRequest] = {}
        self.attempts: dict[int, requests.Attempt] = {}
        self.waiting = waiting.WaitingCalls()
        self.next_attempt = 1
        self.route_latencies: dict[str, latencies.RouteLatency] = {}
        self.distances = latencies.Distances()
        self.retry_windows: dict[str, retry_window.RetryWindow] = {}
        self.turns: dict[str, dict[str, float]] = {}
        self.paces = pace.PaceTable()
        self.losses = crashes.LossTable()
        self.rollouts = rollouts.RolloutTable()
        self.publication_tokens = token_bucket.TokenBucket(1.0, started_ms)
        self.cautious_until_ms = started_ms
        self.quotas = quotas.Quotas(started_ms)
        self.counters = counters_state.Counters()
        self.latency_by_kind: dict[str, latency.LatencyHistogram] = {}
        self.warmup_index = 0
        self.next_slowness_report_ms = started_ms
        self.draining_since_ms: int | None = None
        self.drain_end_ms: int | None = None
        self.log_tokens = LOG_BURST
        self.log_refilled_ms = started_ms
        self.logs_dropped = 0

    def set_member(self, name: str, member: Member | None) -> None:
        """Add, replace or remove a registered daemon."""
        known = self.members.get(name)
        if member is None:
            self.members.pop(name, None)
        else:
            self.members[name] = member
            if known is not None and known._replace(grants=member.grants) == member:
                # Nothing else depends on the right to grant.
                return
        self.connection_plans.clear()
        self.fleet = None
        self.watchers = None
        self.quotas.owners.clear()

    def window_of(self, service: str) -> retry_window.RetryWindow:
        """Return the sliding window of a service's requests and repeats."""
        window = self.retry_windows.get(service)
        if window is None:
            window = retry_window.RetryWindow(self.limits.retry_window_ms)
            self.retry_windows[service] = window
        return window

    def latency_of(self, route: routes_state.Route) -> latencies.RouteLatency:
        """Return the observed latency of a route."""
        found = self.route_latencies.get(route.name)
        if found is None:
            guess_ms = route.objective_ms * latencies.UNMEASURED_SHARE
            found = self.route_latencies[route.name] = latencies.RouteLatency(guess_ms)
        return found


# Capacity of the token bucket for log lines.
LOG_BURST: Final = 200.0
