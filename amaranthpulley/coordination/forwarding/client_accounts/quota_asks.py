"""Asks the owners of client accounts' quotas for tokens, and takes their grants.

The owner of the own region is asked first, the next one after a denial or a short time
without an answer. A grant counts once, by the number of its request. Its tokens are
valid from the moment at which they were asked for, so that the time that a datagram
takes is not added.
"""

from typing import Final

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.coordination.forwarding.client_accounts import quota_owners
from amaranthpulley.coordination.forwarding.overload import admission
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import peer_messages
from amaranthpulley.state.forwarding.client_accounts import accounts, quotas

# Tokens are valid for this time from the moment at which they were asked for.
VALIDITY_MS: Final = 400
# An owner without an answer after this time is silent. Within a region it answers in
# 3 ms, between regions in 24 ms.
ANSWER_TIMEOUT_MS: Final = 25
FAR_ANSWER_TIMEOUT_MS: Final = 40
# A small VM whose processor share is used up stands still for up to 100 ms. A timer so
# late may have come before an answer that is already here; it is read meanwhile.
LATE_LOOP_MS: Final = 10
READING_MS: Final = 2
# A silent owner is asked last for this time.
SILENCE_MS: Final = 2_000
# Tokens beyond the waiting requests: those that are likely to be needed in this time.
AHEAD_MS: Final = 300
MAXIMUM_AHEAD: Final = 4
# A denial that says more than this many times the time of a token is one of an account
# far over its quota.
PRESSED_TOKENS: Final = 1.5
# An owner that denied such an account is not asked for the time of so many tokens. They
# stay in its bucket, and other daemons ask it meanwhile.
PRESSED_MEMORY_TOKENS: Final = 2.0
# A request of such an account is not asked for again after this time: its own region's
# owner has denied (5 ms), and one in another region (24 ms).
PRESSED_WAIT_MS: Final = 20
# Clients of such an account return from this part of the longest time on, also if the
# next token comes later: else all return at the end of what they honour.
SHORTEST_SHARE: Final = 0.75
# Bounds of what a denial may say.
LONGEST_DENIAL_MS: Final = 10_000
# Part of the slack that pays for the time from a token request to the arrival at a
# leaf. Another quarter is kept for what no decision sees: a process that pauses between
# a decision and its send, connections that open slowly.
LAG_SLACK_SHARE: Final = 0.25
# Longest way of a request to a leaf once it is sent.
NETWORK_MS: Final = 50
LONGEST_LAG_MS: Final = 3_000
SHORTEST_LAG_MS: Final = 100
# Assumed time until a token where no owner has told one.
UNKNOWN_RETURN_MS: Final = 100


def lag_ms(limits: gateway_state.Limits, account: accounts.Account) -> int:
    """Return the longest time from a token request to the send of what it allows.

    Owners grant at most the rate times a window and this time, and a full bucket. The
    overage and a quarter of the slack pay for this time.
    """
    if account.rate_per_s <= 0:
        return LONGEST_LAG_MS
    window_s = limits.quota_window_ms / 1000
    spare = limits.quota_overage * (account.rate_per_s * window_s + account.burst)
    spare += LAG_SLACK_SHARE * limits.quota_slack
    found_ms = int(1000 * spare / account.rate_per_s) - NETWORK_MS
    return max(SHORTEST_LAG_MS, min(LONGEST_LAG_MS, found_ms))


def validity_ms(limits: gateway_state.Limits, account: accounts.Account) -> int:
    """Return the time for which a token may be taken by a request."""
    return min(VALIDITY_MS, lag_ms(limits, account))


def in_flight(table: quotas.AccountTokens) -> int:
    """Return the number of tokens that owners have been asked for in time."""
    return sum(ask.wanted for ask in table.asks.values() if not ask.overdue)


def may_have_answer(table: quotas.AccountTokens, now_ms: int) -> bool:
    """Return whether an answer may be here that a late loop has not read yet."""
    return any(
        ask.postponed and not ask.overdue and now_ms < ask.answer_by_ms
        for ask in table.asks.values()
    )


