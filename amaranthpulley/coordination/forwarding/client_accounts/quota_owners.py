"""Owners of the quotas of client accounts: who they are, and what they grant.

Each account has up to three owners, chosen by a rendezvous hash over the registered
daemons. Each owner has an equal part of the account's token bucket. Which daemons may
grant is decided in `quota_claims`.
"""

import math
from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    delegates,
    events,
    leaf_selection,
)
from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import peer_messages, retry_window, token_bucket
from amaranthpulley.state.forwarding.client_accounts import accounts, quotas

MAXIMUM_OWNERS: Final = 3
# Share of the slack that is added to an account's burst. Without it, an owner's part of
# a small burst would be empty after one or two requests.
BURST_SLACK_SHARE: Final = 0.5
# A daemon that may not grant is asked again after this time. Claims are confirmed
# within one or two ticks.
NOT_GRANTING_MS: Final = 100
# An account is far over its quota if an owner denied more token requests in a second
# than this many times its tokens of a second. An account within its quota whose demand
# is in one region is denied there 0.9 times as often as it is granted.
PRESSED_SHARE: Final = 2.0
# Fewer denials in a second say nothing.
FEWEST_DENIALS: Final = 4
# Added to a denial of such an account: its next tokens go to others that were denied.
# It is longer than any client waits, a third of 2,520 ms.
PRESSED_MS: Final = 1_000
PRESSED_TOKENS: Final = 2.0
# Bounds the grants in memory: over 10,000 token requests a second.
MAXIMUM_GRANTS: Final = 20_000
# Rounding errors of many refills stay below this part of a token.
_ROUNDING: Final = 1e-6


def limited_account(
    gateway: gateway_state.Gateway, name: str
) -> accounts.Account | None:
    """Return an account with a quota by its name; None if there is none."""
    configuration = gateway.configuration
    if configuration is None or configuration.accounts is None:
        return None
    account = configuration.accounts.by_name.get(name)
    return account if account is not None and account.rate_per_s > 0 else None


def owners_of(
    gateway: gateway_state.Gateway, account: accounts.Account
) -> tuple[str, ...]:
    """Return the owners of an account, as far as this daemon knows the others.

    A daemon that is an owner among many daemons is also one among any part of them, so
    that owners who know of each other agree.
    """
    count = _owner_count(gateway, account)
    cache = gateway.quotas.owners
    found = cache.get((account.name, count))
    if found is None:
        found = _choose(gateway, account.name, count)
        cache[account.name, count] = found
    return found


def may_grant(gateway: gateway_state.Gateway, now_ms: int) -> bool:
    """Return whether this daemon may grant tokens as an owner.

    A draining daemon may not: it ends its registration soon, and others follow it.
    """
    if gateway.draining_since_ms is not None or not is_counted(gateway, now_ms):
        return False
    return gateway.quotas.confirmed_ms is not None


def is_counted(gateway: gateway_state.Gateway, now_ms: int) -> bool:
    """Return whether this daemon sees its registration and it has not ended.

    A daemon that has just started and finds the registration of its previous process
    waits until it has renewed it.
    """
    return (
        gateway.listed
        and gateway.place.name in gateway.members
        and gateway.registered_until_ms is not None
        and delegates.is_registered(gateway, now_ms)
    )


def take_own(
    gateway: gateway_state.Gateway, account: accounts.Account, wanted: int, now_ms: int
) -> tuple[int, int]:
    """Take tokens from this daemon's part of an account's bucket.

    Returns
    -------
    granted : int
        Number of tokens.
    retry_after_ms : int
        Time until it has a token again, longer for an account far over its quota; 0
        if it granted all.
    """
    if gateway.place.name not in owners_of(gateway, account):
        return 0, NOT_GRANTING_MS
    if not may_grant(gateway, now_ms):
        return 0, NOT_GRANTING_MS
    bucket = _bucket_of(gateway, account.name)
    level = _refill(gateway, account, bucket, now_ms)
    granted = max(0, min(wanted, int(level + _ROUNDING)))
    for _ in range(granted):
        bucket.take()
    if granted == wanted:
        return granted, 0
    per_ms, _ = _part_of(gateway, account)
    next_ms = max(1, math.ceil((1.0 - (level - granted)) / per_ms))
    return granted, next_ms + _pressed_ms(gateway, account.name, per_ms, now_ms)


def token_ms(gateway: gateway_state.Gateway, account: accounts.Account) -> float:
    """Return the time in which one owner's part of a bucket gets a token."""
    per_ms, _ = _part_of(gateway, account)
    return 1 / per_ms


