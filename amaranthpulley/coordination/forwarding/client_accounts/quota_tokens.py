"""Spends the tokens of client accounts' quotas, and asks their owners for more.

A request that needs a token takes one that this daemon holds, or one of its own part,
or waits a moment for one from another owner. A daemon asks for the requests that wait
and for a few more that are likely to come. What a request does not use goes back to the
daemon's own tokens while they are valid, never to an owner.
"""

import enum
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.coordination.forwarding.client_accounts import (
    quota_asks,
    quota_owners,
)
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests
from amaranthpulley.state.forwarding.client_accounts import accounts, quotas, tokens

# A request is refused after this time without a token: longer than three owners in two
# other regions take to answer one after the other (24 ms each).
LONGEST_WAIT_MS: Final = 80
# State of an account without requests is kept for this time.
IDLE_MS: Final = 10_000
# An account that exceeds its quota is logged once in this time.
LOG_INTERVAL_MS: Final = 10_000


class Outcome(enum.Enum):
    """Whether a request has the token that it needs."""

    TAKEN = "taken"
    WAITING = "waiting"
    REFUSED = "refused"


class Taking(NamedTuple):
    """What came of a request's wish for a token.

    Attributes
    ----------
    outcome : Outcome
        With `WAITING`, the request is kept until a token comes.
    commands : list of Command
        To be executed in any case.
    retry_after_ms : int
        Time until there is a token again, for a refused request.
    """

    outcome: Outcome
    commands: list[commands.Command]
    retry_after_ms: int = 0


class Progress(NamedTuple):
    """What has become of an account's waiting requests.

    Attributes
    ----------
    resumed : list of ForwardedRequest
        Requests that have their token.
    refused : list of ForwardedRequest
        Requests that get none.
    retry_after_ms : int
        Time until there is a token again, for the refused ones.
    commands : list of Command
        To be executed before.
    """

    resumed: list[requests.ForwardedRequest]
    refused: list[requests.ForwardedRequest]
    retry_after_ms: int
    commands: list[commands.Command]


