"""Decoding of the items of the platform's store into events."""

import ipaddress
import re
from typing import Annotated, Final, Literal, NotRequired, TypedDict

import msgspec

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.platform import configuration, names, rollout_items
from amaranthpulley.protocol import errors, json_codec
from amaranthpulley.state import store
from amaranthpulley.state.forwarding import crashes, gateway, leaves

# Identities are sent in a header: visible ASCII characters only.
_IDENTITY: Final = re.compile("[!-~]+")
_PORT: Final = re.compile("[0-9]{1,5}")
_LATER_SUFFIX: Final = "/later"
_SHARDED_SUFFIX: Final = "/sharded"
_LOSS: Final = re.compile(
    f"([0-9a-f]{{16}})/([0-9a-f]{{16}})({_LATER_SUFFIX})?({_SHARDED_SUFFIX})?"
)
LARGEST_PORT: Final = 65_535
MOST_SLOTS: Final = 1_000_000
LONGEST_COLD_MS: Final = 86_400_000
LATEST_START_MS: Final = 2**53


class _Leaf(TypedDict):
    """A leaf's entry, written by the leaf itself."""

    Service: str
    Address: str
    Zone: str
    Version: str
    Capacity: Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
    State: Literal["ready", "draining"]
    # Remaining time for which the leaf is slow after its start.
    WarmupLeftMs: Annotated[int, msgspec.Meta(ge=0, le=LONGEST_COLD_MS)]
    Sequence: int
    # Unix time of the start in milliseconds; identifies one run of the leaf's process.
    born: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=LATEST_START_MS)]]


class Daemon(TypedDict):
    """A daemon's registration; only this system writes and reads it."""

    failure_domain: str
    address: str
    delegate_address: NotRequired[str]
    speed: NotRequired[float]
    # Era of the store in which the daemon's claim to grant tokens was confirmed. A
    # store that is back from a copy may hold a registration that had ended.
    grants: NotRequired[int]


def decode(change: store.Change) -> events.Event | None:
    """Return the event of a change; None when the key is not used.

    The store has other writers, so a value may be malformed. Such a change
    becomes an `ItemUnreadable` event: a leaf with a malformed entry is not used, and
    all other items keep their state.
    """
    try:
        return rollout_items.decode(change) or _event_of(change)
    except errors.MalformedMessageError as error:
        leaf_id = None
        if change.key.startswith(names.LEAF_PREFIX):
            leaf_id = change.key.removeprefix(names.LEAF_PREFIX)
            leaf_id = leaf_id if _IDENTITY.fullmatch(leaf_id) else None
        return events.ItemUnreadable(change.key, str(error), leaf_id)


def _event_of(change: store.Change) -> events.Event | None:
    key, value = change.key, change.value
    if key == names.CONFIGURATION_KEY:
        if value is None:
            return None
        return events.ConfigurationRead(configuration.decode(value))
    if key.startswith(names.LEAF_PREFIX):
        leaf_id = key.removeprefix(names.LEAF_PREFIX)
        if value is None:
            return events.LeafDeleted(leaf_id)
        return events.LeafWritten(_leaf(leaf_id, value))
    if key.startswith(names.EVACUATION_PREFIX):
        domain = key.removeprefix(names.EVACUATION_PREFIX)
        return events.EvacuationChanged(domain, value is not None)
    if key.startswith(names.DAEMON_PREFIX):
        name = key.removeprefix(names.DAEMON_PREFIX)
        member = _daemon(value, store.era_of(change.revision))
        return events.MemberChanged(name, member)
    if key.startswith(names.LOSS_PREFIX):
        loss = _loss(key.removeprefix(names.LOSS_PREFIX))
        if value is None:
            return events.LossWithdrawn(loss)
        return events.LossPublished(loss)
    return None


def loss_key(loss: crashes.Loss) -> str:
    """Return the key under which a loss is published."""
    suffix = _LATER_SUFFIX if loss.later else ""
    suffix += _SHARDED_SUFFIX if loss.sharded else ""
    return f"{names.LOSS_PREFIX}{loss.fingerprint:016x}/{loss.start:016x}{suffix}"


def encode_daemon(member: gateway.Member) -> bytes:
    """Return the value of a daemon's registration, without its right to grant."""
    fields = member._asdict()
    del fields["grants"]
    return json_codec.encode(Daemon(**fields))


def with_grants(registration: bytes, era: int) -> bytes:
    """Return a registration with the right to grant, confirmed in an era."""
    raw = json_codec.decode(registration, Daemon)
    return json_codec.encode(Daemon(**{**raw, "grants": era}))


def without_grants(registration: bytes) -> bytes:
    """Return a registration without the right to grant; as it is if unreadable."""
    try:
        raw = json_codec.decode(registration, Daemon)
    except errors.MalformedMessageError:
        return registration
    raw.pop("grants", None)
    return json_codec.encode(raw)


def _loss(text: str) -> crashes.Loss:
    matched = _LOSS.fullmatch(text)
    if matched is None:
        raise errors.MalformedMessageError(f"loss: {text[:50]!r}")
    later, sharded = matched[3] is not None, matched[4] is not None
    return crashes.Loss(int(matched[1], 16), int(matched[2], 16), later, sharded)


def _leaf(leaf_id: str, value: bytes) -> leaves.LeafEntry:
    raw = json_codec.decode(value, _Leaf)
    if not _IDENTITY.fullmatch(leaf_id):
        raise errors.MalformedMessageError(f"identity: {leaf_id!r}")
    _check_address(raw["Address"], "Address", lowest_port=1)
    return leaves.LeafEntry(
        leaf_id=leaf_id,
        service=raw["Service"],
        address=raw["Address"],
        failure_domain=raw["Zone"],
        slots=raw["Capacity"],
        draining=raw["State"] == names.DRAINING,
        cold_ms=raw["WarmupLeftMs"],
        born_ms=raw.get("born", 0),
        version=raw["Version"],
    )


def _daemon(value: bytes | None, era: int) -> gateway.Member | None:
    if value is None:
        return None
    raw = json_codec.decode(value, Daemon)
    _check_address(raw["address"], "address")
    if raw.get("delegate_address"):
        _check_address(raw["delegate_address"], "delegate_address")
    grants = raw.pop("grants", None) == era
    return gateway.Member(**raw, grants=grants)


def _check_address(address: str, field: str, lowest_port: int = 0) -> None:
    """Require an IPv4 address and a port: names are not looked up."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise errors.MalformedMessageError(f"{field}: {error}") from error
    if not _PORT.fullmatch(port) or not lowest_port <= int(port) <= LARGEST_PORT:
        raise errors.MalformedMessageError(f"{field}: port {port[:20]!r}")
