"""Checks an operator's configuration, with the decoder that daemons use.

Each route, service and account is decoded by itself, so that one fault does not hide
the others. Findings name the place in the file. No key is part of a finding.
"""

import itertools
import json
import re
from collections.abc import Callable, Collection, Iterator
from typing import Any, Final, NamedTuple

import msgspec

from amaranthpulley.coordination.forwarding import configuration_findings as findings
from amaranthpulley.platform import client_accounts, configuration, configuration_fields
from amaranthpulley.protocol import errors, json_codec
from amaranthpulley.protocol.forwarding import client_requests, header_names
from amaranthpulley.state.forwarding import routes

_LISTS: Final = ("Routes", "Services", "Tenants")
# A configuration with nothing in it, into which single items are put.
_EMPTY: Final = {
    "Version": 0,
    "Routes": [],
    "Services": [],
    "Limits": {
        "MaxHeaderBytes": 1,
        "MaxBodyBytes": 1,
        "HeaderTimeoutMs": 1,
        "IdleTimeoutMs": 1,
    },
}
_ERROR_PATH: Final = re.compile(r"(?P<text>.*) - at `(?P<path>\$.*)`", re.DOTALL)
# Of these ways to name a route's services, a daemon uses the last one that is there.
_TARGETS: Final = ("Service", "WeightedBackends", "Gather")
# The field that the daemons' copies have in place of the keys.
_DIGESTS: Final = "KeyDigests"


class PlacedFinding(NamedTuple):
    """A finding and its place in the file.

    Attributes
    ----------
    level : Level
        How serious it is.
    path : str
        Path of the value, such as ``$.Routes[2].PathPrefix``.
    text : str
        What is wrong and what to do.
    """

    level: findings.Level
    path: str
    text: str


class _Item(NamedTuple):
    """A route, service or account that daemons accept.

    Attributes
    ----------
    path : str
        Its path in the file.
    fields : dict
        Its fields as they stand in the file.
    decoded : Configuration
        A configuration with nothing else in it.
    """

    path: str
    fields: dict[str, Any]
    decoded: routes.Configuration


def decode(text: bytes) -> routes.Configuration:
    """Return the configuration as a daemon reads it from the store.

    Raises
    ------
    MalformedMessageError
        When a daemon would refuse it.
    """
    return configuration.decode(client_accounts.without_keys(text))


def check(text: bytes, regions: Collection[str] | None) -> list[PlacedFinding]:
    """Return the findings of a configuration, the errors first.

    Parameters
    ----------
    regions : collection of str or None
        Regions that have a failure domain; None if they are not known.

    Raises
    ------
    MalformedMessageError
        When the text is not JSON.
    """
    json_codec.decode(text, Any)
    try:
        fields = json_codec.decode(text, dict[str, msgspec.Raw])
    except errors.MalformedMessageError as error:
        return [_refusal(error)]
    found: list[PlacedFinding] = list(_repeated_names(text))
    items = {name: _items_of(fields, name, found) for name in _LISTS}
    whole = _whole_of(fields, found)
    found += _unread("$", fields, configuration_fields.WHOLE)
    found += _route_findings(items, regions)
    found += _service_findings(items)
    found += _account_findings(items, regions)
    if whole is not None:
        found += _whole_findings(whole, fields)
    return sorted(found, key=lambda one: one.level is not findings.Level.ERROR)


def _items_of(
    fields: dict[str, msgspec.Raw], name: str, found: list[PlacedFinding]
) -> list[_Item]:
    """Decode each item of a list by itself; add the errors to the findings."""
    try:
        texts = json_codec.decode(bytes(fields.get(name, b"[]")), list[msgspec.Raw])
    except errors.MalformedMessageError:
        return []  # Reported with the rest of the configuration.
    items = []
    for index, text in enumerate(texts):
        path = f"$.{name}[{index}]"
        try:
            decoded = decode(json_codec.encode({**_EMPTY, name: [text]}))
        except errors.MalformedMessageError as error:
            refusal = _refusal(error)
            place = refusal.path.replace(f"$.{name}[0]", path, 1)
            found.append(refusal._replace(path=place))
            continue
        items.append(_Item(path, json_codec.decode(bytes(text), dict), decoded))
    return items


