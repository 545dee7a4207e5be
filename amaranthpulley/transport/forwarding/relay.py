"""Serves the store's changes by long polling to daemons that do not watch the store."""

from typing import Final

import eventlet.hubs

from amaranthpulley.protocol.forwarding import (
    client_answers,
    client_requests,
    relay_codec,
)
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state.forwarding import client_budget, requests
from amaranthpulley.transport.forwarding import (
    client_connections,
    client_guard,
    store_view,
)

MAXIMUM_WAIT_MS: Final = 10_000
_HEADERS: Final = ((b"Content-Type", b"application/octet-stream"),)


class Relay:
    """HTTP server from which other daemons read this daemon's view of the store.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    view : StoreView
        The view that is served.
    clock : Clock
        Source of time.
    guard : ClientGuard or None
        The budget that it shares with the other servers of the process.
    """

    def __init__(
        self,
        address: str,
        view: store_view.StoreView,
        clock: clock_state.Clock,
        guard: client_guard.ClientGuard | None = None,
    ) -> None:
        self._view = view
        self._now_ms = clock.monotonic_ms
        self._waiting: dict[client_connections.ClientConnection, int] = {}
        handler = client_connections.Handler(self._receive, self._forget)
        self._server = client_connections.HttpServer(
            address, clock, handler, guard=guard, kind=client_budget.Server.RELAY
        )
        view.add_listener(self._answer_all)

    @property
    def address(self) -> str:
        """The ``IP:port`` that it listens on."""
        return self._server.address

    def _receive(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
    ) -> None:
        parsed = relay_codec.parse_target(request.target)
        if parsed is None:
            data = client_answers.encode_status(404, "no_such_path", True)
            connection.answer(data, True)
            return
        after, wait_ms = parsed
        if after < self._view.revision or wait_ms == 0:
            self._answer(connection, after)
            return
        self._waiting[connection] = after
        eventlet.hubs.get_hub().schedule_call_global(
            min(wait_ms, MAXIMUM_WAIT_MS) / 1000, self._time_out, connection, request
        )

    def _forget(self, connection: client_connections.ClientConnection) -> None:
        self._waiting.pop(connection, None)

    def _time_out(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
    ) -> None:
        if connection.current is request and connection in self._waiting:
            self._answer(connection, self._waiting[connection])

    def _answer_all(self) -> None:
        for connection, after in list(self._waiting.items()):
            self._answer(connection, after)

    def _answer(
        self, connection: client_connections.ClientConnection, after: int
    ) -> None:
        self._waiting.pop(connection, None)
        excerpt = self._view.after(after)
        confirmed_ms = self._view.confirmed_ms
        age_ms = None if confirmed_ms is None else self._now_ms() - confirmed_ms
        page = relay_codec.Page(
            list(excerpt.changes), excerpt.revision, excerpt.complete, age_ms
        )
        body = relay_codec.encode(page)
        answer = requests.LeafAnswer(200, _HEADERS, body, b"", False, False, None)
        data = client_answers.encode_forwarded(answer, False, False)
        connection.answer(data, False)
