"""Steps for the requests of callers."""

import atexit
import http.client
import json
import signal
import socket
import time
from typing import Any, Final

import behave
from behave import runner

from tests import process_site

TIMEOUT_S: Final = 20
DEADLINE_MS: Final = 1_200
RECOVERY_DELAY_S: Final = 2
SEARCH: Final = {"customer": "c", "service": "stock", "query": "item-0042"}
ORDER: Final = {
    "customer": "c",
    "service": "orders",
    "idempotency_key": "key",
    "payload": "3 hourglasses",
    "deadline_ms": DEADLINE_MS,
}
BODIES: Final = {"nothing": b"", "bytes that are no UTF-8": b'{"customer":"\xff"}'}

_shared_sites: dict[int, process_site.ProcessSite] = {}


class CallerSubject:
    """A site, a caller's connection and the answers that it got."""

    def __init__(self, site: process_site.ProcessSite) -> None:
        self.site = site
        self.connection: http.client.HTTPConnection | None = None
        self.status = 0
        self.answer: dict[str, Any] = {}
        self.outcomes: list[str] = []

    def connect(self, name: str) -> http.client.HTTPConnection:
        """Return a new connection to a daemon."""
        address = self.site.daemons[name].listening["callers"]
        return http.client.HTTPConnection(address, timeout=TIMEOUT_S)

    def post(self, path: str, body: bytes) -> None:
        """Post a body on the open connection and store the answer."""
        self.connection.request("POST", path, body)
        self.read(self.connection.getresponse())

    def read(self, response: http.client.HTTPResponse) -> None:
        """Store the status and the body of an answer."""
        self.status = response.status
        self.answer = json.loads(response.read())

    def send_raw(self, head: str, body: bytes, half_close: bool) -> socket.socket:
        """Send bytes on a new connection and return it."""
        opened = self.connect("vm-1")
        opened.connect()
        opened.sock.sendall(head.replace("\n", "\r\n").encode() + body)
        if half_close:
            opened.sock.shutdown(socket.SHUT_WR)
        return opened.sock

    def read_raw(self, connection: socket.socket) -> None:
        """Store the answer on a connection from `send_raw`, and close it."""
        response = http.client.HTTPResponse(connection)
        response.begin()
        self.read(response)
        connection.close()


def _request_head(length: int) -> str:
    return f"POST /v1/search HTTP/1.1\nHost: x\nContent-Length: {length}\n\n"


def _shared_site(daemons: int) -> process_site.ProcessSite:
    if daemons not in _shared_sites:
        site = process_site.ProcessSite(daemons)
        atexit.register(site.close)
        site.wait_until_ready()
        _shared_sites[daemons] = site
    return _shared_sites[daemons]


def _with_field(message: dict[str, Any], field: str, value: str) -> bytes:
    changed = dict(message)
    if value == "missing":
        del changed[field]
    elif value.endswith(" characters"):
        changed[field] = "x" * int(value.split()[0])
    else:
        changed[field] = json.loads(value)
    return json.dumps(changed).encode()


@behave.given("a site with {daemons:d} daemons")
def give_site(context: runner.Context, daemons: int) -> None:
    context.subject = CallerSubject(_shared_site(daemons))


@behave.given("a separate site with {daemons:d} daemons")
def give_separate_site(context: runner.Context, daemons: int) -> None:
    site = process_site.ProcessSite(daemons)
    context.add_cleanup(site.close)
    site.wait_until_ready()
    context.subject = CallerSubject(site)


@behave.given("an open connection to {name}")
def give_connection(context: runner.Context, name: str) -> None:
    context.subject.connection = context.subject.connect(name)
    context.add_cleanup(context.subject.connection.close)


@behave.when("the caller posts the body {body} to {path}")
def post_body(context: runner.Context, body: str, path: str) -> None:
    context.subject.post(path, BODIES.get(body, body.encode()))


@behave.when("the caller posts a search with {field} set to {value}")
def post_search(context: runner.Context, field: str, value: str) -> None:
    context.subject.post("/v1/search", _with_field(SEARCH, field, value))


@behave.when("the caller posts an order with {field} set to {value}")
def post_order(context: runner.Context, field: str, value: str) -> None:
    context.subject.post("/v1/order", _with_field(ORDER, field, value))


