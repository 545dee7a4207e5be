"""Steps for the target's interface."""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any, Final

import behave
from behave import runner

from amaranthpulley.coordination import commands, events
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport import target_client

TIMEOUT_MS: Final = 300
TRICKLE_S: Final = 0.1
_LOAD: Final = {"boot_id": "b", "busy_slots": 0, "versions": [7]}
_SEARCHED: Final = {"version": 7, "ranges": [[0, 10]], "rows": [[3, "key", "value"]]}
_ANSWER: Final = {"attempt_id": "a1", **_SEARCHED, "result": "entered", "load": _LOAD}

Connection = socket.socket
Behaviour = Callable[[Connection], None]


class TargetSubject:
    """A target with one behaviour, and the outcome of an attempt at it."""

    def __init__(self, behaviour: Behaviour | None) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._address = "{}:{}".format(*self._listener.getsockname())
        self._connections: list[Connection] = []
        self.outcome: events.AttemptAnswered | events.AttemptFailed | None = None
        if behaviour is None:
            self._listener.close()
            return
        threading.Thread(target=self._serve, args=(behaviour,), daemon=True).start()

    def send(self, call: commands.SearchCall | commands.OrderCall) -> None:
        """Send an attempt and store its outcome."""
        target = topology.Target("t", "stock", 0, "s", "Pokhara", self._address)
        command = commands.SendAttempt("a1", "r1", target, call, TIMEOUT_MS)
        client = target_client.TargetClient()
        self.outcome = client.attempt(command)
        client.close()

    def close(self) -> None:
        """Close all sockets."""
        self._listener.close()
        for connection in self._connections:
            connection.close()

    def _serve(self, behaviour: Behaviour) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self._connections.append(connection)
                connection.recv(65_536)
                behaviour(connection)


def _reply(body: bytes, status: str = "200 OK") -> Behaviour:
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return lambda connection: connection.sendall(head.encode() + body)


def _answer(**changed: object) -> Behaviour:
    fields = {**_ANSWER, **changed}
    present = {name: value for name, value in fields.items() if value is not None}
    return _reply(json.dumps(present).encode())


def _refuse(code: str) -> Behaviour:
    body = {"attempt_id": "a1", "code": code, "load": _LOAD}
    return _reply(json.dumps(body).encode(), "503 Service Unavailable")


def _close_within_answer(connection: Connection) -> None:
    connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{"attempt')
    connection.close()


def _trickle(connection: Connection) -> None:
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n":
        connection.sendall(bytes([byte]))
        time.sleep(TRICKLE_S)


_BEHAVIOURS: Final[dict[str, Behaviour | None]] = {
    "answers the attempt": _answer(),
    "sheds the attempt": _refuse("shed"),
    "has dropped the version": _refuse("version_gone"),
    "has cancelled the attempt": _refuse("cancelled"),
    "does not listen": None,
    "closes without an answer": lambda connection: connection.close(),
    "closes within the answer": _close_within_answer,
    "is silent": lambda connection: None,
    "trickles its answer": _trickle,
    "answers another attempt": _answer(attempt_id="a2"),
    "answers with broken JSON": _reply(b'{"attempt_id": "a1", '),
    "answers without its load": _answer(load=None),
    "answers with an impossible range": _answer(ranges=[[5, 1]]),
    "answers with a page of HTML": _reply(b"<html></html>"),
    "fails inside": _reply(b"Internal Server Error", "500 Internal Server Error"),
}


@behave.given("a target that {fault}")
def give_target(context: runner.Context, fault: str) -> None:
    context.subject = TargetSubject(_BEHAVIOURS[fault])
    context.add_cleanup(context.subject.close)


@behave.when("a search is sent to it")
def send_search(context: runner.Context) -> None:
    context.subject.send(commands.SearchCall("query", None, 7))


@behave.when("an order is sent to it")
def send_order(context: runner.Context) -> None:
    context.subject.send(commands.OrderCall("key", "payload", TIMEOUT_MS))


@behave.then("the attempt is answered from version {version:d} with {rows:d} row")
def compare_answer(context: runner.Context, version: int, rows: int) -> None:
    part: Any = context.subject.outcome.answer
    assert (part.version, len(part.rows)) == (version, rows), part
    assert part.ranges == (keyspace.KeyRange(0, 10),), part


@behave.then('the order has the receipt "{result}"')
def compare_receipt(context: runner.Context, result: str) -> None:
    assert context.subject.outcome.answer.result == result, context.subject.outcome


@behave.then('the attempt fails as "{failure}"')
def compare_failure(context: runner.Context, failure: str) -> None:
    outcome = context.subject.outcome
    assert isinstance(outcome, events.AttemptFailed), outcome
    assert outcome.failure.value == failure, outcome


@behave.then("it is {certain} that the target did not run it")
def compare_not_run(context: runner.Context, certain: str) -> None:
    assert context.subject.outcome.failure.not_run is (certain == "certain")