def ask_owner(
    gateway: gateway_state.Gateway,
    account: accounts.Account,
    table: quotas.AccountTokens,
    now_ms: int,
) -> list[commands.Command]:
    """Ask an owner for the waiting requests that no token request covers yet."""
    served = list(table.waiting.values())
    if is_pressed(table, now_ms):
        served = [one for one in served if not _has_waited(one, now_ms)]
    open_count = len(served) - in_flight(table)
    if open_count <= 0:
        return []
    owner = _next_owner(gateway, account, table, now_ms)
    if owner is None:
        return []
    per_window, _ = table.demand.totals(now_ms)
    ahead = per_window * AHEAD_MS // quotas.DEMAND_WINDOW_MS
    wanted = open_count + min(MAXIMUM_AHEAD, ahead)
    timeout_ms = FAR_ANSWER_TIMEOUT_MS
    if _region_of(gateway, owner) == gateway.place.region:
        timeout_ms = ANSWER_TIMEOUT_MS
    else:
        table.far_asks += 1
    number = gateway.quotas.next_number()
    table.asks[number] = quotas.Ask(owner, wanted, now_ms, now_ms + timeout_ms)
    gateway.quotas.asked_for[number] = account.name
    gateway.counters.add("quota_requests_sent_total")
    message = peer_messages.TokenRequest(number, account.name, wanted)
    return [commands.SendToPeers(message, (gateway.members[owner].address,))]


def _has_waited(waiting: quotas.WaitingRequest, now_ms: int) -> bool:
    return now_ms - waiting.request.arrived_ms >= PRESSED_WAIT_MS


def is_pressed(table: quotas.AccountTokens, now_ms: int) -> bool:
    """Return whether an account is known to be far over its quota."""
    return now_ms < table.pressed_until_ms


def uncovered(table: quotas.AccountTokens, now_ms: int) -> list[int]:
    """Return the keys of the waiting requests that no answer can serve any more.

    Of an account far over its quota, requests that have waited long are not asked for
    again, but late answers are awaited: their tokens would lapse unused.
    """
    if not is_pressed(table, now_ms):
        return [] if in_flight(table) else list(table.waiting)
    # What was asked for ahead of requests is rarely granted.
    awaited = len(table.asks)
    oldest = list(table.waiting.items())[: max(0, len(table.waiting) - awaited)]
    return [key for key, one in oldest if not awaited or _has_waited(one, now_ms)]


def accept_grant(
    gateway: gateway_state.Gateway, message: peer_messages.TokenGrant, now_ms: int
) -> str | None:
    """Add the tokens of a grant; return its account, None if it was not asked for.

    A grant counts once, and never as more than was asked for.
    """
    name = gateway.quotas.asked_for.pop(message.number, None)
    table = gateway.quotas.accounts.get(name) if name is not None else None
    if table is None:
        return None
    ask = table.asks.pop(message.number)
    gateway.quotas.silent_until_ms.pop(ask.owner, None)
    granted = max(0, min(message.granted, ask.wanted))
    table.held.extend([ask.asked_ms] * granted)
    if message.retry_after_ms > 0:
        denial_ms = min(message.retry_after_ms, LONGEST_DENIAL_MS)
        _note_denial(gateway, name, table, ask.owner, denial_ms, now_ms)
    else:
        table.empty_until_ms.pop(ask.owner, None)
    return name


def _note_denial(
    gateway: gateway_state.Gateway,
    name: str,
    table: quotas.AccountTokens,
    owner: str,
    denial_ms: int,
    now_ms: int,
) -> None:
    """Remember until when an owner has no token, and whether others wait for them."""
    account = quota_owners.limited_account(gateway, name)
    if account is not None:
        token_ms = quota_owners.token_ms(gateway, account)
        if denial_ms > PRESSED_TOKENS * token_ms + 1:
            member = gateway.members.get(owner)
            if member is None or _region_of(gateway, owner) != gateway.place.region:
                table.pressed_until_ms = now_ms + denial_ms
            denial_ms = min(denial_ms, int(PRESSED_MEMORY_TOKENS * token_ms) + 1)
    table.empty_until_ms[owner] = now_ms + denial_ms


