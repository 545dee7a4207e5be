"""Decoding and encoding of the items about roll-outs in the platform's store."""

import base64
from typing import Annotated, Any, Final, TypedDict

import msgspec

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.rollouts import rollout_events
from amaranthpulley.platform import names
from amaranthpulley.protocol import errors, json_codec
from amaranthpulley.state import store
from amaranthpulley.state.forwarding import rollouts

LONGEST_ORDER_S: Final = 604_800
_MS_PER_S: Final = 1_000


class _Order(TypedDict):
    """An operator's order."""

    Service: str
    TargetVersion: str
    DurationS: Annotated[float, msgspec.Meta(gt=0, le=LONGEST_ORDER_S)]


class _Status(TypedDict):
    """What operators read of a roll-out."""

    State: str
    TargetVersion: str


# The words for operators; they need not know how a version is tried out.
_STATES: Final = {
    rollouts.Phase.GROWING: "running",
    rollouts.Phase.MOVING: "running",
    rollouts.Phase.COMPLETED: "completed",
    rollouts.Phase.REVERTED: "reverted",
}


def decode(change: store.Change) -> events.Event | None:
    """Return the event of a change; None when it is not about a roll-out.

    Raises
    ------
    MalformedMessageError
        When the value is not valid; names the path of the fault.
    """
    key, value, revision = change.key, change.value, change.revision
    if key.startswith(names.ROLLOUT_ORDER_PREFIX):
        service = key.removeprefix(names.ROLLOUT_ORDER_PREFIX)
        order = None if value is None else _order(service, value)
        return rollout_events.RolloutOrdered(service, order, revision)
    if key.startswith(names.ROLLOUT_STEP_PREFIX):
        service = key.removeprefix(names.ROLLOUT_STEP_PREFIX)
        step = None if value is None else json_codec.decode(value, rollouts.Step)
        return rollout_events.RolloutStepRead(service, step, revision)
    if key.startswith(names.ROLLOUT_STATUS_PREFIX):
        service = key.removeprefix(names.ROLLOUT_STATUS_PREFIX)
        return rollout_events.RolloutStatusRead(
            service, 0 if value is None else revision
        )
    return None


def keys_of(service: str) -> tuple[str, str, str]:
    """Return the keys of a service's order, step and status."""
    return (
        names.ROLLOUT_ORDER_PREFIX + service,
        names.ROLLOUT_STEP_PREFIX + service,
        names.ROLLOUT_STATUS_PREFIX + service,
    )


def encode(command: commands.WriteRolloutStep) -> dict[str, Any]:
    """Return the transaction that writes a step and the status.

    The order is among the conditions, so that a step is only written for the order that
    it is about.
    """
    step = command.step
    order_key, step_key, status_key = keys_of(command.service)
    status = _Status(State=_STATES[step.phase], TargetVersion=step.target)
    expected = {
        order_key: command.order,
        step_key: command.previous,
        status_key: command.status,
    }
    written = {step_key: step, status_key: status}
    return {
        "Expect": [{"Key": key, "Revision": expected[key]} for key in expected],
        "Puts": [
            {"Key": key, "Value": _text_of(value)} for key, value in written.items()
        ],
        "Deletes": [],
    }


def _text_of(value: object) -> str:
    return base64.b64encode(json_codec.encode(value)).decode()


def _order(service: str, value: bytes) -> rollouts.Order:
    raw = json_codec.decode(value, _Order)
    if raw["Service"] != service:
        raise errors.MalformedMessageError(f"Service: {raw['Service'][:50]!r}")
    return rollouts.Order(raw["TargetVersion"], int(_MS_PER_S * raw["DurationS"]))
