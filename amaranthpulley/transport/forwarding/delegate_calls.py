"""Sends requests to delegates, and keeps the senders of delegated ones informed."""

from collections.abc import Callable
from typing import Final

import eventlet.hubs

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.protocol.forwarding import (
    client_requests,
    delegation_codec,
    header_names,
    leaf_messages,
)
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state.forwarding import requests
from amaranthpulley.transport.forwarding import client_connections, leaf_connections

# Interval between a delegate's signs of life.
SIGN_OF_LIFE_INTERVAL_MS: Final = 100
# Delegates close connections that are idle for 15 s.
IDLE_LIMIT_MS: Final = 10_000
# The longest request takes a minute.
MAXIMUM_SIGNS_OF_LIFE: Final = 600


class DelegateCalls:
    """Connections to delegates.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers that the gateway interprets.
    clock : Clock
        Source of time.
    feed : callable
        Called with the events about delegations.
    """

    def __init__(
        self,
        names: header_names.HeaderNames,
        clock: clock_state.Clock,
        feed: Callable[[events.Event], None],
    ) -> None:
        self._names = names
        self._feed = feed
        limits = leaf_messages.AnswerLimits(interim_answers=MAXIMUM_SIGNS_OF_LIFE)
        self.connections = leaf_connections.LeafConnections(
            names, clock, limits, IDLE_LIMIT_MS
        )

    def send(
        self,
        command: commands.SendToDelegate,
        request: client_requests.ClientRequest,
        head: bytes,
        request_id: bytes,
        on_end: Callable[[], None],
    ) -> leaf_connections.LeafConnection:
        """Send a request; the connection's end cancels it.

        Parameters
        ----------
        head : bytes
            The part of the request's head that does not depend on the recipient.
        on_end : callable
            Called before the event of the answer or failure.
        """
        number = command.delegation

        def on_answer(answer: requests.LeafAnswer) -> None:
            on_end()
            missing = delegation_codec.missing_parts(answer, self._names)
            self._feed(events.DelegateAnswered(number, answer, missing))

        def on_failure(end: requests.AttemptEnd) -> None:
            on_end()
            self._feed(events.DelegateFailed(number, end))

        data = delegation_codec.encode_request(
            head, b"", self._names, command.budget_ms, command.origin
        )
        connection = self.connections.acquire(command.address, commands.Reuse.ANY)
        connection.on_interim = lambda: self._feed(events.DelegateHeard(number))
        is_head = request.method == b"HEAD"
        connection.exchange(
            data, request_id, is_head, on_answer, on_failure, request.body
        )
        return connection


def send_signs_of_life(
    connection: client_connections.ClientConnection,
    request: client_requests.ClientRequest,
) -> None:
    """Tell the sender of a delegated request that it is being worked on.

    This goes on until the request has been answered.
    """
    if connection.closed or connection.current is not request:
        return
    connection.write_interim(delegation_codec.SIGN_OF_LIFE)
    eventlet.hubs.get_hub().schedule_call_global(
        SIGN_OF_LIFE_INTERVAL_MS / 1000, send_signs_of_life, connection, request
    )
