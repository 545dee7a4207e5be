"""Everything that a daemon keeps in memory for forwarded requests."""

from typing import Final, NamedTuple

from amaranthpulley.state import counters as counters_state
from amaranthpulley.state import latency
from amaranthpulley.state.forwarding import latencies, leaves, requests, retry_window
from amaranthpulley.state.forwarding import routes as routes_state


class Limits(NamedTuple):
    """What binds a daemon, from its settings.

    Attributes
    ----------
    retry_ratio : float
        Repeated sends to a service that all daemons may make for each request.
    retry_slack : int
        Repeated sends in a window that all daemons may make besides.
    retry_window_ms : int
        Length of that window.
    drain_ms : int
        After this time a leaving leaf must get nothing more.
    grace_ms : int
        Time between the request to end and the end of the process.
    cold_slack : float
        Requests that a cold leaf bears at once from all daemons, beside its rate.
    """

    retry_ratio: float = 0.2
    retry_slack: int = 50
    retry_window_ms: int = 10_000
    drain_ms: int = 3_000
    grace_ms: int = 6_000
    cold_slack: float = 5.0


class Place(NamedTuple):
    """Who a daemon is and where it runs."""

    name: str
    failure_domain: str
    region: str
    regions: dict[str, str]


class Member(NamedTuple):
    """A daemon that has registered itself.

    Attributes
    ----------
    failure_domain : str
        Where it runs.
    address : str
        ``IP:port`` for other daemons.
    """

    failure_domain: str
    address: str


class Gateway:
    """The tables of one daemon.

    Parameters
    ----------
    place : Place
        The daemon.
    limits : Limits
        What binds it.
    started_ms : int
        When it started, by the monotonic clock.
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
        self.connection_shares: dict[tuple[str, str], int] = {}
        self.requests: dict[int, requests.ForwardedRequest] = {}
        self.attempts: dict[int, requests.Attempt] = {}
        self.next_attempt = 1
        self.usual: dict[str, latencies.RouteLatency] = {}
        self.distances = latencies.Distances()
        self.windows: dict[str, retry_window.RetryWindow] = {}
        self.turns: dict[str, dict[str, float]] = {}
        self.crashes: dict[int, set[str]] = {}
        self.counters = counters_state.Counters()
        self.latency_by_kind: dict[str, latency.LatencyHistogram] = {}
        self.warmup_shards: list[str] = []
        self.warmup_version: int | None = None
        self.warmup_index = 0
        self.next_slowness_report_ms = started_ms
        self.draining_since_ms: int | None = None
        self.log_tokens = LOG_BURST
        self.log_refilled_ms = started_ms
        self.logs_dropped = 0

    def window_of(self, service: str) -> retry_window.RetryWindow:
        """Return the window of a service's requests and repeats."""
        window = self.windows.get(service)
        if window is None:
            window = retry_window.RetryWindow(self.limits.retry_window_ms)
            self.windows[service] = window
        return window

    def latency_of(self, route: routes_state.Route) -> latencies.RouteLatency:
        """Return the usual time of a route."""
        usual = self.usual.get(route.name)
        if usual is None:
            guess = route.objective_ms * latencies.UNMEASURED_SHARE
            usual = self.usual[route.name] = latencies.RouteLatency(guess)
        return usual


# Lines that may be written at once after a quiet time.
LOG_BURST: Final = 200.0
