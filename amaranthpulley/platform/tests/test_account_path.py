"""End-to-end tests of client accounts and their keys."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import json  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from typing import Any, Final  # noqa: E402
from unittest import mock  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.platform import entries, names  # noqa: E402
from amaranthpulley.platform.tests import platform_site, wire_samples  # noqa: E402
from amaranthpulley.protocol.forwarding import relay_codec  # noqa: E402
from amaranthpulley.state import rendezvous  # noqa: E402
from amaranthpulley.state.forwarding import gateway  # noqa: E402
from amaranthpulley.transport import http_connections, line_writer  # noqa: E402

RED: Final = {"Name": "red", "ApiKeys": ["secret-red-1", "secret-red-2"]}
BLUE: Final = {"Name": "blue", "ApiKeys": ["secret-blue"]}
RED_KEY: Final = {"X-Key": "secret-red-1"}
# Long target latency, so that a busy machine answers in time.
TARGET_LATENCY_MS: Final = 900
# A version is in force before a request that waits so long is given up.
LONG_TIMEOUT_MS: Final = 4_500
PAUSE_MS: Final = 3_500


class AccountSite:
    """A daemon with the accounts red and blue, a merged, a single and an open route."""

    def __init__(self) -> None:
        self.routes = (
            wire_samples.route(TargetLatencyMs=TARGET_LATENCY_MS),
            wire_samples.visit_route(TimeoutMs=LONG_TIMEOUT_MS),
            wire_samples.visit_route(Name="open", PathPrefix="/open/", Anonymous=True),
        )
        self.site = platform_site.PlatformSite(*self.routes)
        self.version = 1

    @property
    def received(self) -> list[list[tuple[bytes, bytes]]]:
        """Headers and trailers of all requests that reached leaves."""
        return [headers for leaf in self.site.leaves for headers in leaf.received]

    def put_accounts(self, *tenants: dict[str, Any]) -> None:
        """Write a version with these accounts and wait until it is in force."""
        self.version += 1
        found = wire_samples.configuration(self.version, *self.routes)
        found["Tenants"] = list(tenants)
        self.site.store.put(names.CONFIGURATION_KEY, found)
        self.wait_for_version(self.site.daemon.gateway)

    def wait_for_version(self, of: gateway.Gateway) -> None:
        """Wait until the latest version is in force at a daemon."""
        self.site.wait_for(
            lambda: of.configuration and of.configuration.version == self.version,
            "the version is in force",
        )

    def accounts_received(self) -> set[tuple[bytes, ...]]:
        """Return the values of the account header in each request to a leaf."""
        return {
            tuple(value for name, value in headers if _is_account(name))
            for headers in self.received
        }


def _is_account(name: bytes) -> bool:
    return name.lower().replace(b"_", b"-") == b"x-tenant"


def _answers(kept: socket.socket) -> Iterator[tuple[int, bytes]]:
    """Yield the status and the head of each answer on a connection."""
    received = b""
    while True:
        while b"\r\n\r\n" not in received:
            received += kept.recv(65_536)
        head, _, received = received.partition(b"\r\n\r\n")
        lengths = [
            int(line.partition(b":")[2])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        ]
        while len(received) < lengths[0]:
            received += kept.recv(65_536)
        received = received[lengths[0] :]
        yield int(head.split()[1]), head


class AccountPathTest(unittest.TestCase):
    """Clients with and without valid keys."""

    def setUp(self) -> None:
        self.lines: list[bytes] = []
        writer = mock.patch.object(line_writer.LineWriter, "write", self.lines.append)
        writer.start()
        self.addCleanup(writer.stop)
        self.made = AccountSite()
        self.site = self.made.site

    def _connect(self) -> tuple[socket.socket, Iterator[tuple[int, bytes]]]:
        host, port = self.site.daemon.front_address.rsplit(":", 1)
        kept = socket.create_connection((host, int(port)))
        self.addCleanup(kept.close)
        return kept, _answers(kept)

    def _head(self, path: str, *lines: str) -> bytes:
        head = (f"POST {path} HTTP/1.1", f"Host: {wire_samples.HOST}")
        numbered = (f"X-Request-Id: {path}-{len(self.made.received)}",)
        return "\r\n".join((*head, *numbered, *lines, "", "")).encode()

    def test_leaves_get_the_name_and_no_key(self) -> None:
        self.made.put_accounts(RED, BLUE)
        forged = {**RED_KEY, "X-TENANT": "blue", "x-tenant": "blue", "X_Tenant": "blue"}
        for path in ("/visit/1", "/wide/1"):
            with self.subTest(path):
                answer = self.site.request(path, headers=forged)
                self.assertEqual(answer.status, 200)
        self.assertEqual(self.made.accounts_received(), {(b"red",)})
        self._assert_no_key_received()

    def _assert_no_key_received(self) -> None:
        for headers in self.made.received:
            self.assertNotIn(b"x-key", {name.lower() for name, _ in headers})
            self.assertNotIn(b"secret", b"".join(value for _, value in headers))

    def test_trailers_do_not_name_an_account(self) -> None:
        # Guards against a leaf that takes the client's trailers for our headers, and
        # against a key in a trailer that lets a request in.
        self.made.put_accounts(RED, BLUE)
        kept, answers = self._connect()
        body = b"1\r\nx\r\n0\r\n"
        chunked = ("Transfer-Encoding: chunked", "Trailer: X-Tenant, X-Other")
        trailers = b"X-Tenant: blue\r\nX-Other: 1\r\nX-Key: secret-blue\r\n\r\n"
        for line, expected in (("X-Key: secret-red-2", 200), ("X-None: 1", 401)):
            kept.sendall(self._head("/visit/1", *chunked, line) + body + trailers)
            self.assertEqual(next(answers)[0], expected)
        self.assertEqual(self.made.accounts_received(), {(b"red",)})
        for headers in self.made.received:
            self.assertNotIn(b"x-other", {name.lower() for name, _ in headers})
        self._assert_no_key_received()

    def test_without_a_valid_key_the_answer_is_401(self) -> None:
        self.made.put_accounts(RED, BLUE)
        kept, answers = self._connect()
        length = "Content-Length: 0"
        for lines in (
            (),
            ("X-Key: unknown",),
            ("X-Key:",),
            ("X-Key: secret-red-1", "X-Key: secret-blue"),
            ("X-Key: secret-red-1", "x-key: unknown"),
            ("X-Key: secret-red-1, secret-red-1",),
            ("X-Tenant: red",),
            ("Authorization: secret-red-1",),
        ):
            for path in ("/visit/1", "/wide/1"):
                with self.subTest(lines, path=path):
                    kept.sendall(self._head(path, length, *lines))
                    status, head = next(answers)
                    self.assertEqual(status, 401)
                    challenge = b'\r\nWWW-Authenticate: ApiKey header="x-key"'
                    self.assertIn(challenge, head)
                    self.assertNotIn(b"retry-after", head.lower())
        self.assertEqual(self.made.received, [])
        kept.sendall(self._head("/visit/1", length, "X-Key: secret-blue"))
        self.assertEqual(next(answers)[0], 200)

    def test_an_anonymous_route_forwards_neither_header(self) -> None:
        self.made.put_accounts(RED)
        for headers in ({}, RED_KEY, {"X-Key": "unknown", "X-Tenant": "blue"}):
            with self.subTest(headers):
                answer = self.site.request("/open/1", headers=headers)
                self.assertEqual(answer.status, 200)
        self.assertEqual(self.made.accounts_received(), {()})
        self._assert_no_key_received()

    def test_without_accounts_everything_is_forwarded(self) -> None:
        kept, answers = self._connect()
        chunked = ("Transfer-Encoding: chunked", "X-Key: k", "X-Tenant: t")
        kept.sendall(self._head("/visit/1", *chunked) + b"0\r\nX-Last: 1\r\n\r\n")
        self.assertEqual(next(answers)[0], 200)
        (headers,) = self.made.received
        for line in ((b"X-Key", b"k"), (b"X-Tenant", b"t"), (b"X-Last", b"1")):
            self.assertIn(line, headers)

    def test_a_withdrawn_key_ends_a_kept_connection_s_service(self) -> None:
        self.made.put_accounts(RED, BLUE)
        kept, answers = self._connect()
        length, key = "Content-Length: 0", "X-Key: secret-red-1"
        kept.sendall(self._head("/visit/1", length, key))
        self.assertEqual(next(answers)[0], 200)
        self.made.put_accounts({**RED, "ApiKeys": ["secret-red-2"]}, BLUE)
        kept.sendall(self._head("/visit/1", length, key))
        self.assertEqual(next(answers)[0], 401)
        kept.sendall(self._head("/visit/1", length, "X-Key: secret-red-2"))
        self.assertEqual(next(answers)[0], 200)
        self.made.put_accounts(BLUE)
        kept.sendall(self._head("/visit/1", length, "X-Key: secret-red-2"))
        self.assertEqual(next(answers)[0], 401)
        # An older version brings the key back to nobody.
        older = wire_samples.configuration(self.made.version - 1, *self.made.routes)
        older["Tenants"] = [RED]
        self.site.store.put(names.CONFIGURATION_KEY, older)
        eventlet.sleep(1.0)
        kept.sendall(self._head("/visit/1", length, key))
        self.assertEqual(next(answers)[0], 401)

    def test_a_key_that_is_withdrawn_while_a_request_waits(self) -> None:
        self.made.put_accounts(RED, BLUE)
        for leaf in self.site.leaves:
            leaf.mode = "reject"
            leaf.headers = {b"Retry-After": "30"}
        self.site.request("/visit/1", headers=RED_KEY)
        self.site.request("/visit/1", headers=RED_KEY)
        # A request does not wait for the end of such a pause, so it is made shorter.
        for leaf in self.site.daemon.gateway.directory.of_service("visits"):
            leaf.backpressure.paused_until_ms = leaf.full_until_ms = (
                self.site._clock.monotonic_ms() + PAUSE_MS
            )
        before = len(self.made.received)
        waiting = eventlet.spawn(
            self.site.request, "/visit/1", deadline_ms=LONG_TIMEOUT_MS, headers=RED_KEY
        )
        gateway_state = self.site.daemon.gateway
        self.site.wait_for(lambda: gateway_state.waiting.services, "it waits")
        self.made.put_accounts(BLUE)
        self.assertEqual(waiting.wait().status, 401)
        self.assertEqual(len(self.made.received), before)

    def test_no_key_is_kept_logged_or_passed_on(self) -> None:
        self.made.put_accounts(RED, {**BLUE, "ApiKeys": ["secret-red-1"]})
        for key in ("secret-red-1", "secret-unknown"):
            self.site.request("/visit/1", headers={"X-Key": key})
        daemon = self.site.daemon
        pool = http_connections.connection_pool(daemon._relay.address, 1)
        self.addCleanup(pool.close)
        target = relay_codec.encode_target(0, 10)
        page = relay_codec.decode(
            http_connections.call(pool, "GET", target, 1_000, 1_000_000).body
        )
        values = {change.key: change.value for change in page.changes}
        copy = values[names.CONFIGURATION_KEY]
        self.assertEqual(len(json.loads(copy)["Tenants"]), 2)
        metrics = http_connections.connection_pool(daemon._metrics.address, 1)
        self.addCleanup(metrics.close)
        shown = http_connections.call(metrics, "GET", "/metrics", 1_000, 1_000_000).body
        self.assertIn(b"forward_unauthorized_total", shown)
        for text in (copy, shown, *self.lines):
            self.assertNotIn(b"secret", text)
        self.assertTrue(any(b"client_keys_shared" in line for line in self.lines))
        self.assertTrue(any(b"unauthorized" in line for line in self.lines))


class DelegatedAccountPathTest(unittest.TestCase):
    """A daemon that hands its sharded requests over to a delegate, vm-2."""

    def setUp(self) -> None:
        self.made = AccountSite()
        self.site = self.made.site
        self.delegate = self.site.start_daemon("vm-2")
        self.site.wait_for(lambda: self.delegate.ready, "the delegate is ready")
        members = self.site.daemon.gateway.members
        self.site.wait_for(lambda: "vm-2" in members, "the delegate is registered")
        self._register("vm-2", self.delegate.delegate_address, 4.0)
        unused = next(
            name
            for name in (f"unused-{number}" for number in range(100))
            if rendezvous.ranking((name, "vm-2"), "vm-1")[0] == "vm-2"
        )
        self._register(unused, "127.0.0.1:1", 4.0)
        for number in range(10):
            self._register(f"idle-{number}", "127.0.0.1:1", 0.1)
        self.site.wait_for(
            lambda: (
                len(members) >= 13
                and members["vm-2"].delegate_address == self.delegate.delegate_address
            ),
            "the delegate is known",
        )

    def _register(self, name: str, address: str, speed: float) -> None:
        member = gateway.Member("a1", "127.0.0.1:1", address, speed)
        self.site.store.put(names.DAEMON_PREFIX + name, entries.encode_daemon(member))

    def _served(self) -> float:
        name = "forward_delegated_requests_total"
        return self.delegate.gateway.counters.total(name, outcome="served")

    def test_the_delegate_applies_the_account(self) -> None:
        limited = {**BLUE, "AllowedRegions": ["a"]}
        self.made.put_accounts(RED, limited)
        self.made.wait_for_version(self.delegate.gateway)
        sent: list[bytes] = []
        runtime = self.delegate.runtime
        receive = runtime._receive_delegated
        handler = self.delegate._delegated.handler

        def record(connection: Any, request: Any) -> None:
            sent.extend(b"%b: %b" % header for header in request.headers)
            receive(connection, request)

        self.delegate._delegated.handler = handler._replace(on_request=record)
        forged = {"X-Tenant": "blue"}
        answer = self.site.request(headers={"X-Key": "secret-blue", **forged})
        self.assertEqual(answer.status, 200)
        self.assertEqual(self._served(), 1)
        self.assertEqual(self.made.accounts_received(), {(b"blue",)})
        domains = {leaf.failure_domain for leaf in self.site.leaves if leaf.received}
        self.assertEqual(domains, {"a1"})
        self.assertTrue(sent)
        for line in sent:
            self.assertNotIn(b"secret", line)
            self.assertFalse(line.lower().startswith((b"x-key", b"x-tenant")), line)

    def test_a_withdrawn_key_is_refused_by_the_accepting_daemon(self) -> None:
        self.made.put_accounts(RED, BLUE)
        self.made.wait_for_version(self.delegate.gateway)
        self.assertEqual(self.site.request(headers=RED_KEY).status, 200)
        self.made.put_accounts(BLUE)
        self.assertEqual(self.site.request(headers=RED_KEY).status, 401)
        self.assertEqual(self._served(), 1)

    def test_different_versions_leave_a_whole_answer(self) -> None:
        # Guards against 401 for a valid key of which the delegate does not know yet.
        self.made.put_accounts(BLUE)
        self.made.wait_for_version(self.delegate.gateway)
        known = self.delegate.gateway.configuration
        self.made.put_accounts(RED, BLUE)
        self.delegate.gateway.configuration = known
        self.assertEqual(self.site.request(headers=RED_KEY).status, 200)
        self.assertEqual(self.made.accounts_received(), {(b"red",)})
