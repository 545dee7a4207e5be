"""The platform's names of a configuration's fields, by those of the product."""

from typing import Final

_OF_ROUTE: Final = {
    "name": "Name",
    "host": "Host",
    "prefix": "PathPrefix",
    "idempotent": "RouteType",
    "timeout_ms": "TimeoutMs",
    "objective_ms": "TargetLatencyMs",
    "priority": "Priority",
    "maximum_leaves": "MaxAttempts",
    "shards": "Gather",
    "weights": "WeightedBackends",
    "top_records": "TopK",
    "minimum_coverage": "MinCoverage",
    "regions": "AllowedRegions",
    "anonymous": "Anonymous",
}
OF_SERVICE: Final = {
    "name": "Name",
    "health_path": "HealthPath",
    "connections": "MaxConns",
    "cold_requests_per_second": "WarmupPerS",
}
OF_LIMITS: Final = {
    "header_bytes": "MaxHeaderBytes",
    "body_bytes": "MaxBodyBytes",
    "header_timeout_ms": "HeaderTimeoutMs",
    "idle_timeout_ms": "IdleTimeoutMs",
}
OF_ACCOUNT: Final = {
    "name": "Name",
    "priority": "Priority",
    "regions": "AllowedRegions",
    "rate_per_s": "RatePerS",
    "burst": "Burst",
    "keys": "ApiKeys",
}

# Every field that daemons or leaves read.
WHOLE: Final = frozenset({"Version", "Routes", "Services", "Limits", "Tenants"})
ROUTE: Final = frozenset({*_OF_ROUTE.values(), "Service"})
# Leaves read how long they are cold, and write the remaining time into their entries.
SERVICE: Final = frozenset({*OF_SERVICE.values(), "WarmupS"})
ACCOUNT: Final = frozenset(OF_ACCOUNT.values())
ALL: Final = WHOLE | ROUTE | SERVICE | ACCOUNT | frozenset(OF_LIMITS.values())


def of_route(services: str) -> dict[str, str]:
    """Return the names of a route's fields.

    Parameters
    ----------
    services : str
        The field that names its services.
    """
    return {**_OF_ROUTE, "services": services}
