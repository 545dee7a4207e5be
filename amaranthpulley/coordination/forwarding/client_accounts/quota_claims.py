"""Claims of daemons to be counted by all others before they grant tokens of quotas.

A daemon grants only while every daemon that may grant counts it. It claims this once,
when it sees its own registration: it asks each registered daemon whether it counts it,
and grants after all have confirmed. A daemon that registers later sees this one in the
store and has to ask it in turn. So all daemons that grant know of each other, and a
fourth owner of an account cannot exist.

A confirmed claim is written into the registration. The next process of the daemon that
finds it there and renews the registration grants without a claim: the registration has
been there all the while. docs/design/quotas.md has the whole argument.
"""

import itertools
from typing import Final

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import (
    commands,
    events,
    leaf_selection,
    store_watchers,
)
from amaranthpulley.coordination.forwarding.client_accounts import quota_owners
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import peer_messages
from amaranthpulley.state.forwarding.client_accounts import quotas

# Queries of a claim in one tick of 100 ms. With the confirmations that it sends, a
# daemon stays under 30 KB a second when 300 start at once; these are asked in 3 s.
QUERIES_PER_TICK: Final = 10
# A doubled datagram that comes later is answered with further tokens, which are lost.
GRANT_MEMORY_MS: Final = 2_000


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
    if not quota_owners.is_counted(gateway, now_ms) or not _has_quotas(gateway):
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


def note_registration(
    gateway: gateway_state.Gateway, event: events.Registered, now_ms: int
) -> list[commands.Command]:
    """Follow what a written or renewed registration means for the claim.

    The claim ends if the registration had lapsed before it was renewed. A claim that is
    not confirmed yet was about the registration that this one replaces. The first
    renewal of a process continues the right of its previous process.
    """
    table = gateway.quotas
    before_ms = gateway.registered_until_ms
    if before_ms is not None and now_ms >= before_ms:
        table.drop_claim()
    if event.replaced:
        if table.confirmed_ms is None:
            table.drop_claim()
        return []
    own = gateway.members.get(gateway.place.name)
    if before_ms is not None or own is None or not own.grants or not gateway.listed:
        return []
    # The previous process granted nothing while this one started.
    table.confirmed_ms = now_ms - quotas.RESTART_MS
    return [_confirmed_line(gateway, 0)]


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
    longest_ms = (
        store_watchers.REGISTRATION_LIFETIME_MS + gateway.limits.configuration_ms
    )
    if table.unconfirmed and waited_ms < longest_ms:
        return []
    table.confirmed_ms = now_ms
    return [_confirmed_line(gateway, waited_ms), commands.PublishGrants()]


def _confirmed_line(gateway: gateway_state.Gateway, waited_ms: int) -> commands.Command:
    return common.log(
        log_events.QUOTA_CLAIM_CONFIRMED,
        members=len(gateway.members),
        silent=len(gateway.quotas.unconfirmed),
        waited_ms=waited_ms,
    )


def _forget_grants(table: quotas.Quotas, now_ms: int) -> None:
    """Forget old grants; a dictionary keeps them in the order of their times."""
    for key, grant in list(table.grants.items()):
        if now_ms - grant.at_ms < GRANT_MEMORY_MS:
            break
        del table.grants[key]
