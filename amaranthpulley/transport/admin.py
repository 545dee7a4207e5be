"""HTTP handlers of the admin port: metrics, status, recent events and readiness."""

import http
from collections.abc import Callable, Collection
from typing import Final

import msgspec

from amaranthpulley.protocol import status_api, ticket_status_api
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.transport import callers, log_sink, web

METRICS_MEDIA_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
JSON_LINES_TYPE: Final = "application/x-ndjson"

Routes = dict[tuple[str, str], web.Handler]


def routes(
    daemon: daemon_state.Daemon,
    clock: clock_state.Clock,
    metrics_text: Callable[[], bytes],
    recent: log_sink.RecentEvents,
    clients: Collection[str],
) -> Routes:
    """Return the handlers of the admin port by method and path.

    Parameters
    ----------
    daemon : Daemon
        The daemon's state; it is only read.
    clock : Clock
        Source of the current time.
    metrics_text : callable
        Returns the metrics in Prometheus's text format.
    recent : RecentEvents
        Buffer of the latest log events.
    clients : collection of str
        IP addresses that may use the port; requests from others get status 403.
    """

    def show_status(environ: web.Environ) -> web.Reply:
        status = status_api.status_of(daemon, clock.monotonic_ms())
        return _ok(msgspec.json.encode(status))

    handlers: Routes = {
        ("GET", "/metrics"): lambda environ: _ok(metrics_text(), METRICS_MEDIA_TYPE),
        ("GET", "/status"): show_status,
        ("GET", ticket_status_api.PATH): lambda environ: _ok(
            ticket_status_api.encode(daemon)
        ),
        ("GET", "/events"): lambda environ: _ok(recent.text(), JSON_LINES_TYPE),
        ("GET", "/ready"): lambda environ: callers.readiness_reply(daemon),
    }
    return {key: _allow_clients(handler, clients) for key, handler in handlers.items()}


def _ok(body: bytes, media_type: str = web.JSON_TYPE) -> web.Reply:
    return web.Reply(http.HTTPStatus.OK, body, media_type)


def _allow_clients(handler: web.Handler, clients: Collection[str]) -> web.Handler:
    def handle(environ: web.Environ) -> web.Reply:
        if environ.get("REMOTE_ADDR") not in clients:
            body = b'{"code":"client_not_allowed"}'
            return web.Reply(http.HTTPStatus.FORBIDDEN, body)
        return handler(environ)

    return handle