@behave.when("the caller sends a request with {fault}")
def send_fault(context: runner.Context, fault: str) -> None:
    subject = context.subject
    body = json.dumps(SEARCH).encode()
    if fault == "an unknown path":
        subject.post("/v1/nothing", body)
    elif fault == "the wrong method":
        subject.connection.request("PUT", "/v1/search", body)
        subject.read(subject.connection.getresponse())
    elif fault == "a body over the limit":
        subject.read_raw(subject.send_raw(_request_head(10**8), b"", half_close=False))
    else:
        head = _request_head(len(body) + 1)
        ends_early = fault == "a body that ends early"
        subject.read_raw(subject.send_raw(head, body, half_close=ends_early))


@behave.when("the caller stops in the middle of a body")
def stop_in_body(context: runner.Context) -> None:
    connection = context.subject.send_raw(
        _request_head(100), b'{"customer"', half_close=False
    )
    context.add_cleanup(connection.close)


@behave.then('the answer has status {status:d} and code "{code}"')
def compare_code(context: runner.Context, status: int, code: str) -> None:
    subject = context.subject
    found = (subject.status, subject.answer["code"])
    assert found == (status, code), (found, subject.answer)
    assert subject.answer["message"], subject.answer


@behave.then("the answer says that the request has not run")
def compare_not_run(context: runner.Context) -> None:
    assert context.subject.answer["not_run"] is True, context.subject.answer
    assert context.subject.answer["request_id"], context.subject.answer


@behave.then("the same connection serves a search")
def search_again(context: runner.Context) -> None:
    subject = context.subject
    before = subject.connection.sock
    subject.post("/v1/search", json.dumps(SEARCH).encode())
    assert subject.connection.sock is before, "the connection was closed"
    assert subject.status == 200, subject.answer
    assert subject.answer["coverage"] == 1.0, subject.answer


@behave.then("another connection to {name} serves a search")
def search_elsewhere(context: runner.Context, name: str) -> None:
    context.subject.connection = context.subject.connect(name)
    context.add_cleanup(context.subject.connection.close)
    context.subject.post("/v1/search", json.dumps(SEARCH).encode())
    assert context.subject.status == 200, context.subject.answer


@behave.then("another connection to {name} serves a search within {limit:d} seconds")
def search_soon(context: runner.Context, name: str, limit: int) -> None:
    started_at = time.monotonic()
    search_elsewhere(context, name)
    assert time.monotonic() - started_at < limit


@behave.given("the {part} is {state}")
def break_part(context: runner.Context, part: str, state: str) -> None:
    process = _process_of(context.subject.site, part)
    if state == "gone":
        process.send(signal.SIGKILL)
        process.wait()
    else:
        process.send(signal.SIGSTOP)
        context.add_cleanup(process.send, signal.SIGCONT)


@behave.given("vm-2 is gone")
def end_daemon(context: runner.Context) -> None:
    context.subject.site.daemons.pop("vm-2").process.close()


@behave.when("nothing is repaired")
def repair_nothing(context: runner.Context) -> None:
    """Leave the site as it is."""


@behave.when("vm-3 is started")
def start_daemon(context: runner.Context) -> None:
    site = context.subject.site
    site.start_daemon("vm-3")
    site.publish_vm_list()
    site.wait_until_ready()


@behave.when("the {part} answers")
def repair_part(context: runner.Context, part: str) -> None:
    _process_of(context.subject.site, part).send(signal.SIGCONT)
    time.sleep(RECOVERY_DELAY_S)


@behave.when('the order "{key}" is sent to {name}')
def send_order(context: runner.Context, key: str, name: str) -> None:
    _send(context.subject, name, {**ORDER, "idempotency_key": key})


@behave.when('the order "{key}" with another payload is sent to {name}')
def send_other_order(context: runner.Context, key: str, name: str) -> None:
    other = {**ORDER, "idempotency_key": key, "payload": "4 hourglasses"}
    _send(context.subject, name, other)


@behave.then('the outcomes are "{outcomes}"')
def compare_outcomes(context: runner.Context, outcomes: str) -> None:
    found = ", ".join(context.subject.outcomes)
    assert found == outcomes, found


@behave.then('the target has run "{key}" {times:d} time')
def compare_runs(context: runner.Context, key: str, times: int) -> None:
    site = context.subject.site
    ended = site.order_target.popen.poll() is not None
    found = [] if ended else site.runs()
    assert found.count(key) == times, found


def _process_of(site: process_site.ProcessSite, part: str) -> process_site.Process:
    return {"target": site.order_target, "store": site.store}[part]


def _send(subject: CallerSubject, name: str, order: dict[str, Any]) -> None:
    answer = subject.site.post(name, "order", order)
    if "code" in answer:
        outcome = f"{answer['code']} not run" if answer["not_run"] else answer["code"]
    else:
        outcome = answer["outcome"] + (" again" if answer["repeated"] else "")
    subject.outcomes.append(outcome)