def _whole_of(
    fields: dict[str, msgspec.Raw], found: list[PlacedFinding]
) -> routes.Configuration | None:
    """Decode what is in no list; add an error to the findings."""
    emptied: dict[str, object] = dict(fields)
    for name in _LISTS:
        if bytes(fields.get(name, b"")).lstrip().startswith(b"["):
            emptied[name] = []
    try:
        return decode(json_codec.encode(emptied))
    except errors.MalformedMessageError as error:
        found.append(_refusal(error))
        return None


def _refusal(error: errors.MalformedMessageError) -> PlacedFinding:
    matched = _ERROR_PATH.fullmatch(str(error))
    text, path = (matched["text"], matched["path"]) if matched else (str(error), "$")
    # The daemon's copy has digests in place of keys; the file has none.
    path = path.replace(_DIGESTS, "ApiKeys")
    return PlacedFinding(
        findings.Level.ERROR, path, f"daemons refuse it: {text}; correct it"
    )


def _repeated_names(text: bytes) -> Iterator[PlacedFinding]:
    """Find names that stand twice in one object: the decoder uses the last value."""
    repeated: set[str] = set()

    def collect(pairs: list[tuple[str, object]]) -> None:
        names = [name for name, _ in pairs]
        repeated.update(name for name in names if names.count(name) > 1)

    try:
        json.loads(text, object_pairs_hook=collect)
    except RecursionError:
        return  # Only values that daemons do not read are nested so deeply.
    for name in sorted(repeated):
        # Another name may be a key that stands in the wrong place.
        shown = name if name in configuration_fields.ALL else "a name"
        text_of = f"{shown} stands twice in one object, and the last one counts"
        yield PlacedFinding(findings.Level.ERROR, "$", f"{text_of}; remove one")


def _unread(
    path: str, fields: Collection[str], known: Collection[str]
) -> Iterator[PlacedFinding]:
    for name in sorted(set(fields) - set(known)):
        yield PlacedFinding(
            findings.Level.WARNING,
            f"{path}.{name}",
            "daemons do not read this field; check its name",
        )


def _placed(
    path: str, names: dict[str, str], found: Iterator[findings.Finding]
) -> Iterator[PlacedFinding]:
    for one in found:
        place = f"{path}.{names[one.field]}" if one.field else path
        yield PlacedFinding(one.level, place, one.text)


def _single_route(item: _Item) -> routes.Route:
    (prefixes,) = item.decoded.routes.values()
    (route,) = prefixes.values()
    return route


def _route_findings(
    items: dict[str, list[_Item]], regions: Collection[str] | None
) -> Iterator[PlacedFinding]:
    services = {item.fields["Name"] for item in items["Services"]}
    for item in items["Routes"]:
        route = _single_route(item)
        is_weighted = bool(item.fields.get("WeightedBackends"))
        names = configuration_fields.of_route(
            "WeightedBackends" if is_weighted else "Service"
        )
        one = findings.in_route(route, services, regions, _host_in_requests)
        yield from _placed(item.path, names, one)
        yield from _misread_route(item, route)
        yield from _unread(item.path, item.fields, configuration_fields.ROUTE)
    yield from _repeats(
        items["Routes"],
        lambda item: (item.fields["Host"].lower(), item.fields["PathPrefix"]),
        "never matches: {other} has the same host and prefix; remove one",
        "PathPrefix",
        findings.Level.WARNING,
    )
    yield from _repeats(
        items["Routes"],
        lambda item: item.fields["Name"],
        "{other} has this name too, and both count as one route; rename one",
        "Name",
        findings.Level.WARNING,
    )


def _misread_route(item: _Item, route: routes.Route) -> Iterator[PlacedFinding]:
    if item.fields["MaxAttempts"] != route.maximum_leaves:
        yield PlacedFinding(
            findings.Level.ERROR,
            f"{item.path}.MaxAttempts",
            f"is read as {route.maximum_leaves}; write 1 or more",
        )
    given = [name for name in _TARGETS if item.fields.get(name)]
    for name in given[:-1]:
        yield PlacedFinding(
            findings.Level.ERROR,
            f"{item.path}.{name}",
            f"is not used beside {given[-1]}; remove one of them",
        )


def _host_in_requests(host: str) -> str:
    headers = [(header_names.HOST, host.encode())]
    return client_requests.host_of(
        client_requests.ClientRequest(b"GET", b"/", headers, b"", True)
    )


