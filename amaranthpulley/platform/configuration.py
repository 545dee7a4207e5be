"""Decoding of the operators' configuration from the platform's store."""

from typing import Literal, NotRequired, TypedDict

from amaranthpulley.platform import client_accounts, names
from amaranthpulley.protocol import json_codec
from amaranthpulley.state.forwarding import routes


class _Weighted(TypedDict):
    """A service and its weight in a route."""

    Service: str
    Weight: float


class _Route(TypedDict):
    """A route to one `Service`, to `WeightedBackends` or to the shards in `Gather`."""

    Name: str
    Host: str
    PathPrefix: str
    RouteType: Literal["idempotent", "non_idempotent"]
    TimeoutMs: float
    TargetLatencyMs: float
    MaxAttempts: int
    Priority: NotRequired[int]
    Service: NotRequired[str | None]
    WeightedBackends: NotRequired[list[_Weighted] | None]
    Gather: NotRequired[list[str] | None]
    TopK: NotRequired[int | None]
    MinCoverage: NotRequired[float | None]
    AllowedRegions: NotRequired[list[str] | None]
    Anonymous: NotRequired[bool | None]


class _Service(TypedDict):
    """Health check and capacity of the leaves of a service."""

    Name: str
    HealthPath: str
    MaxConns: int
    WarmupPerS: NotRequired[float]


class _Limits(TypedDict):
    """Size and time limits of client requests."""

    MaxHeaderBytes: int
    MaxBodyBytes: int
    HeaderTimeoutMs: int
    IdleTimeoutMs: int


class _Configuration(TypedDict):
    """One version of the configuration."""

    Version: int
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits
    Tenants: NotRequired[list[client_accounts.Tenant] | None]


def decode(text: bytes) -> routes.Configuration:
    """Return a version of the configuration.

    Raises
    ------
    MalformedMessageError
        When the text is not a valid configuration; names the path of the fault.
    """
    raw = json_codec.decode(text, _Configuration)
    table: dict[str, dict[str, routes.Route]] = {}
    for route in raw["Routes"]:
        table.setdefault(route["Host"].lower(), {})[route["PathPrefix"]] = _route(route)
    limits = raw["Limits"]
    tenants = raw.get("Tenants")
    return routes.Configuration(
        raw["Version"],
        table,
        {service["Name"]: _service(service) for service in raw["Services"]},
        routes.ClientLimits(
            limits["MaxHeaderBytes"],
            limits["MaxBodyBytes"],
            limits["HeaderTimeoutMs"],
            limits["IdleTimeoutMs"],
        ),
        None if tenants is None else client_accounts.table_of(tenants),
    )


def _route(raw: _Route) -> routes.Route:
    weighted = raw.get("WeightedBackends") or []
    services = tuple(
        routes.WeightedService(w["Service"], w["Weight"]) for w in weighted
    )
    single = raw.get("Service")
    if single and not services:
        services = (routes.WeightedService(single, 1.0),)
    return routes.Route(
        name=raw["Name"],
        host=raw["Host"],
        prefix=raw["PathPrefix"],
        idempotent=raw["RouteType"] == names.IDEMPOTENT,
        timeout_ms=int(raw["TimeoutMs"]),
        objective_ms=int(raw["TargetLatencyMs"]),
        priority=raw.get("Priority") or 0,
        maximum_leaves=max(1, raw["MaxAttempts"]),
        services=services,
        shards=tuple(raw.get("Gather") or ()),
        top_records=raw.get("TopK") or 0,
        minimum_coverage=raw.get("MinCoverage") or 0.0,
        regions=frozenset(raw.get("AllowedRegions") or ()),
        anonymous=raw.get("Anonymous") or False,
    )


def _service(raw: _Service) -> routes.ServiceLimits:
    return routes.ServiceLimits(
        raw["HealthPath"], raw["MaxConns"], raw.get("WarmupPerS") or 0.0
    )