def handle_token_request(
    gateway: gateway_state.Gateway,
    event: events.PeerMessageReceived,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Grant tokens to another daemon, as many as this one's part has.

    A request that comes again gets the same grant, of which the other daemon uses one.
    """
    message: peer_messages.TokenRequest = event.message
    known = gateway.quotas.grants.get((event.sender, message.number))
    if known is not None:
        return [commands.SendToPeers(known.message, (event.sender,))]
    granted, retry_after_ms = 0, NOT_GRANTING_MS
    account = limited_account(gateway, message.account)
    if account is not None:
        granted, retry_after_ms = take_own(gateway, account, message.wanted, now_ms)
    answer = peer_messages.TokenGrant(message.number, granted, retry_after_ms)
    if granted and len(gateway.quotas.grants) < MAXIMUM_GRANTS:
        grant = quotas.Grant(now_ms, answer)
        gateway.quotas.grants[event.sender, message.number] = grant
    result = "granted" if granted == message.wanted else "partial"
    gateway.counters.add(
        "quota_requests_answered_total", result=result if granted else "denied"
    )
    gateway.counters.add("quota_tokens_granted_total", granted)
    return [commands.SendToPeers(answer, (event.sender,))]


def settle(gateway: gateway_state.Gateway, now_ms: int) -> None:
    """Bring all buckets up to date, before what they depend on changes."""
    for name, bucket in gateway.quotas.buckets.items():
        account = limited_account(gateway, name)
        if account is not None:
            _refill(gateway, account, bucket, now_ms)


def settle_changed(
    gateway: gateway_state.Gateway, table: accounts.AccountTable | None, now_ms: int
) -> None:
    """Bring buckets up to date before a version with other quotas is in force.

    Parameters
    ----------
    table : AccountTable or None
        The accounts of the new version.
    """
    settle(gateway, now_ms)
    configuration = gateway.configuration
    if configuration is None or configuration.accounts is None:
        return
    if gateway.quotas.confirmed_ms is None:
        return
    named = table.by_name if table is not None else {}
    for name, account in configuration.accounts.by_name.items():
        changed = named.get(name)
        if changed is not None and changed[3:] == account[3:]:
            continue
        # An unused part is filled by the quota that was in force until now.
        if account.rate_per_s > 0 and name not in gateway.quotas.buckets:
            if gateway.place.name in owners_of(gateway, account):
                bucket = _bucket_of(gateway, name)
                _refill(gateway, account, bucket, now_ms)


def note_member(
    gateway: gateway_state.Gateway,
    name: str,
    member: gateway_state.Member | None,
    now_ms: int,
) -> None:
    """Take note of a daemon that registered or whose registration ended.

    A part that is gained by the end of a registration starts empty: its former owner
    may have granted all of it just before. A part that goes to a new daemon is dropped.
    """
    table = gateway.quotas
    if member is None:
        if name == gateway.place.name:
            table.drop_claim()
        table.unconfirmed.pop(name, None)
        table.gained_ms = now_ms
        return
    for held in list(table.buckets):
        account = limited_account(gateway, held)
        if account is not None:
            if gateway.place.name not in owners_of(gateway, account):
                del table.buckets[held]


def _owner_count(gateway: gateway_state.Gateway, account: accounts.Account) -> int:
    """Return the number of owners; a part that holds less than a token is useless."""
    tokens = account.burst + BURST_SLACK_SHARE * gateway.limits.quota_slack
    return max(1, min(MAXIMUM_OWNERS, int(tokens)))


def _choose(gateway: gateway_state.Gateway, name: str, count: int) -> tuple[str, ...]:
    """Return the first daemons of the ranking, one of each region before any second.

    With fewer than three regions, failure domains take their place.
    """
    regions = gateway.place.regions
    by_region = len(set(regions.values())) >= MAXIMUM_OWNERS
    taken: dict[str, int] = {}
    places: list[tuple[int, int, str]] = []
    for rank, daemon in enumerate(rendezvous.ranking(gateway.members, name)):
        group = gateway.members[daemon].failure_domain
        if by_region:
            group = regions.get(group, "")
        taken[group] = taken.get(group, 0) + 1
        places.append((taken[group], rank, daemon))
    return tuple(daemon for _, _, daemon in sorted(places)[:count])


def _part_of(
    gateway: gateway_state.Gateway, account: accounts.Account
) -> tuple[float, float]:
    """Return the tokens in a millisecond and the size of one owner's part."""
    count = max(1, len(owners_of(gateway, account)))
    slack = BURST_SLACK_SHARE * gateway.limits.quota_slack
    size = max(1.0, (account.burst + slack) / count)
    return account.rate_per_s / count / 1000, size


def _pressed_ms(
    gateway: gateway_state.Gateway, name: str, per_ms: float, now_ms: int
) -> int:
    """Count a denial; return what is added if the account is far over its quota."""
    denials = gateway.quotas.denials.get(name)
    if denials is None:
        denials = retry_window.RetryWindow(quotas.DENIAL_WINDOW_MS)
        gateway.quotas.denials[name] = denials
    denials.add_request(now_ms)
    count, _ = denials.totals(now_ms)
    often = PRESSED_SHARE * per_ms * quotas.DENIAL_WINDOW_MS
    if count < FEWEST_DENIALS or count <= often:
        return 0
    return max(PRESSED_MS, math.ceil(PRESSED_TOKENS / per_ms))


def _bucket_of(gateway: gateway_state.Gateway, name: str) -> token_bucket.TokenBucket:
    """Return this daemon's part; a new one has filled up since it can be its own."""
    table = gateway.quotas
    bucket = table.buckets.get(name)
    if bucket is None:
        since_ms = max(table.gained_ms, table.confirmed_ms or 0)
        bucket = table.buckets[name] = token_bucket.TokenBucket(0.0, since_ms)
    return bucket


def _refill(
    gateway: gateway_state.Gateway,
    account: accounts.Account,
    bucket: token_bucket.TokenBucket,
    now_ms: int,
) -> float:
    per_ms, size = _part_of(gateway, account)
    return bucket.refill(per_ms * 1000, size, now_ms)
