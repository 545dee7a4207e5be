"""Handles arriving requests: finds their route and sends their first attempts."""

import math
from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    crash_attribution,
    delegation,
    events,
    fan_out,
    leaf_selection,
    request_completion,
    tracing,
)
from amaranthpulley.coordination.forwarding.client_accounts import (
    authentication,
    quota_asks,
    quota_tokens,
)
from amaranthpulley.coordination.forwarding.overload import admission, fair_queue
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests, routes
from amaranthpulley.state.forwarding.client_accounts import accounts

# Subtracted from the client's deadline, so that the answer reaches it in time.
DEADLINE_MARGIN_MS: Final = 20
# A daemon has the configuration within this time of its start, if the store answers.
START_MS: Final = 200
# Assumed for clients that do not say how long they wait.
DEFAULT_DEADLINE_MS: Final = 1_000


def receive(
    gateway: gateway_state.Gateway,
    event: events.RequestArrived,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Accept a request and send its first attempts, or refuse it."""
    incoming = event.request
    configuration = gateway.configuration
    if configuration is None or not gateway.listed:
        return _refuse_until_configured(gateway, incoming, now_ms)
    reason = delegation.refusal_of(gateway, incoming.origin)
    if reason is not None:
        return _refuse(gateway, incoming, reason, 0, now_ms)
    route = routes.find_route(configuration, incoming.host, incoming.path)
    if route is None:
        return _refuse(gateway, incoming, commands.Refusal.NO_ROUTE, 0, now_ms)
    account = authentication.identify(configuration, route, incoming)
    if isinstance(account, commands.Refusal):
        authentication.count_refused(gateway, incoming)
        return _refuse(gateway, incoming, account, 0, now_ms)
    if crash_attribution.refuses(gateway, incoming) and not (
        crash_attribution.begin_trial(gateway, incoming, now_ms)
    ):
        return _refuse(gateway, incoming, commands.Refusal.CRASHES_LEAVES, 0, now_ms)
    request = _create_request(gateway, incoming, route, account, now_ms)
    if route.shards and incoming.origin is None:
        gateway.own_searches.add_request(now_ms)
    taking = quota_tokens.take(gateway, request, now_ms)
    if taking.outcome is quota_tokens.Outcome.TAKEN:
        return taking.commands + resume(gateway, request, now_ms, random)
    if taking.outcome is quota_tokens.Outcome.WAITING:
        return taking.commands
    after_ms = taking.retry_after_ms
    return taking.commands + refuse_over_quota(gateway, request, after_ms, now_ms)


def resume(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send the first attempts of a request that its account's quota allows."""
    incoming = request.incoming
    refusal = _apply_version(gateway, request)
    if refusal is not None:
        quota_tokens.give_back(gateway, request, now_ms)
        return _refuse(gateway, incoming, refusal, 0, now_ms)
    route = request.route
    if gateway.drain_end_ms is not None:
        # The drain may have started while it waited for a token.
        request.give_up_ms = min(request.give_up_ms, gateway.drain_end_ms)
    handed_over = delegation.hand_over(gateway, request, now_ms)
    if handed_over:
        gateway.requests[incoming.key] = request
        return handed_over
    services = route.shards or (_next_service(gateway, route, random),)
    refused = _admit(gateway, request, services, now_ms)
    if refused:
        quota_tokens.give_back(gateway, request, now_ms)
        return refused
    return _start(gateway, request, services, now_ms, random)


def _apply_version(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest
) -> commands.Refusal | None:
    """Apply a version that came into force while a request waited for its token.

    Returns why the request is refused, if its key is no longer valid.
    """
    configuration = gateway.configuration
    if configuration is None or configuration.version == request.version:
        return None
    if configuration.accounts is None:
        return None
    account = authentication.identify(
        configuration, request.own_route, request.incoming
    )
    if isinstance(account, commands.Refusal):
        return account
    request.set_account(account, authentication.leaf_name(account))
    return None


def refuse_over_quota(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    retry_after_ms: int,
    now_ms: int,
) -> list[commands.Command]:
    """Refuse a request for which its account's quota has no token."""
    incoming = request.incoming
    left_ms = max(1, request.give_up_ms - now_ms)
    room_ms: float = retry_after_ms
    table = gateway.quotas.accounts.get(request.account.name)
    if table is not None:
        room_ms = quota_asks.return_ms(
            table, retry_after_ms, left_ms, incoming.key, now_ms
        )
    after_ms = admission.return_after_ms(0, room_ms, left_ms, incoming.key)
    return _refuse(gateway, incoming, commands.Refusal.OVER_QUOTA, after_ms, now_ms)


def _admit(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    services: tuple[str, ...],
    now_ms: int,
) -> list[commands.Command]:
    """Return the refusal of a request that cannot be served; empty if it can."""
    route, incoming = request.route, request.incoming
    left_ms = request.give_up_ms - now_ms
    if route.regions is routes.NO_REGIONS:
        # Only another version changes this, so that a repeat is of no use.
        reason, room_ms = commands.Refusal.NO_REGION, float(admission.LONGEST_RETURN_MS)
    elif not admission.has_enough_leaves(gateway, route, services, left_ms, now_ms):
        has_any = admission.has_enough_leaves(
            gateway, route, services, math.inf, now_ms
        )
        reason = commands.Refusal.OVERLOADED if has_any else commands.Refusal.NO_LEAF
        room_ms = admission.next_leaf_ms(gateway, route, services, now_ms)
    else:
        reason = commands.Refusal.OVERLOADED
        room_ms = _wait_ms(gateway, request, services, now_ms)
        spare_ms = 0.0
        if gateway.drain_end_ms is not None and not route.idempotent:
            # An answer that does not come before the end leaves the outcome unknown.
            spare_ms = leaf_selection.slow_answer_ms(gateway, route)
        if room_ms + spare_ms <= left_ms:
            return []
    after_ms = admission.return_after_ms(route.priority, room_ms, left_ms, incoming.key)
    return _refuse(gateway, incoming, reason, after_ms, now_ms)


def _start(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    services: tuple[str, ...],
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    gateway.requests[request.incoming.key] = request
    if admission.must_defer(gateway, request, services, now_ms):
        request.deferred = True
        gateway.counters.add("forward_deferred_total")
    return fan_out.start(gateway, request, services, now_ms, random)


def _wait_ms(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    services: tuple[str, ...],
    now_ms: int,
) -> float:
    """Return the time until a new request would be answered."""
    account = fair_queue.account_of(request)
    if request.route.shards:
        return admission.gathered_answer_ms(
            gateway, request.route, services, now_ms, account
        )
    return admission.expected_answer_ms(
        gateway, request.route, services[0], now_ms, account
    )


def _create_request(
    gateway: gateway_state.Gateway,
    incoming: requests.IncomingRequest,
    route: routes.Route,
    account: accounts.Account | None,
    now_ms: int,
) -> requests.ForwardedRequest:
    origin = incoming.origin
    elapsed_ms = origin.elapsed_ms if origin is not None else 0
    wait_ms = route.timeout_ms - elapsed_ms
    if incoming.deadline_ms is not None:
        wait_ms = min(wait_ms, incoming.deadline_ms - DEADLINE_MARGIN_MS)
    if gateway.drain_end_ms is not None:
        wait_ms = min(wait_ms, gateway.drain_end_ms - now_ms)
    configuration = gateway.configuration
    version = configuration.version if configuration is not None else 0
    request = requests.ForwardedRequest(
        incoming, route, version, now_ms - elapsed_ms, now_ms + max(1, wait_ms)
    )
    if configuration is not None and configuration.accounts is not None:
        request.set_account(account, authentication.leaf_name(account))
    return request


def _next_service(
    gateway: gateway_state.Gateway,
    route: routes.Route,
    random: leaf_selection.RandomSource,
) -> str:
    """Select a service of the route by smooth weighted round robin."""
    if len(route.services) == 1:
        return route.services[0].name
    total = sum(service.weight for service in route.services)
    turns = gateway.turns.get(route.name)
    if turns is None or set(turns) != {service.name for service in route.services}:
        turns = {s.name: random() * s.weight for s in route.services}
        gateway.turns[route.name] = turns
    for service in route.services:
        turns[service.name] += service.weight
    name = max(turns, key=lambda candidate: turns[candidate])
    turns[name] -= total
    return name


def _refuse_until_configured(
    gateway: gateway_state.Gateway, incoming: requests.IncomingRequest, now_ms: int
) -> list[commands.Command]:
    left_ms = incoming.deadline_ms or DEFAULT_DEADLINE_MS
    # While the store is away, the wait lasts about as long again as it has so far.
    room_ms = max(START_MS, now_ms - gateway.started_ms)
    after_ms = admission.return_after_ms(0, room_ms, left_ms, incoming.key)
    reason = commands.Refusal.NO_CONFIGURATION
    return _refuse(gateway, incoming, reason, after_ms, now_ms)


def _refuse(
    gateway: gateway_state.Gateway,
    incoming: requests.IncomingRequest,
    reason: commands.Refusal,
    retry_after_ms: int,
    now_ms: int,
) -> list[commands.Command]:
    request_completion.count_outcome(gateway, incoming, reason.value)
    crash_attribution.end_trial(gateway, incoming)
    # Clients without a valid key may come in any number, and leave room in the log.
    is_unknown = reason is commands.Refusal.UNAUTHORIZED
    reserved = tracing.RESERVED_LINES if is_unknown else 0
    return [
        commands.Refuse(incoming.key, reason, True, retry_after_ms),
        *tracing.refusal_lines(gateway, incoming, reason.value, now_ms, reserved),
    ]
