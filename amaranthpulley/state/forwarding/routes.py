"""Routes of forwarded requests, from one version of the operators' configuration."""

from typing import Final, NamedTuple

from amaranthpulley.state.forwarding.client_accounts import accounts as accounts_state


class WeightedService(NamedTuple):
    """A service that takes a share of a route's requests.

    Attributes
    ----------
    name : str
        Name of the service.
    weight : float
        Its share of the requests, relative to the weights of the other services.
    """

    name: str
    weight: float


class Route(NamedTuple):
    """Services and limits of the requests of one host and path prefix.

    Attributes
    ----------
    name : str
        Stable name; the route's observed latency is kept under it.
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : int
        Longest time until a request is answered.
    objective_ms : int
        Latency objective; later answers are worth less.
    priority : int
        Rank under overload; 0 is the most urgent.
    maximum_leaves : int
        Number of leaves that may run one request, for each shard.
    services : tuple of WeightedService
        Services of which one answers each request; empty when there are shards.
    shards : tuple of str
        Services that each answer a part of the request.
    top_records : int
        Number of records in a merged answer.
    minimum_coverage : float
        Smallest share of the shards in a successful answer.
    regions : frozenset of str
        Regions in which the request may be served; empty for all.
    anonymous : bool
        Whether requests need no key of a client account.
    second_priority : int
        Rank among the requests of the same priority: the route's own where the
        priority is an account's.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: int
    objective_ms: int
    priority: int
    maximum_leaves: int
    services: tuple[WeightedService, ...]
    shards: tuple[str, ...]
    top_records: int
    minimum_coverage: float
    regions: frozenset[str]
    anonymous: bool = False
    second_priority: int = 0

    @property
    def rank(self) -> tuple[int, int]:
        """Order under overload; the smallest is the most urgent."""
        return self.priority, self.second_priority


# In place of a route's regions when no region is left: no region has this name.
NO_REGIONS: Final = frozenset({"\0"})


class ServiceLimits(NamedTuple):
    """Limits of the leaves of a service.

    Attributes
    ----------
    health_path : str
        Path of the health check.
    connections : int
        Connections that one leaf accepts from all daemons together.
    cold_requests_per_second : float
        Requests that a cold leaf accepts from all daemons together; 0 for no limit.
    """

    health_path: str
    connections: int
    cold_requests_per_second: float


class ClientLimits(NamedTuple):
    """Limits of a client's requests and connections."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


DEFAULT_LIMITS: Final = ClientLimits()
# Limits of a daemon that knows no configuration yet. It must not deny what the
# configuration may allow; it answers that it cannot serve.
STARTING_LIMITS: Final = ClientLimits(header_bytes=131_072, body_bytes=16_777_216)


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Higher versions supersede lower ones.
    routes : dict
        Routes by host and path prefix.
    services : dict
        Limits by service name.
    client_limits : ClientLimits
        Limits of client requests.
    accounts : AccountTable or None
        Client accounts; None if requests need no key.
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, ServiceLimits]
    client_limits: ClientLimits
    accounts: accounts_state.AccountTable | None = None


DEFAULT_SERVICE_LIMITS = ServiceLimits("/", 16, 0.0)


def find_route(configuration: Configuration, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix of the path.

    Prefixes begin and end with a slash.
    """
    prefixes = configuration.routes.get(host)
    if not prefixes:
        return None
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def with_account(route: Route, account: accounts_state.Account | None) -> Route:
    """Return a route with the priority and the regions that an account's requests get.

    The account's priority comes first, then the route's. Both must allow a region.
    """
    if account is None or (account.priority is None and not account.regions):
        return route
    priority, second = route.priority, route.second_priority
    if account.priority is not None:
        priority, second = account.priority, route.priority
    regions = account.regions or route.regions
    if account.regions and route.regions:
        regions = (account.regions & route.regions) or NO_REGIONS
    return route._replace(priority=priority, second_priority=second, regions=regions)


def sharded_services(configuration: Configuration) -> tuple[str, ...]:
    """Return the services of all sharded routes in alphabetical order."""
    found = {
        shard
        for prefixes in configuration.routes.values()
        for route in prefixes.values()
        for shard in route.shards
    }
    return tuple(sorted(found))


def limits_of(configuration: Configuration, service: str) -> ServiceLimits:
    """Return the limits of a service, or conservative defaults if it is unknown."""
    return configuration.services.get(service, DEFAULT_SERVICE_LIMITS)
