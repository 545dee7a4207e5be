"""Settings, configurations and answers in the platform's formats, for tests."""

import hashlib
import json
from typing import Any, Final

HOST: Final = "search.example"
SHARDS: Final = ("shard-0", "shard-1", "shard-2")
RECORDS: Final = 4
GRACE_S: Final = 2


def signature_of(leaf_id: str, request_id: str) -> str:
    """Return the signature of a leaf's answer to a request."""
    return hashlib.sha256(f"{leaf_id} {request_id}".encode()).hexdigest()[:24]


def records_of(leaf_id: str, request_id: str) -> list[bytes]:
    """Return the unsorted records of a leaf's answer to a request."""
    text = f"{leaf_id} {request_id}"
    return [
        hashlib.md5(f"{text} {number}".encode()).digest() for number in range(RECORDS)
    ]


def settings_text(
    name: str, store_address: str, zone: str = "a1", ip: str = "127.0.0.1"
) -> bytes:
    """Return a settings file in the platform's format; the system selects the ports."""
    return json.dumps(
        {
            "NodeName": name,
            "Ip": ip,
            "Zone": zone,
            "Region": zone[0],
            "Zones": {"a1": "a", "b1": "b"},
            "BindAddrs": {"FrontAddr": f"{ip}:0", "ReadyAddr": f"{ip}:0"},
            "InternalPorts": [0, 0],
            "Bounds": {"GraceS": GRACE_S, "DrainMs": 3000, "RetrySlack": 52},
            "platform": {"Address": store_address},
        }
    ).encode()


def route(**changes: object) -> dict[str, Any]:
    """Return a route over all shards; arguments replace its fields."""
    return {
        "Name": "wide",
        "Host": HOST,
        "PathPrefix": "/wide/",
        "RouteType": "idempotent",
        "TimeoutMs": 800,
        "TargetLatencyMs": 200,
        "Priority": 1,
        "Gather": list(SHARDS),
        "MaxAttempts": 2,
        "TopK": 5,
        "MinCoverage": 0.6,
        "AllowedRegions": [],
        **changes,
    }


def visit_route(**changes: object) -> dict[str, Any]:
    """Return a route to one service; arguments replace its fields."""
    usual = {"Name": "visit", "PathPrefix": "/visit/", "Service": "visits"}
    one = route(**{**usual, **changes})
    del one["Gather"]
    return one


def configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration in the platform's format."""
    services = [
        {"Name": name, "HealthPath": "/health", "MaxConns": 40}
        for name in (*SHARDS, "visits")
    ]
    limits = {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": 10_000,
        "HeaderTimeoutMs": 3_000,
        "IdleTimeoutMs": 15_000,
    }
    return {
        "Version": version,
        "Routes": list(routes),
        "Services": services,
        "Limits": limits,
    }