def take(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> Taking:
    """Take a token for a request, or let it wait for one."""
    account = request.account
    if account is None or account.rate_per_s <= 0 or request.incoming.origin:
        return Taking(Outcome.TAKEN, [])
    table = gateway.quotas.accounts.get(account.name)
    if table is None:
        table = gateway.quotas.accounts[account.name] = quotas.AccountTokens(now_ms)
    table.used_ms = now_ms
    table.demand.add_request(now_ms)
    if not table.waiting:
        request.token = _take_now(gateway, account, table, now_ms)
        if request.token is not None:
            return Taking(Outcome.TAKEN, [])
    key = request.incoming.key
    until_ms = min(now_ms + LONGEST_WAIT_MS, request.give_up_ms)
    gateway.quotas.add_waiting(account.name, quotas.WaitingRequest(request, until_ms))
    decided = quota_asks.ask_owner(gateway, account, table, now_ms)
    if quota_asks.in_flight(table) == 0:
        gateway.quotas.remove_waiting(key)
        lines = _refusal_lines(account, table, now_ms)
        after_ms = quota_asks.next_token_ms(gateway, account, table, now_ms)
        return Taking(Outcome.REFUSED, decided + lines, after_ms)
    decided += _wakes(table, now_ms)
    if key != next(iter(table.waiting)):
        decided.append(commands.WakeAt(key, until_ms))
    return Taking(Outcome.WAITING, decided)


def may_send(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> bool:
    """Return whether a request may be sent to a leaf by its account's quota.

    The token of a request that waited long for a leaf lapses, and it needs another.
    Once a leaf may have got the request, it may be sent again.
    """
    account, token = request.account, request.token
    if account is None or token is None or _may_have_arrived(request):
        return True
    if now_ms <= token.asked_ms + quota_asks.lag_ms(gateway.limits, account):
        return True
    table = gateway.quotas.accounts.get(account.name)
    if table is None:
        table = gateway.quotas.accounts[account.name] = quotas.AccountTokens(now_ms)
    other = _take_now(gateway, account, table, now_ms)
    if other is None:
        return False
    gateway.counters.add("quota_tokens_lapsed_total")
    request.token = other
    return True


def give_back(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> None:
    """Keep the token of a request that no leaf has got for another request."""
    account, token = request.account, request.token
    if account is None or token is None or _may_have_arrived(request):
        return
    request.token = None
    table = gateway.quotas.accounts.get(account.name)
    if table is not None and _is_valid(gateway, account, token.asked_ms, now_ms):
        table.held.appendleft(token.asked_ms)


def progress(gateway: gateway_state.Gateway, name: str, now_ms: int) -> Progress:
    """Give an account's tokens to its waiting requests, and ask the next owner."""
    table = gateway.quotas.accounts[name]
    decided = quota_asks.note_silent_owners(gateway, name, table, now_ms)
    resumed: list[requests.ForwardedRequest] = []
    refused: list[requests.ForwardedRequest] = []
    account = None
    for key, (request, until_ms) in list(table.waiting.items()):
        account = request.account
        request.token = _take_now(gateway, account, table, now_ms)
        if request.token is not None:
            resumed.append(request)
            waited_ms = now_ms - request.arrived_ms
            gateway.counters.add("quota_waits_total")
            gateway.counters.add("quota_wait_ms_total", waited_ms)
        elif now_ms >= until_ms and not quota_asks.may_have_answer(table, now_ms):
            refused.append(request)
        else:
            continue
        gateway.quotas.remove_waiting(key)
    if account is None:
        return Progress([], [], 0, decided)
    if table.waiting:
        decided += quota_asks.ask_owner(gateway, account, table, now_ms)
    for key in quota_asks.uncovered(table, now_ms):
        refused.append(table.waiting[key].request)
        gateway.quotas.remove_waiting(key)
    decided += _wakes(table, now_ms)
    if refused:
        decided += _refusal_lines(account, table, now_ms)
    after_ms = quota_asks.next_token_ms(gateway, account, table, now_ms)
    return Progress(resumed, refused, after_ms, decided)


def forget_idle(gateway: gateway_state.Gateway, now_ms: int) -> None:
    """Drop the state of accounts without requests, and owners that are gone."""
    for name, table in list(gateway.quotas.accounts.items()):
        if now_ms - table.used_ms < IDLE_MS or table.waiting:
            continue
        quota_asks.forget_asks(gateway, table, now_ms)
        gateway.counters.add("quota_tokens_lapsed_total", len(table.held))
        del gateway.quotas.accounts[name]
    silent = gateway.quotas.silent_until_ms
    for owner in [owner for owner, until_ms in silent.items() if until_ms <= now_ms]:
        del silent[owner]


def _is_valid(
    gateway: gateway_state.Gateway,
    account: accounts.Account,
    asked_ms: int,
    now_ms: int,
) -> bool:
    return now_ms < asked_ms + quota_asks.validity_ms(gateway.limits, account)


def _take_now(
    gateway: gateway_state.Gateway,
    account: accounts.Account,
    table: quotas.AccountTokens,
    now_ms: int,
) -> tokens.Token | None:
    """Take a token that this daemon holds, or one of its own part as an owner."""
    quota_asks.drop_lapsed(gateway, account, table, now_ms)
    if table.held:
        return tokens.Token(account.name, table.held.popleft())
    limited = quota_owners.limited_account(gateway, account.name)
    if limited is None:
        return _without_quota(gateway, account, now_ms)
    granted, retry_after_ms = quota_owners.take_own(gateway, limited, 1, now_ms)
    if granted:
        gateway.counters.add("quota_tokens_granted_total")
        return tokens.Token(account.name, now_ms)
    table.empty_until_ms[gateway.place.name] = now_ms + retry_after_ms
    return None


def _without_quota(
    gateway: gateway_state.Gateway, account: accounts.Account, now_ms: int
) -> tokens.Token | None:
    """Return a token if the version in force has the account without a quota."""
    configuration = gateway.configuration
    if configuration is None or configuration.accounts is None:
        return tokens.Token(account.name, now_ms)
    known = account.name in configuration.accounts.by_name
    return tokens.Token(account.name, now_ms) if known else None


def _may_have_arrived(request: requests.ForwardedRequest) -> bool:
    """Return whether a leaf or a delegate may have got a request."""
    if request.tried_delegates or request.ran_elsewhere:
        return True
    return any(call.sends for call in request.calls)


def _wakes(table: quotas.AccountTokens, now_ms: int) -> list[commands.Command]:
    """Wake up for the oldest waiting request when its owner's answer is overdue."""
    if not table.waiting:
        return []
    key, waiting = next(iter(table.waiting.items()))
    due_ms = [ask.answer_by_ms for ask in table.asks.values() if not ask.overdue]
    if waiting.until_ms > now_ms or not due_ms:
        due_ms.append(waiting.until_ms)
    return [commands.WakeAt(key, max(now_ms, min(due_ms)))]


def _refusal_lines(
    account: accounts.Account, table: quotas.AccountTokens, now_ms: int
) -> list[commands.Command]:
    if now_ms < table.next_log_ms:
        return []
    table.next_log_ms = now_ms + LOG_INTERVAL_MS
    return [
        common.log(
            log_events.ACCOUNT_OVER_QUOTA,
            account=account.name,
            rate_per_s=account.rate_per_s,
            burst=account.burst,
        )
    ]
