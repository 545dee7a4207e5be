"""Entry point of all decisions about forwarded requests."""

from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination import errors
from amaranthpulley.coordination.forwarding import (
    cluster_updates,
    commands,
    crash_attribution,
    delegation,
    events,
    leaf_selection,
    request_arrival,
    request_progress,
    slowness_reports,
)
from amaranthpulley.coordination.forwarding.client_accounts import (
    quota_claims,
    quota_owners,
    quota_waits,
)
from amaranthpulley.coordination.forwarding.rollouts import (
    evidence,
    progress,
    rollout_events,
)
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import peer_messages

Handler = Callable[
    [gateway_state.Gateway, events.Event, int, leaf_selection.RandomSource],
    list[commands.Command],
]

# Handlers of `PeerMessageReceived`, by the type of its message.
_MESSAGE_HANDLERS: Final[dict[type, Handler]] = {
    peer_messages.RolloutEvidence: evidence.handle_message,
    peer_messages.TokenRequest: quota_owners.handle_token_request,
    peer_messages.TokenGrant: quota_waits.handle_grant,
    peer_messages.MembershipQuery: quota_claims.handle_query,
    peer_messages.MembershipConfirmation: quota_claims.handle_confirmation,
}


def _handle_peer_message(
    gateway: gateway_state.Gateway,
    event: events.PeerMessageReceived,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Handle a message of another daemon; one that no handler takes is dropped."""
    handler = _MESSAGE_HANDLERS.get(type(event.message))
    return [] if handler is None else handler(gateway, event, now_ms, random)


_HANDLERS: Final[dict[type, Handler]] = {
    events.RequestArrived: request_arrival.receive,
    events.ClientLeft: request_progress.handle_client_left,
    events.AttemptAnswered: request_progress.handle_answer,
    events.AttemptOpening: request_progress.handle_opening,
    events.AttemptSent: request_progress.handle_sent,
    events.AttemptFailed: request_progress.handle_failure,
    events.WakeDue: request_progress.handle_wake,
    events.ConfigurationRead: cluster_updates.apply_configuration,
    events.LeafWritten: cluster_updates.update_leaf,
    events.LeafDeleted: cluster_updates.mark_leaf_deleted,
    events.ItemUnreadable: cluster_updates.report_unreadable_item,
    events.DirectoryListed: cluster_updates.handle_listing,
    events.EvacuationChanged: cluster_updates.update_evacuation,
    events.MemberChanged: cluster_updates.update_member,
    events.StoreReached: cluster_updates.log_store_state,
    events.StoreRestored: cluster_updates.log_restored_store,
    events.StoreReadFailed: cluster_updates.log_failed_read,
    events.Registered: cluster_updates.record_registration,
    events.ProbeEnded: cluster_updates.handle_probe_end,
    events.SlownessReported: slowness_reports.handle_report,
    events.PeerMessageReceived: _handle_peer_message,
    events.LossPublished: crash_attribution.handle_published,
    events.LossTold: crash_attribution.handle_told,
    events.LossWithdrawn: crash_attribution.handle_withdrawn,
    events.LossWriteFailed: cluster_updates.log_failed_loss_write,
    events.DelegateHeard: delegation.handle_sign_of_life,
    events.DelegateAnswered: delegation.handle_answer,
    events.DelegateFailed: delegation.handle_failure,
    rollout_events.RolloutOrdered: progress.handle_order,
    rollout_events.RolloutStepRead: progress.handle_step,
    rollout_events.RolloutStatusRead: progress.handle_status,
    rollout_events.RolloutWriteEnded: progress.handle_write_end,
    events.TickDue: cluster_updates.tick,
    events.DrainRequested: cluster_updates.start_drain,
}


def step(
    gateway: gateway_state.Gateway,
    event: events.Event,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Handle an event and return the commands that follow from it.

    Parameters
    ----------
    gateway : Gateway
        The daemon's tables; changed in place.
    event : Event
        The event to handle.
    now_ms : int
        Reading of the daemon's monotonic clock, in milliseconds.
    random : callable
        Returns uniformly distributed numbers from ``[0.0, 1.0)``.

    Returns
    -------
    list of Command
        Commands to carry out in this order.

    Raises
    ------
    UnknownEventError
        When no handler is registered for the event's type.
    """
    handler = _HANDLERS.get(type(event))
    if handler is None:
        raise errors.UnknownEventError(f"no handler for {type(event).__name__}")
    return handler(gateway, event, now_ms, random)
