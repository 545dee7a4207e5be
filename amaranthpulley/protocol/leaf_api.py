"""The JSON messages between a daemon and the targets."""

from typing import Final, NotRequired, TypedDict

from amaranthpulley.coordination import commands, events
from amaranthpulley.protocol import errors, json_codec
from amaranthpulley.state import requests, targets
from amaranthpulley.state.searches import keyspace, searches


class SearchBody(TypedDict):
    """Body of ``POST /search``; without `version` the leaf searches its newest one."""

    attempt_id: str
    request_id: str
    query: str
    key: NotRequired[str]
    version: NotRequired[int]
    deadline_ms: int


class OrderBody(TypedDict):
    """Body of ``POST /order``."""

    attempt_id: str
    request_id: str
    idempotency_key: str
    payload: str
    deadline_ms: int


class CancelBody(TypedDict):
    """Body of ``POST /cancel``."""

    attempt_id: str


class LoadBody(TypedDict):
    """A target's load report, which is part of each of its answers."""

    boot_id: str
    busy_slots: int
    versions: list[int]


class SearchAnswerBody(TypedDict):
    """Answer of a leaf: ranges ``[start, end)`` and rows ``[position, key, value]``."""

    attempt_id: str
    version: int
    ranges: list[tuple[int, int]]
    rows: list[tuple[int, str, str]]
    load: LoadBody


class OrderAnswerBody(TypedDict):
    """Answer of a target that ran an order."""

    attempt_id: str
    result: str
    load: LoadBody


class RefusalBody(TypedDict):
    """Answer of a target without a result.

    ``"shed"`` and ``"version_gone"`` mean that nothing ran; after ``"cancelled"`` the
    request may have run in part.
    """

    attempt_id: str
    code: str
    load: LoadBody


_FAILURES: Final = {
    failure.value: failure
    for failure in (events.Failure.VERSION_GONE, events.Failure.CANCELLED)
}


def encode_call(command: commands.SendAttempt) -> bytes:
    """Return the request body of an attempt."""
    call = command.call
    if isinstance(call, commands.OrderCall):
        return json_codec.encode(
            OrderBody(
                attempt_id=command.attempt_id,
                request_id=command.request_id,
                idempotency_key=call.idempotency_key,
                payload=call.payload,
                deadline_ms=call.deadline_ms,
            )
        )
    body = SearchBody(
        attempt_id=command.attempt_id,
        request_id=command.request_id,
        query=call.query,
        deadline_ms=command.timeout_ms,
    )
    if call.key is not None:
        body["key"] = call.key
    if call.version is not None:
        body["version"] = call.version
    return json_codec.encode(body)


def decode_search_answer(body: bytes) -> tuple[str, searches.SearchPart, LoadBody]:
    """Return the attempt, the part and the load of a leaf's answer."""
    message = json_codec.decode(body, SearchAnswerBody)
    part = searches.SearchPart(
        message["version"],
        tuple(
            _key_range_of(pair, index) for index, pair in enumerate(message["ranges"])
        ),
        tuple(requests.Row(*row) for row in message["rows"]),
    )
    return message["attempt_id"], part, message["load"]


def decode_order_answer(body: bytes) -> tuple[str, events.OrderReceipt, LoadBody]:
    """Return the attempt, the receipt and the load of a target's answer."""
    message = json_codec.decode(body, OrderAnswerBody)
    return (
        message["attempt_id"],
        events.OrderReceipt(message["result"]),
        message["load"],
    )


def decode_refusal(body: bytes) -> tuple[str, events.Failure, LoadBody]:
    """Return the attempt, the failure and the load of a target's refusal."""
    message = json_codec.decode(body, RefusalBody)
    failure = _FAILURES.get(message["code"], events.Failure.REFUSED)
    return message["attempt_id"], failure, message["load"]


def load_of(body: LoadBody) -> targets.TargetLoad:
    """Return the decoded form of a target's load report."""
    return targets.TargetLoad(
        body["boot_id"], body["busy_slots"], tuple(sorted(body["versions"]))
    )


def encode_cancel(attempt_id: str) -> bytes:
    """Return the request body that cancels an attempt."""
    return json_codec.encode(CancelBody(attempt_id=attempt_id))


def _key_range_of(pair: tuple[int, int], index: int) -> keyspace.KeyRange:
    start, end = pair
    if not 0 <= start < end <= keyspace.KEY_SPACE_SIZE:
        raise errors.MalformedMessageError(
            f"`$.ranges[{index}]` [{start}, {end}) is no range of the key space"
        )
    return keyspace.KeyRange(start, end)
