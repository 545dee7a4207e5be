"""Sends a request to the leaves: one attempt to the best leaf of each shard."""

from collections.abc import Sequence

from amaranthpulley.coordination.forwarding import (
    attempt_dispatch,
    commands,
    crash_attribution,
    leaf_selection,
    request_completion,
)
from amaranthpulley.coordination.forwarding.overload import waiting
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests


def start(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    services: Sequence[str],
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send the first attempts of a request.

    If leaves may have run it on behalf of a delegate, they are repeats.
    """
    request.calls = [requests.ShardCall(service) for service in services]
    request.open_calls = len(services)
    decided: list[commands.Command] = []
    shards = list(range(len(request.calls)))
    request.cautious = crash_attribution.starts_with_one(gateway, request, now_ms)
    if request.cautious:
        shards = attempt_dispatch.by_leaves(gateway, request, now_ms)
    for shard in shards:
        call = request.calls[shard]
        if request.ran_elsewhere:
            call.sends = call.runs_elsewhere = 1
        else:
            gateway.window_of(call.service).add_request(now_ms)
        # Some holds end without an event: more urgent calls may wait for this room.
        decided += waiting.send_before(gateway, request, call, now_ms, random)
        decided += attempt_dispatch.retry(gateway, request, shard, now_ms, random)
    return decided + request_completion.answer_if_due(gateway, request, now_ms)
