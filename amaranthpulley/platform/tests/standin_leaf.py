"""A stand-in for a leaf: answers or fails as configured, and counts its runs."""

import collections
import json
from collections.abc import Callable
from typing import Any, Final

import eventlet.hubs

from amaranthpulley.platform import names
from amaranthpulley.platform.tests import wire_samples
from amaranthpulley.protocol.forwarding import client_requests
from amaranthpulley.state import clock as clock_state
from amaranthpulley.transport.forwarding import client_connections

HEALTH_PATH: Final = b"/health"
# Sent again and again by a leaf whose answer has no end.
ENDLESS_PART: Final = b"x" * 60_000
ENDLESS_INTERVAL_MS: Final = 1
# Time after which the copy of an answer comes.
COPY_DELAY_MS: Final = 4
# Requests whose headers are kept.
KEPT_REQUESTS: Final = 200
# Path on which a test configures the stand-in and reads its runs.
CONTROL_PATH: Final = b"/control"
_Received = collections.deque[list[tuple[bytes, bytes]]]


class StandInLeaf:
    """A leaf on one address.

    Parameters
    ----------
    clock : Clock
        Source of time.
    leaf_id, service, failure_domain : str
        Its identity, its service and its failure domain.
    address : str
        ``IP:port``; port 0 selects a free port.
    """

    def __init__(
        self,
        clock: clock_state.Clock,
        leaf_id: str,
        service: str,
        failure_domain: str,
        address: str = "127.0.0.1:0",
    ) -> None:
        self._now_ms = clock.monotonic_ms
        self.leaf_id = leaf_id
        self.service = service
        self.failure_domain = failure_domain
        self.runs: collections.Counter[str] = collections.Counter()
        # Requests that were addressed to another leaf.
        self.misdirected_count = 0
        # Times of all requests but health checks, by the monotonic clock.
        self.arrivals_s: list[float] = []
        # Times at which it turned a request away, by the monotonic clock.
        self.pauses_asked_s: list[float] = []
        # Headers of all answers.
        self.headers: dict[bytes, str] = {}
        self.received_names: set[bytes] = set()
        # Headers and trailers of the latest requests but health checks.
        self.received: _Received = collections.deque(maxlen=KEPT_REQUESTS)
        self.work_ms = 5
        self.born_ms = 1_000  # Unix time of its start.
        # Requests whose path starts with this end the leaf; it starts again at once.
        self.crash_prefix: bytes | None = None
        self.on_crash: Callable[[StandInLeaf], None] = lambda _leaf: None
        # How it answers each request: "answer", "silent", "reset", "reject", "fail",
        # "cut", "head", "endless", "extra", "garble", "unframed", "late" or
        # "reject once": each request is rejected when it first comes, and a copy of the
        # rejection comes late, when the request is sent on that connection again. Or
        # "copies": a copy of each answer comes late.
        self.mode = "answer"
        handler = client_connections.Handler(self._receive, lambda _connection: None)
        self._server = client_connections.HttpServer(address, clock, handler)
        self._last_answer = b""
        # By request, the connection on which it was rejected, and the rejection.
        self._rejections: dict[str, tuple[object, bytes]] = {}

    @property
    def address(self) -> str:
        """The ``IP:port`` that it listens on."""
        return self._server.address

    def entry(self, **changes: object) -> dict[str, Any]:
        """Return its store entry; arguments replace fields."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.failure_domain,
            "Version": "v1",
            "Capacity": 4,
            "State": "ready",
            "WarmupLeftMs": 0,
            "Sequence": 1,
            "born": self.born_ms,
            **changes,
        }

    def _receive(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
    ) -> None:
        if request.target == HEALTH_PATH:
            if self.mode != "silent":
                self._send(connection, 200, "", b"", {names.HEADERS.leaf: self.leaf_id})
            return
        if request.target == CONTROL_PATH:
            self._control(connection, json.loads(request.body))
            return
        self.arrivals_s.append(self._now_ms() / 1000)
        self.received_names.update(name.lower() for name, _ in request.headers)
        self.received.append([*request.headers, *request.trailers])
        request_id = (request.first(names.HEADERS.request_id) or b"").decode()
        addressed = (request.first(names.HEADERS.wanted_leaf) or b"").decode()
        if addressed and addressed != self.leaf_id:
            self.misdirected_count += 1
            self._send(connection, 421, request_id, b"", {})
        elif self.mode == "reject":
            self.pauses_asked_s.append(self._now_ms() / 1000)
            self._reject(connection, request_id)
        elif self.mode == "reject once" and request_id not in self._rejections:
            self._reject(connection, request_id)
            self._rejections[request_id] = (connection, self._last_answer)
        elif self.mode != "silent":
            rejected_on, rejection = self._rejections.get(request_id, (None, b""))
            if rejected_on is connection:
                connection.write_interim(rejection)
            self.runs[request_id] += 1
            eventlet.hubs.get_hub().schedule_call_global(
                self.work_ms / 1000, self._finish, connection, request, request_id
            )

    def _reject(self, connection: Any, request_id: str) -> None:
        rejected = {names.HEADERS.not_run: "1"}
        self._send(connection, 503, request_id, b"", rejected)

    def _control(self, connection: Any, settings: dict[str, Any]) -> None:
        mode, self.mode = settings.get("mode", self.mode), "answer"
        self.work_ms = settings.get("work_ms", self.work_ms)
        headers, self.headers = self.headers, {}
        if "headers" in settings:
            headers = {k.encode(): v for k, v in settings["headers"].items()}
        counted: dict[str, int] = dict(self.runs)
        if settings.get("arrivals"):
            counted = {"arrivals": len(self.arrivals_s)}
        self._send(connection, 200, "", json.dumps(counted).encode(), {})
        self.mode, self.headers = mode, headers

    def _finish(self, connection: Any, request: Any, request_id: str) -> None:
        if connection.current is not request:
            return
        crashes = self.crash_prefix and request.target.startswith(self.crash_prefix)
        if crashes:
            self.on_crash(self)
        if crashes or self.mode == "reset":
            connection.close()
            return
        if request.target.startswith(b"/visit"):
            content = {"leaf": self.leaf_id, "body": request.body.decode("latin-1")}
            body = json.dumps(content).encode()
        else:
            body = b"".join(wire_samples.records_of(self.leaf_id, request_id))
        signature = wire_samples.signature_of(self.leaf_id, request_id)
        signed = {names.HEADERS.signature: signature}
        status = 500 if self.mode == "fail" else 200
        self._send(connection, status, request_id, body, signed)

    def _send(
        self,
        connection: Any,
        status: int,
        request_id: str,
        body: bytes,
        headers: dict[bytes, str],
    ) -> None:
        lines = [b"HTTP/1.1 %d Status\r\n" % status]
        if request_id:
            lines.append(b"X-Request-Id: %b\r\n" % request_id.encode())
        headers = {**self.headers, **headers}
        lines += [b"%b: %b\r\n" % (k, v.encode()) for k, v in headers.items()]
        unframed = self.mode == "unframed"
        if not unframed:
            lines.append(b"Content-Length: %d\r\n" % len(body))
        whole = b"".join(lines) + b"\r\n" + body
        if self.mode == "cut":
            connection.answer(whole[:-3], True)
        elif self.mode == "head":
            connection.answer(whole[: len(lines[0]) + 9], True)
        elif self.mode == "endless":
            head = b"".join(lines).replace(b"Content-Length", b"X-Length") + b"\r\n"
            self._send_endlessly(connection, head + body)
        elif self.mode == "garble":
            connection.answer(b"\x00\x01 no answer\r\n\r\n", True)
        elif self.mode == "extra":
            connection.answer(whole + whole, False)
        elif self.mode == "late":
            # The answer to an earlier request comes first.
            connection.answer(self._last_answer + whole, False)
        else:
            connection.answer(whole, unframed)
        if self.mode == "copies":
            eventlet.hubs.get_hub().schedule_call_global(
                COPY_DELAY_MS / 1000, connection.write_interim, whole
            )
        self._last_answer = whole

    def _send_endlessly(self, connection: Any, data: bytes) -> None:
        if connection.closed or self.mode != "endless":
            connection.close()
            return
        connection.answer(data, False)
        eventlet.hubs.get_hub().schedule_call_global(
            ENDLESS_INTERVAL_MS / 1000, self._send_endlessly, connection, ENDLESS_PART
        )