def note_silent_owners(
    gateway: gateway_state.Gateway,
    name: str,
    table: quotas.AccountTokens,
    now_ms: int,
) -> list[commands.Command]:
    """Mark token requests that are overdue, so that other owners are asked first."""
    decided: list[commands.Command] = []
    for number, ask in list(table.asks.items()):
        if ask.overdue or now_ms < ask.answer_by_ms:
            continue
        if now_ms > ask.answer_by_ms + LATE_LOOP_MS and not ask.postponed:
            table.asks[number] = ask._replace(
                answer_by_ms=now_ms + READING_MS, postponed=True
            )
            continue
        table.asks[number] = ask._replace(overdue=True)
        gateway.counters.add("quota_requests_unanswered_total")
        silent = gateway.quotas.silent_until_ms
        if silent.get(ask.owner, 0) <= now_ms:
            decided.append(
                common.log(
                    log_events.QUOTA_OWNER_SILENT,
                    owner=ask.owner,
                    account=name,
                    waited_ms=now_ms - ask.asked_ms,
                )
            )
        silent[ask.owner] = now_ms + SILENCE_MS
    return decided


def drop_lapsed(
    gateway: gateway_state.Gateway,
    account: accounts.Account,
    table: quotas.AccountTokens,
    now_ms: int,
) -> None:
    """Drop the tokens, and the token requests, whose validity has ended."""
    valid_ms = validity_ms(gateway.limits, account)
    while table.held and now_ms >= table.held[0] + valid_ms:
        table.held.popleft()
        gateway.counters.add("quota_tokens_lapsed_total")
    forget_asks(gateway, table, now_ms - valid_ms)


def forget_asks(
    gateway: gateway_state.Gateway, table: quotas.AccountTokens, sent_by_ms: int
) -> None:
    """Forget the token requests that were sent by a time; their grants are late."""
    for number, ask in list(table.asks.items()):
        if ask.asked_ms <= sent_by_ms:
            del table.asks[number]
            gateway.quotas.asked_for.pop(number, None)


def next_token_ms(
    gateway: gateway_state.Gateway,
    account: accounts.Account,
    table: quotas.AccountTokens,
    now_ms: int,
) -> int:
    """Return the time until an owner has a token again, as far as they have told."""
    told_ms = [
        table.empty_until_ms[owner] - now_ms
        for owner in quota_owners.owners_of(gateway, account)
        if table.empty_until_ms.get(owner, 0) > now_ms
    ]
    return max(1, min(told_ms, default=UNKNOWN_RETURN_MS))


def return_ms(
    table: quotas.AccountTokens, next_ms: int, left_ms: int, key: int, now_ms: int
) -> float:
    """Return after which time a refused client can expect a token.

    Clients of an account far over its quota would be refused again after the time of
    the next token, so their returns are spread over the time that owners told for
    those that were denied lately, as far as the clients honour it.

    Parameters
    ----------
    next_ms : int
        Time until the next token.
    left_ms : int
        Time that the client has left.
    key : int
        Number of the request; successive numbers are spread.
    """
    if not is_pressed(table, now_ms):
        return next_ms
    honoured_ms = admission.longest_return_ms(left_ms)
    shortest_ms = float(next_ms)
    longest_ms = min(table.pressed_until_ms - now_ms, honoured_ms)
    if next_ms >= honoured_ms:
        shortest_ms, longest_ms = SHORTEST_SHARE * honoured_ms, honoured_ms
    spread_ms = max(0.0, longest_ms - shortest_ms)
    return shortest_ms + admission.spread(key) * spread_ms


def _next_owner(
    gateway: gateway_state.Gateway,
    account: accounts.Account,
    table: quotas.AccountTokens,
    now_ms: int,
) -> str | None:
    """Return the owner to ask: of the own region first, silent ones last."""
    asked = {ask.owner for ask in table.asks.values() if not ask.overdue}
    silent = gateway.quotas.silent_until_ms
    owners = quota_owners.owners_of(gateway, account)
    open_owners = [
        owner
        for owner in owners
        if owner != gateway.place.name
        and owner not in asked
        and table.empty_until_ms.get(owner, 0) <= now_ms
    ]
    return min(
        open_owners,
        key=lambda owner: (
            silent.get(owner, 0) > now_ms,
            _region_of(gateway, owner) != gateway.place.region,
            (owners.index(owner) + table.far_asks) % len(owners),
        ),
        default=None,
    )


def _region_of(gateway: gateway_state.Gateway, daemon: str) -> str:
    domain = gateway.members[daemon].failure_domain
    return gateway.place.regions.get(domain, "")
