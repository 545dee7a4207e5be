"""Owners of the quotas of client accounts: who they are, and what they grant.

Each account has up to three owners, chosen by a rendezvous hash over the registered
daemons. Each owner has an equal part of the account's token bucket.

A daemon grants only while every daemon that may grant counts it. It claims this once,
when it sees its own registration: it asks each registered daemon whether it counts it,
and grants after all have confirmed. A daemon that registers later sees this one in the
store and has to ask it in turn. So all daemons that grant know of each other, and a
fourth owner of an account cannot exist. docs/design/quotas.md has the whole argument.
"""

import itertools
import math
from typing import Final

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import (
    commands,
    delegates,
    events,
    leaf_selection,
)
from amaranthpulley.state import log_events, rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import peer_messages, token_bucket
from amaranthpulley.state.forwarding.client_accounts import accounts, quotas

MAXIMUM_OWNERS: Final = 3
# Share of the slack that is added to an account's burst. Without it, an owner's part of
# a small burst would be empty after one or two requests.
BURST_SLACK_SHARE: Final = 0.5
# A registration ends by its owner's clock within this time of its last renewal.
REGISTRATION_LIFETIME_MS: Final = 30_000
# Queries of a claim in one tick of 100 ms. With the confirmations that it sends, a
# daemon stays under 30 KB a second when 300 start at once; these are asked in 3 s.
QUERIES_PER_TICK: Final = 10
# A daemon that may not grant is asked again after this time. Claims are confirmed
# within one or two ticks.
NOT_GRANTING_MS: Final = 100
# A doubled datagram that comes later is answered with further tokens, which are lost.
GRANT_MEMORY_MS: Final = 2_000
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
    if gateway.draining_since_ms is not None or not _is_counted(gateway, now_ms):
        return False
    return gateway.quotas.confirmed_ms is not None


def take_own(
    gateway: gateway_state.Gateway, account: accounts.Account, wanted: int, now_ms: int
) -> tuple[int, int]:
    """Take tokens from this daemon's part of an account's bucket.

    Returns
    -------
    granted : int
        Number of tokens.
    retry_after_ms : int
        Time until it has a token again; 0 if it granted all.
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
    return granted, max(1, math.ceil((1.0 - (level - granted)) / per_ms))


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


def handle_query(
    gateway: gateway_state.Gateway,
    event: events.PeerMessageReceived,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Confirm to another daemon that this one counts it; silent if it does not."""
    message: peer_messages.MembershipQuery = event.message
    member = gateway.members.get(message.name)
    if member is None or member.address != event.sender or not gateway.listed:
        return []
    answer = peer_messages.MembershipConfirmation(message.number, gateway.place.name)
    return [commands.SendToPeers(answer, (event.sender,))]


def handle_confirmation(
    gateway: gateway_state.Gateway,
    event: events.PeerMessageReceived,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Record that another daemon counts this one."""
    message: peer_messages.MembershipConfirmation = event.message
    if gateway.quotas.claim is None or message.number != gateway.quotas.claim:
        return []
    gateway.quotas.unconfirmed.pop(message.name, None)
    return _confirm_if_all(gateway, now_ms)


def maintain_claim(
    gateway: gateway_state.Gateway, now_ms: int
) -> list[commands.Command]:
    """Claim to be counted by all daemons, ask those that have not confirmed it."""
    table = gateway.quotas
    _forget_grants(table, now_ms)
    if not _is_counted(gateway, now_ms) or not _has_quotas(gateway):
        table.drop_claim()
        return []
    if table.confirmed_ms is not None:
        return []
    if table.claim is None:
        table.claim, table.claimed_ms = table.next_number(), now_ms
        names = sorted(gateway.members)
        own = names.index(gateway.place.name)
        # Each daemon begins with its next one, so that none is asked by all at once.
        table.unconfirmed = dict.fromkeys(names[own + 1 :] + names[:own])
    decided = _confirm_if_all(gateway, now_ms)
    if decided:
        return decided
    open_names = list(itertools.islice(table.unconfirmed, QUERIES_PER_TICK))
    for name in open_names:
        # To the end, so that silent daemons do not keep the others from being asked.
        del table.unconfirmed[name]
        table.unconfirmed[name] = None
    addresses = tuple(gateway.members[name].address for name in open_names)
    query = peer_messages.MembershipQuery(table.claim, gateway.place.name)
    return [commands.SendToPeers(query, addresses)]


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


def note_registration(
    gateway: gateway_state.Gateway, until_ms: int, now_ms: int
) -> None:
    """End the claim if the registration had lapsed before it was renewed."""
    before_ms = gateway.registered_until_ms
    if before_ms is not None and now_ms >= before_ms:
        gateway.quotas.drop_claim()


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


def _is_counted(gateway: gateway_state.Gateway, now_ms: int) -> bool:
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


def _has_quotas(gateway: gateway_state.Gateway) -> bool:
    configuration = gateway.configuration
    if configuration is None or configuration.accounts is None:
        return False
    return any(
        account.rate_per_s > 0 for account in configuration.accounts.by_name.values()
    )


def _confirm_if_all(
    gateway: gateway_state.Gateway, now_ms: int
) -> list[commands.Command]:
    """Start to grant when no daemon is left that may not count this one.

    A daemon that never answers has seen this one, or its registration has ended, after
    the lifetime of a registration and the time that a change takes to reach all.
    """
    table = gateway.quotas
    if table.confirmed_ms is not None:
        return []
    waited_ms = now_ms - table.claimed_ms
    longest_ms = REGISTRATION_LIFETIME_MS + gateway.limits.configuration_ms
    if table.unconfirmed and waited_ms < longest_ms:
        return []
    table.confirmed_ms = now_ms
    return [
        common.log(
            log_events.QUOTA_CLAIM_CONFIRMED,
            members=len(gateway.members),
            silent=len(table.unconfirmed),
            waited_ms=waited_ms,
        )
    ]


def _forget_grants(table: quotas.Quotas, now_ms: int) -> None:
    """Forget old grants; a dictionary keeps them in the order of their times."""
    for key, grant in list(table.grants.items()):
        if now_ms - grant.at_ms < GRANT_MEMORY_MS:
            break
        del table.grants[key]
