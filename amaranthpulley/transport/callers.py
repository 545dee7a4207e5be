"""HTTP handlers of the callers' port: searches, orders and readiness."""

import http
from collections.abc import Callable

from amaranthpulley.coordination import events
from amaranthpulley.protocol import caller_api
from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import requests
from amaranthpulley.state.forwarding import client_budget, client_holdings
from amaranthpulley.transport import errors, runtime, web

Decode = Callable[[bytes, str], runtime.Request]


def routes(driver: runtime.Runtime) -> dict[tuple[str, str], web.Handler]:
    """Return the handlers of the callers' port by method and path."""
    holdings = client_holdings.ClientHoldings(client_budget.budget_of())
    return {
        ("POST", "/v1/search"): _handler(
            driver, caller_api.decode_search, events.SearchReceived, holdings
        ),
        ("POST", "/v1/order"): _handler(
            driver, caller_api.decode_order, events.OrderReceived, holdings
        ),
        ("GET", "/ready"): lambda environ: readiness_reply(driver.daemon),
    }


def _handler(
    driver: runtime.Runtime,
    decode: Decode,
    event_type: type,
    holdings: client_holdings.ClientHoldings,
) -> web.Handler:
    def handle(environ: web.Environ) -> web.Reply:
        request_id = driver.daemon.next_id("request")
        try:
            body = web.read_body(environ, caller_api.MAXIMUM_BODY_BYTES, holdings)
            request = decode(body, request_id)
        except (errors.TransportError, protocol_errors.ProtocolError) as error:
            return _refuse(request_id, error)
        if driver.daemon.closed_to_callers:
            return _refuse_after_drain(request_id)
        outcome = driver.execute(event_type(request))
        response = caller_api.encode_outcome(request_id, outcome)
        return web.Reply(response.status, response.body)

    return handle


_STATUS_BY_CODE = {
    errors.BodyTooLargeError.code: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    errors.BodyTooSlowError.code: http.HTTPStatus.REQUEST_TIMEOUT,
    errors.BodyMemorySpentError.code: http.HTTPStatus.SERVICE_UNAVAILABLE,
}


def _refuse(
    request_id: str, error: errors.TransportError | protocol_errors.ProtocolError
) -> web.Reply:
    status = _STATUS_BY_CODE.get(error.code, http.HTTPStatus.BAD_REQUEST)
    response = caller_api.encode_error(status, request_id, error.code, str(error))
    return web.Reply(response.status, response.body)


def _refuse_after_drain(request_id: str) -> web.Reply:
    """Refuse a request whose body was complete only after listening had stopped."""
    code = requests.RefusalCode.SHUTTING_DOWN
    refusal = requests.Refusal(code, "send the request to another VM", not_run=True)
    response = caller_api.encode_outcome(request_id, refusal)
    return web.Reply(response.status, response.body)


def readiness_reply(daemon: daemon_state.Daemon) -> web.Reply:
    """Return the reply to a load balancer's readiness check."""
    if not daemon.ready:
        return web.Reply(http.HTTPStatus.SERVICE_UNAVAILABLE, b'{"ready":false}')
    return web.Reply(http.HTTPStatus.OK, b'{"ready":true}')
