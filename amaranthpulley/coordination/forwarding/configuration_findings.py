"""Finds what is wrong or doubtful in a configuration before it is in force.

The functions take routes, services and accounts as daemons decode them, one at a time,
so that the caller can name the place of each. An error is what daemons would refuse or
use in another way than it is written; a warning is what they use as it is written, but
hardly as it is meant.
"""

import enum
from collections.abc import Callable, Collection, Iterator
from typing import Final, NamedTuple

from amaranthpulley.state.forwarding import routes
from amaranthpulley.state.forwarding.client_accounts import accounts

# Requests that an account must be able to save up; with less it never has a whole one.
LEAST_BURST: Final = 1.0
# Hosts and paths consist of printable ASCII characters; others are escaped.
_FIRST_PRINTABLE: Final = "!"
_LAST_PRINTABLE: Final = "~"
# Characters that end the path in a request's target.
_PATH_ENDS: Final = "?#"


class Level(enum.Enum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """One thing that is wrong or doubtful.

    Attributes
    ----------
    level : Level
        How serious it is.
    field : str
        Name of the attribute that it is about; empty for the whole.
    text : str
        What is wrong and what to do.
    """

    level: Level
    field: str
    text: str


def warning(field: str, text: str) -> Finding:
    """Return a warning."""
    return Finding(Level.WARNING, field, text)


def error(field: str, text: str) -> Finding:
    """Return an error."""
    return Finding(Level.ERROR, field, text)


def in_route(
    route: routes.Route,
    services: Collection[str],
    regions: Collection[str] | None,
    host_in_requests: Callable[[str], str],
) -> Iterator[Finding]:
    """Return the findings of one route.

    Parameters
    ----------
    services : collection of str
        Names of the services that have an entry.
    regions : collection of str or None
        Regions that have a failure domain; None if they are not known.
    host_in_requests : callable
        Return the host that daemons see in a request with such a ``Host`` header.
    """
    yield from _match_findings(route, host_in_requests)
    yield from _service_findings(route, services)
    yield from _weight_findings(route.services)
    if route.shards:
        yield from _sharded_findings(route)
    if route.timeout_ms <= 0:
        yield error("timeout_ms", "every request is too late at once; raise it")
    if route.objective_ms > route.timeout_ms:
        yield warning("objective_ms", "is over the time limit; lower it or raise that")
    yield from _region_findings("regions", route.regions, regions)


def in_service(
    name: str, limits: routes.ServiceLimits, used: Collection[str]
) -> Iterator[Finding]:
    """Return the findings of one service; `used` are those that routes name."""
    if name not in used:
        yield warning("name", "no route names this service; name it or remove it")
    if limits.connections <= 0:
        yield warning("connections", "no leaf gets a connection; raise it")
    if not limits.health_path.startswith("/"):
        yield warning("health_path", "no leaf can answer this path; begin it with /")
    if limits.cold_requests_per_second < 0:
        yield error(
            "cold_requests_per_second", "is read as no limit; write 0 or a rate"
        )


def in_client_limits(limits: routes.ClientLimits) -> Iterator[Finding]:
    """Return the findings of the limits of client requests."""
    for field, value in limits._asdict().items():
        if value <= 0:
            yield error(field, "no client can stay below it; raise it")
    if limits.header_bytes > limits.body_bytes:
        yield warning(
            "header_bytes", "is over the limit of a body; lower it or raise that"
        )
    if limits.idle_timeout_ms < limits.header_timeout_ms:
        yield warning(
            "idle_timeout_ms", "is below the time for a head; raise it or lower that"
        )


def in_account(
    account: accounts.Account, regions: Collection[str] | None
) -> Iterator[Finding]:
    """Return the findings of one account, apart from those of its keys."""
    if account.rate_per_s > 0 and account.burst < LEAST_BURST:
        yield warning("burst", "is below one request; raise it to 1 or more")
    yield from _region_findings("regions", account.regions, regions)


def _match_findings(
    route: routes.Route, host_in_requests: Callable[[str], str]
) -> Iterator[Finding]:
    is_prefix = route.prefix.startswith("/") and route.prefix.endswith("/")
    if not is_prefix:
        yield warning("prefix", "never matches; begin and end it with a slash")
    elif not _is_printable(route.prefix) or any(c in route.prefix for c in _PATH_ENDS):
        yield warning(
            "prefix", "never matches: no path has these characters; escape them"
        )
    host = route.host.lower()
    if not host or not _is_printable(host) or "/" in host:
        yield warning("host", "never matches: no request has such a host; correct it")
    elif host_in_requests(host) != host:
        yield warning(
            "host", "never matches: hosts are compared without port; remove it"
        )


def _is_printable(text: str) -> bool:
    return all(_FIRST_PRINTABLE <= letter <= _LAST_PRINTABLE for letter in text)


def _service_findings(
    route: routes.Route, services: Collection[str]
) -> Iterator[Finding]:
    if not route.services and not route.shards:
        yield error("services", "names no service, so no request can be served; add it")
    field = "shards" if route.shards else "services"
    named = route.shards or tuple(service.name for service in route.services)
    for name in dict.fromkeys(named):
        if name not in services:
            yield warning(field, f"the service {name} has no entry; add one")
        if named.count(name) > 1:
            yield warning(field, f"names the service {name} twice; remove one")


def _weight_findings(services: tuple[routes.WeightedService, ...]) -> Iterator[Finding]:
    total = sum(service.weight for service in services)
    if len(services) > 1 and total <= 0:
        yield error("weights", "all are 0, and one service gets all; raise one")
        return
    for service in services:
        if service.weight < 0:
            yield error("weights", f"that of {service.name} is negative; raise it")
        elif service.weight == 0:
            yield warning(
                "weights",
                f"that of {service.name} is 0; remove the service or raise its weight",
            )
        elif total + service.weight == total:
            yield warning(
                "weights",
                f"that of {service.name} is lost in rounding; raise it",
            )


def _sharded_findings(route: routes.Route) -> Iterator[Finding]:
    distinct = len(set(route.shards))
    needed = route.minimum_coverage * len(route.shards)
    if route.minimum_coverage < 0:
        yield error("minimum_coverage", "is negative; write a share from 0 to 1")
    elif needed > distinct:
        yield warning(
            "minimum_coverage",
            f"cannot be met by {distinct} services; write a share from 0 to 1",
        )
    if route.top_records <= 0:
        yield warning("top_records", "answers have no records; raise it")


def _region_findings(
    field: str, allowed: Collection[str], regions: Collection[str] | None
) -> Iterator[Finding]:
    if regions is None or not allowed:
        return
    unknown = sorted(set(allowed) - set(regions))
    for name in unknown:
        yield warning(field, f"no failure domain is in the region {name}; correct it")
    if len(unknown) == len(set(allowed)):
        yield warning(field, "no region is left, so every request is refused; add one")
