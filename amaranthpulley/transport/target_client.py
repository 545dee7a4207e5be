"""A client of targets over HTTP with persistent connections."""

from typing import Final

import urllib3

from amaranthpulley.coordination import commands, events
from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import leaf_api
from amaranthpulley.state.control import topology
from amaranthpulley.transport import http_connections, message_stamps

AttemptEnd = events.AttemptAnswered | events.AttemptFailed

# Largest answer of a target that is read.
MAXIMUM_ANSWER_BYTES: Final = 4_194_304
_HEADERS = {"Content-Type": "application/json"}


class TargetClient:
    """Connection pools to targets, by address.

    Parameters
    ----------
    stamps : MessageStamps
        Creates the hybrid stamp of each request.
    """

    def __init__(
        self, stamps: message_stamps.MessageStamps = message_stamps.NO_STAMPS
    ) -> None:
        self._stamps = stamps
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def attempt(self, command: commands.SendAttempt) -> AttemptEnd:
        """Send an attempt and wait for its end; only the green thread is blocked."""
        is_order = isinstance(command.call, commands.OrderCall)
        path = "/order" if is_order else "/search"
        try:
            response = self._post(
                command.target,
                path,
                leaf_api.encode_call(command),
                command.timeout_ms,
            )
            return _attempt_end(command, response)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return _failed(command, events.Failure.UNREACHABLE)
        except urllib3.exceptions.ReadTimeoutError:
            self._close_idle(command.target)
            return _failed(command, events.Failure.TIMED_OUT)
        except (urllib3.exceptions.HTTPError, OSError):
            return _failed(command, events.Failure.CONNECTION_LOST)
        except protocol_errors.ProtocolError:
            return _failed(command, events.Failure.MALFORMED)

    def cancel(self, command: commands.CancelAttempt, timeout_ms: int = 1000) -> None:
        """Ask a target to cancel an attempt; errors are ignored."""
        body = leaf_api.encode_cancel(command.attempt_id)
        try:
            self._post(command.target, "/cancel", body, timeout_ms)
        except (urllib3.exceptions.HTTPError, OSError):
            return

    def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()

    def _post(
        self, target: topology.Target, path: str, body: bytes, timeout_ms: int
    ) -> http_connections.Answer:
        return http_connections.call(
            self._pool(target),
            "POST",
            path,
            timeout_ms,
            MAXIMUM_ANSWER_BYTES,
            body,
            _HEADERS | {message_stamps.HEADER: str(self._stamps.next_stamp())},
        )

    def _close_idle(self, target: topology.Target) -> None:
        """Close a target's idle connections, so that the next attempt opens a new one.

        A fault that loses the state of one connection likely affects the others too. A
        new connection is therefore tried before the target is suspected.
        """
        pool = self._pools.pop(target.address, None)
        if pool is not None:
            pool.close()

    def _pool(self, target: topology.Target) -> urllib3.HTTPConnectionPool:
        pool = self._pools.get(target.address)
        if pool is None:
            pool = http_connections.connection_pool(target.address, target.connections)
            self._pools[target.address] = pool
        return pool


def _attempt_end(
    command: commands.SendAttempt, answer: http_connections.Answer
) -> AttemptEnd:
    if answer.status != 200:
        attempt_id, failure, load = leaf_api.decode_refusal(answer.body)
        _check_attempt(command, attempt_id)
        return _failed(command, failure, load)
    is_order = isinstance(command.call, commands.OrderCall)
    decode = leaf_api.decode_order_answer if is_order else leaf_api.decode_search_answer
    attempt_id, result, load = decode(answer.body)
    _check_attempt(command, attempt_id)
    return events.AttemptAnswered(attempt_id, result, leaf_api.load_of(load))


def _check_attempt(command: commands.SendAttempt, attempt_id: str) -> None:
    if attempt_id != command.attempt_id:
        raise protocol_errors.MalformedMessageError(
            f"target {command.target.name} answered attempt {attempt_id} instead of "
            f"{command.attempt_id}"
        )


def _failed(
    command: commands.SendAttempt,
    failure: events.Failure,
    load: leaf_api.LoadBody | None = None,
) -> events.AttemptFailed:
    decoded_load = leaf_api.load_of(load) if load else None
    return events.AttemptFailed(command.attempt_id, failure, decoded_load)
