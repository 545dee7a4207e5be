"""The JSON messages between callers and a daemon."""

import http
from typing import Final, Literal, NamedTuple, NotRequired, TypedDict

from amaranthpulley.protocol import errors, json_codec
from amaranthpulley.state import requests

MAXIMUM_BODY_BYTES: Final = 64 * 1024
MAXIMUM_KEY_CHARACTERS: Final = 200
MAXIMUM_NAME_CHARACTERS: Final = 100


class SearchBody(TypedDict):
    """Body of ``POST /v1/search``; with `key` it looks up this key."""

    customer: str
    service: str
    query: str
    key: NotRequired[str]
    deadline_ms: NotRequired[int]


class OrderBody(TypedDict):
    """Body of ``POST /v1/order``."""

    customer: str
    service: str
    idempotency_key: str
    payload: str
    deadline_ms: NotRequired[int]


class RowBody(TypedDict):
    """One result of a search."""

    key: str
    value: str


class SearchAnswerBody(TypedDict):
    """Answer to a search."""

    request_id: str
    rows: list[RowBody]
    version: int
    coverage: float
    attempts: int


class OrderAnswerBody(TypedDict):
    """Answer to an order."""

    request_id: str
    outcome: Literal["done", "unknown"]
    result: str
    repeated: bool


class ErrorBody(TypedDict):
    """Answer to a request that was refused.

    `not_run` is true only when it is certain that no target ran any part of it.
    """

    request_id: str
    code: str
    message: str
    not_run: bool


class Response(NamedTuple):
    """An HTTP status and its body."""

    status: http.HTTPStatus
    body: bytes


_REFUSAL_STATUS: Final = {
    requests.RefusalCode.UNKNOWN_SERVICE: http.HTTPStatus.NOT_FOUND,
    requests.RefusalCode.WRONG_KIND: http.HTTPStatus.BAD_REQUEST,
    requests.RefusalCode.DEADLINE_PASSED: http.HTTPStatus.GATEWAY_TIMEOUT,
    requests.RefusalCode.OVERLOADED: http.HTTPStatus.TOO_MANY_REQUESTS,
    requests.RefusalCode.KEY_REUSED: http.HTTPStatus.CONFLICT,
    requests.RefusalCode.CRASHES_TARGETS: http.HTTPStatus.UNPROCESSABLE_ENTITY,
}


def decode_search(body: bytes, request_id: str) -> requests.SearchRequest:
    """Return the search decoded from a request body."""
    message = json_codec.decode(body, SearchBody)
    _check_length("customer", message["customer"], MAXIMUM_NAME_CHARACTERS)
    return requests.SearchRequest(
        request_id,
        message["customer"],
        message["service"],
        message["query"],
        message.get("key"),
        message.get("deadline_ms"),
    )


def decode_order(body: bytes, request_id: str) -> requests.OrderRequest:
    """Return the order decoded from a request body."""
    message = json_codec.decode(body, OrderBody)
    _check_length("customer", message["customer"], MAXIMUM_NAME_CHARACTERS)
    _check_length("idempotency_key", message["idempotency_key"], MAXIMUM_KEY_CHARACTERS)
    return requests.OrderRequest(
        request_id,
        message["customer"],
        message["service"],
        message["idempotency_key"],
        message["payload"],
        message.get("deadline_ms"),
    )


def encode_outcome(request_id: str, outcome: requests.Outcome) -> Response:
    """Return the response to the caller for an outcome."""
    if isinstance(outcome, requests.SearchAnswer):
        return Response(http.HTTPStatus.OK, _encode_search(request_id, outcome))
    if isinstance(outcome, requests.OrderDone):
        body = OrderAnswerBody(
            request_id=request_id,
            outcome="done",
            result=outcome.result,
            repeated=outcome.repeated,
        )
        return Response(http.HTTPStatus.OK, json_codec.encode(body))
    if isinstance(outcome, requests.OrderUnknown):
        body = OrderAnswerBody(
            request_id=request_id, outcome="unknown", result="", repeated=False
        )
        return Response(http.HTTPStatus.ACCEPTED, json_codec.encode(body))
    status = _REFUSAL_STATUS.get(outcome.code, http.HTTPStatus.SERVICE_UNAVAILABLE)
    return encode_error(
        status, request_id, outcome.code.value, outcome.message, outcome.not_run
    )


def encode_error(
    status: http.HTTPStatus,
    request_id: str,
    code: str,
    message: str,
    not_run: bool = True,
) -> Response:
    """Return the response to a request that was refused."""
    body = ErrorBody(request_id=request_id, code=code, message=message, not_run=not_run)
    return Response(status, json_codec.encode(body))


def _encode_search(request_id: str, outcome: requests.SearchAnswer) -> bytes:
    body = SearchAnswerBody(
        request_id=request_id,
        rows=[RowBody(key=row.key, value=row.value) for row in outcome.rows],
        version=outcome.version,
        coverage=outcome.coverage,
        attempts=outcome.attempts,
    )
    return json_codec.encode(body)


def _check_length(name: str, text: str, maximum: int) -> None:
    if not 1 <= len(text) <= maximum:
        raise errors.MalformedMessageError(
            f"`$.{name}` must have 1 to {maximum} characters, not {len(text)}"
        )
