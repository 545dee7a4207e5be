"""Compares a version of the configuration with the one in force.

Keys of accounts are compared by their digests and only counted.
"""

import collections
import enum
from collections.abc import Iterator
from typing import Final, NamedTuple

from amaranthpulley.state.forwarding import routes
from amaranthpulley.state.forwarding.client_accounts import accounts


class Part(enum.Enum):
    """What a change is about."""

    VERSION = "version"
    ROUTE = "route"
    SERVICE = "service"
    CLIENT_LIMITS = "client limits"
    ACCOUNT = "account"


class Change(NamedTuple):
    """One difference between two versions.

    Attributes
    ----------
    risky : bool
        Whether requests that are served now may be refused afterwards.
    part : Part
        What it is about.
    name : str
        Which one; empty where there is only one.
    field : str
        The attribute that has changed; empty when the whole was added or removed.
    before, after : str or None
        The values; None when there is none.
    """

    risky: bool
    part: Part
    name: str
    field: str
    before: str | None
    after: str | None


# Attributes of which a lower value takes something away. Of a rate, 0 means no limit.
_LIMITS: Final = frozenset(
    {
        "timeout_ms",
        "maximum_leaves",
        "top_records",
        "connections",
        "header_bytes",
        "body_bytes",
        "header_timeout_ms",
        "idle_timeout_ms",
        "burst",
    }
)
_RATES: Final = frozenset({"cold_requests_per_second", "rate_per_s"})
_HIGHER_IS_RISKY: Final = frozenset({"minimum_coverage"})
# A route that no longer accepts repeats, or requests without a key, refuses more.
_FLAGS: Final = frozenset({"idempotent", "anonymous"})
_SERVICES: Final = frozenset({"services", "shards"})


def compare(before: routes.Configuration, after: routes.Configuration) -> list[Change]:
    """Return what changes from one version to another, the risky changes first."""
    found = [
        *_version_changes(before, after),
        *_item_changes(Part.ROUTE, _routes_of(before), _routes_of(after)),
        *_item_changes(Part.SERVICE, before.services, after.services),
        *_field_changes(
            Part.CLIENT_LIMITS, "", before.client_limits, after.client_limits
        ),
        *_account_changes(before.accounts, after.accounts),
    ]
    return sorted(found, key=lambda change: not change.risky)


def _version_changes(
    before: routes.Configuration, after: routes.Configuration
) -> Iterator[Change]:
    if after == before:
        return
    # Daemons ignore a version that is not higher than theirs.
    risky = after.version <= before.version
    if risky or after.version != before.version:
        versions = str(before.version), str(after.version)
        yield Change(risky, Part.VERSION, "", "version", *versions)


def _routes_of(configuration: routes.Configuration) -> dict[str, routes.Route]:
    return {
        host + prefix: route
        for host, prefixes in configuration.routes.items()
        for prefix, route in prefixes.items()
    }


def _item_changes(
    part: Part, before: dict[str, NamedTuple], after: dict[str, NamedTuple]
) -> Iterator[Change]:
    for name, item in before.items():
        if name not in after:
            yield Change(
                True, part, name, "", _text_of(getattr(item, "name", "")), None
            )
    for name, item in after.items():
        if name in before:
            yield from _field_changes(part, name, before[name], item)
        else:
            added = _text_of(getattr(item, "name", ""))
            yield Change(False, part, name, "", None, added)


def _field_changes(
    part: Part, name: str, before: NamedTuple, after: NamedTuple
) -> Iterator[Change]:
    for field, old in before._asdict().items():
        new = getattr(after, field)
        if old != new and not (part is Part.ROUTE and field == "host"):
            risky = _is_risky(field, old, new)
            yield Change(risky, part, name, field, _text_of(old), _text_of(new))


def _is_risky(field: str, old: object, new: object) -> bool:
    if field in _LIMITS:
        return new < old
    if field in _RATES:
        return new > 0 and (old <= 0 or new < old)
    if field in _HIGHER_IS_RISKY:
        return new > old
    if field in _FLAGS:
        return not new
    if field in _SERVICES:
        return not _names_of(old) <= _names_of(new)
    if field == "regions":
        return bool(new) and (not old or not old <= new)
    return False


def _names_of(services: tuple) -> set[str]:
    return {getattr(service, "name", service) for service in services}


def _text_of(value: object) -> str:
    if isinstance(value, frozenset):
        return ", ".join(sorted(value))
    if isinstance(value, tuple):
        return ", ".join(
            item if isinstance(item, str) else f"{item.name} {item.weight:g}"
            for item in value
        )
    if isinstance(value, float):
        return f"{value:g}"
    return "" if value is None else str(value)


def _account_changes(
    before: accounts.AccountTable | None, after: accounts.AccountTable | None
) -> Iterator[Change]:
    if before is None and after is None:
        return
    if before is None or after is None:
        # Without accounts no request needs a key, and with them each one does.
        texts = ("no keys needed", "keys needed")
        pair = texts if before is None else reversed(texts)
        yield Change(True, Part.ACCOUNT, "", "keys", *pair)
    empty = accounts.AccountTable({}, {})
    old, new = before or empty, after or empty
    yield from _item_changes(Part.ACCOUNT, old.by_name, new.by_name)
    old_keys, new_keys = _keys_of(old), _keys_of(new)
    for name in dict.fromkeys([*old_keys, *new_keys]):
        gone = len(old_keys[name] - new_keys[name])
        come = len(new_keys[name] - old_keys[name])
        if gone or come:
            counts = f"{gone} removed", f"{come} added"
            yield Change(gone > 0, Part.ACCOUNT, name, "keys", *counts)


def _keys_of(table: accounts.AccountTable) -> dict[str, set[bytes]]:
    keys: dict[str, set[bytes]] = collections.defaultdict(set)
    for digest, name in table.names_by_key.items():
        keys[name].add(digest)
    return keys
