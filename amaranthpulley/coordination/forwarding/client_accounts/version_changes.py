"""Applies the client accounts of a new version to the requests in progress.

A request whose key has been withdrawn gets no further sends. It is refused if no leaf
may have run it, and else goes on to the answers that it has or waits for.
"""

from typing import Final

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import (
    attempt_dispatch,
    commands,
    request_completion,
    tracing,
)
from amaranthpulley.coordination.forwarding.client_accounts import authentication
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests, routes
from amaranthpulley.state.forwarding.client_accounts import accounts

# A delegate knows the account of a request but not its key. It may go on with a request
# whose key was withdrawn for this share of the time within which a version must be in
# force; the rest is for the version's way to this daemon. Most are answered sooner.
DELEGATED_SHARE: Final = 0.2
# Pairs of accounts for which a line about shared keys is logged.
MAXIMUM_SHARED_LINES: Final = 20


def apply(
    gateway: gateway_state.Gateway, configuration: routes.Configuration, now_ms: int
) -> list[commands.Command]:
    """Apply the accounts of a version that has just come into force."""
    table = configuration.accounts
    if table is None:
        return []
    decided: list[commands.Command] = []
    withdrawn = 0
    for request in list(gateway.requests.values()):
        if request.answered or request.withdrawn:
            continue
        account = authentication.identify(
            configuration, request.own_route, request.incoming
        )
        if not isinstance(account, commands.Refusal):
            request.set_account(account, authentication.leaf_name(account))
            continue
        withdrawn += 1
        decided += _withdraw(gateway, request, now_ms)
    return [*_lines(table, configuration.version, withdrawn), *decided]


def _withdraw(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> list[commands.Command]:
    """End a request that no leaf may have run, and stop the sends of any other."""
    request.withdrawn = True
    if request.leaf_account is None:
        # It came before there were accounts, with headers that leaves may not get.
        request.set_account(None, "")
    unanswered = [call.service for call in request.calls if call.answer is None]
    for service in unanswered or [""]:
        tracing.record_decision(request, now_ms, "withdrawn", service, "")
    gateway.counters.add("forward_unauthorized_total", cause="withdrawn")
    if request_completion.is_not_run(request):
        return request_completion.end_unknown(gateway, request, now_ms)
    if request.delegation is not None:
        allowed_ms = int(DELEGATED_SHARE * gateway.limits.configuration_ms)
        request.give_up_ms = min(request.give_up_ms, now_ms + allowed_ms)
    cancelled = request_completion.cancel_unsent(gateway, request)
    for call in request.calls:
        attempt_dispatch.stop_waiting(gateway, call)
        call.held = call.hedge_held = False
        call.retry_due_ms = call.hedge_due_ms = None
        attempt_dispatch.close_if_idle(request, call)
    answer = request_completion.answer_if_due(gateway, request, now_ms)
    return [*cancelled, *answer]


def _lines(
    table: accounts.AccountTable, version: int, withdrawn: int
) -> list[commands.Command]:
    shared = table.shared_keys
    in_force = common.log(
        log_events.CLIENT_ACCOUNTS_IN_FORCE,
        version=version,
        accounts=len(table.by_name),
        keys=len(table.names_by_key),
        shared_keys=sum(pair.keys for pair in shared),
        withdrawn=withdrawn,
    )
    warnings = [
        common.log(log_events.CLIENT_KEYS_SHARED, version=version, **pair._asdict())
        for pair in shared[:MAXIMUM_SHARED_LINES]
    ]
    return [in_force, *warnings]