def _repeats(
    items: list[_Item],
    key_of: Callable[[_Item], object],
    text: str,
    field: str,
    level: findings.Level,
    used: int = -1,
) -> Iterator[PlacedFinding]:
    """Find items with the same key.

    Parameters
    ----------
    used : int
        Position of the one that daemons use among those with the same key.
    """
    groups: dict[object, list[_Item]] = {}
    for item in items:
        groups.setdefault(key_of(item), []).append(item)
    for group in groups.values():
        other = group[used]
        for item in group:
            if item is not other:
                told = text.format(other=other.path)
                yield PlacedFinding(level, f"{item.path}.{field}", told)


def _service_findings(items: dict[str, list[_Item]]) -> Iterator[PlacedFinding]:
    used = set(
        itertools.chain.from_iterable(
            (*route.shards, *(service.name for service in route.services))
            for route in map(_single_route, items["Routes"])
        )
    )
    for item in items["Services"]:
        ((name, limits),) = item.decoded.services.items()
        one = findings.in_service(name, limits, used)
        yield from _placed(item.path, configuration_fields.OF_SERVICE, one)
        yield from _unread(item.path, item.fields, configuration_fields.SERVICE)
        if limits.cold_requests_per_second > 0 and not item.fields.get("WarmupS"):
            yield PlacedFinding(
                findings.Level.WARNING,
                f"{item.path}.WarmupPerS",
                "is without WarmupS; add the time for which leaves stay cold",
            )
    yield from _repeats(
        items["Services"],
        lambda item: item.fields["Name"],
        "is not used: {other} has the same name; remove one",
        "Name",
        findings.Level.ERROR,
    )


def _account_findings(
    items: dict[str, list[_Item]], regions: Collection[str] | None
) -> Iterator[PlacedFinding]:
    holders: dict[bytes, list[_Item]] = {}
    for item in items["Tenants"]:
        table = item.decoded.accounts
        keys = table.names_by_key if table is not None else {}
        for digest in keys:
            holders.setdefault(digest, []).append(item)
        if not keys:
            yield PlacedFinding(
                findings.Level.WARNING,
                f"{item.path}.ApiKeys",
                "the account has no key, so nobody can use it; add one or remove it",
            )
        one = findings.in_account(_account_of(item), regions)
        yield from _placed(item.path, configuration_fields.OF_ACCOUNT, one)
        if not set(item.fields) <= configuration_fields.ACCOUNT:
            # Such a name is not shown: it may be a key that stands in the wrong place.
            yield PlacedFinding(
                findings.Level.WARNING,
                item.path,
                "has a field that daemons do not read; check the names",
            )
    yield from _shared_keys(holders)
    yield from _repeats(
        items["Tenants"],
        lambda item: item.fields["Name"],
        "{other} has the same name, and its limits apply; join them or rename one",
        "Name",
        findings.Level.ERROR,
        used=0,
    )


def _account_of(item: _Item) -> Any:
    """Return the account of an item, also of one without keys."""
    fields = {**item.fields, "ApiKeys": ["-"]}
    table = decode(json_codec.encode({**_EMPTY, "Tenants": [fields]})).accounts
    (account,) = table.by_name.values()
    return account


def _shared_keys(holders: dict[bytes, list[_Item]]) -> Iterator[PlacedFinding]:
    counts: dict[tuple[str, str, str], int] = {}
    for first, *others in holders.values():
        for other in others:
            pair = other.path, first.path, first.fields["Name"]
            counts[pair] = counts.get(pair, 0) + 1
    for (path, first_path, name), count in counts.items():
        yield PlacedFinding(
            findings.Level.WARNING,
            f"{path}.ApiKeys",
            f"{count} of these keys are also at {name} ({first_path}), to which "
            "they belong; remove them from one of the two",
        )


def _whole_findings(
    whole: routes.Configuration, fields: dict[str, msgspec.Raw]
) -> Iterator[PlacedFinding]:
    if whole.version < 0:
        text = "daemons never use a version below 0; raise it"
        yield PlacedFinding(findings.Level.ERROR, "$.Version", text)
    if whole.accounts is not None and not json_codec.decode(
        bytes(fields["Tenants"]), list
    ):
        text = "no request has a known key, so all are refused; add one or remove this"
        yield PlacedFinding(findings.Level.WARNING, "$.Tenants", text)
    one = findings.in_client_limits(whole.client_limits)
    yield from _placed("$.Limits", configuration_fields.OF_LIMITS, one)
    limits = json_codec.decode(bytes(fields["Limits"]), dict)
    yield from _unread("$.Limits", limits, configuration_fields.OF_LIMITS.values())
