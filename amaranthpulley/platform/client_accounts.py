"""Decoding of the operators' client accounts, and the removal of their keys.

The keys are replaced by digests when the configuration is read from the store, so that
neither the daemon's copy of the store nor what it passes on to other daemons has them.
"""

from typing import Annotated, Any, Final, NotRequired, TypedDict

import msgspec

from amaranthpulley.protocol import errors, json_codec
from amaranthpulley.protocol.forwarding import key_digests
from amaranthpulley.state.forwarding.client_accounts import accounts

_TENANTS: Final = "Tenants"
# Fields that are kept when the keys are removed; another one might hold keys.
_KEPT_FIELDS: Final = ("Name", "Priority", "RatePerS", "Burst", "AllowedRegions")
# Without these, a text that is no JSON has no keys. A backslash may hide the others, as
# do the zeros between the letters of UTF-16 and UTF-32.
_KEY_MARKS: Final = (b"Tenants", b"ApiKeys", b"\\", b"\0")
# In place of what is not of the right type: reported as unreadable, without its value.
_UNREADABLE: Final = 0

# A name is sent in a header: visible characters, and single blanks between them.
_Name = Annotated[
    str, msgspec.Meta(pattern=r"^[^\x00-\x20\x7f]+( [^\x00-\x20\x7f]+)*\Z")
]
_Digest = Annotated[
    str, msgspec.Meta(pattern=rf"^[0-9a-f]{{{2 * key_digests.DIGEST_BYTES}}}\Z")
]
_Number = Annotated[float, msgspec.Meta(ge=0)]


class Tenant(TypedDict):
    """A client account, as it stands in the store or with digests in place of keys."""

    Name: _Name
    ApiKeys: NotRequired[list[str] | None]
    # Only in the daemons' copies of the configuration.
    KeyDigests: NotRequired[list[_Digest]]
    Priority: NotRequired[int | None]
    RatePerS: NotRequired[_Number | None]
    Burst: NotRequired[_Number | None]
    AllowedRegions: NotRequired[list[str] | None]


def without_keys(text: bytes) -> bytes:
    """Return a configuration's text with digests in place of keys.

    What can't be read is left out, since it may hold keys; the text is then empty, or
    has a value that is no account. All else stays as it is.
    """
    try:
        fields = json_codec.decode(text, dict[str, msgspec.Raw])
    except errors.MalformedMessageError:
        return b"" if any(mark in text for mark in _KEY_MARKS) else text
    if _TENANTS not in fields:
        return text
    tenants = json_codec.decode(bytes(fields[_TENANTS]), Any)
    if isinstance(tenants, list):
        tenants = [_without_keys(tenant) for tenant in tenants]
    elif tenants is not None:
        tenants = _UNREADABLE
    return json_codec.encode({**fields, _TENANTS: tenants})


def _without_keys(tenant: Any) -> Any:
    if not isinstance(tenant, dict):
        return _UNREADABLE
    kept = {name: tenant[name] for name in _KEPT_FIELDS if name in tenant}
    keys = tenant.get("ApiKeys") or []
    if isinstance(keys, list) and all(isinstance(key, str) for key in keys):
        kept["KeyDigests"] = [_digest(key).hex() for key in keys if key]
    else:
        kept["KeyDigests"] = _UNREADABLE
    return kept


def table_of(tenants: list[Tenant]) -> accounts.AccountTable:
    """Return the accounts of a configuration.

    A key belongs to the first account that lists it. Of two accounts with the same
    name, the limits of the first one apply.
    """
    found: dict[str, accounts.Account] = {}
    names_by_key: dict[bytes, str] = {}
    shared: dict[tuple[str, str], int] = {}
    for tenant in tenants:
        name = tenant["Name"]
        for digest in _digests(tenant):
            holder = names_by_key.setdefault(digest, name)
            if holder != name:
                shared[holder, name] = shared.get((holder, name), 0) + 1
            elif name not in found:
                found[name] = _account(tenant)
    shared_keys = tuple(
        accounts.SharedKeys(*names, count) for names, count in shared.items()
    )
    return accounts.AccountTable(found, names_by_key, shared_keys)


def _digests(tenant: Tenant) -> list[bytes]:
    digests = [bytes.fromhex(text) for text in tenant.get("KeyDigests", ())]
    # A daemon of an earlier version passes the keys on as they are.
    return digests + [_digest(key) for key in tenant.get("ApiKeys") or () if key]


def _digest(key: str) -> bytes:
    return key_digests.digest_of(key.encode())


def _account(tenant: Tenant) -> accounts.Account:
    return accounts.Account(
        tenant["Name"],
        tenant.get("Priority"),
        frozenset(tenant.get("AllowedRegions") or ()),
        tenant.get("RatePerS") or 0.0,
        tenant.get("Burst") or 0.0,
    )
