"""End-to-end tests: clients, a daemon, and stand-ins for the store and the leaves."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import json  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import leaf_health  # noqa: E402
from amaranthpulley.platform import names  # noqa: E402
from amaranthpulley.platform.tests import (  # noqa: E402
    platform_site,
    standin_leaf,
    wire_samples,
)
from amaranthpulley.transport import http_connections  # noqa: E402

TARGET_LATENCY_MS = 900
# Requests that both leaves reject at first.
COPIED_REJECTIONS = 20


class MergedPathTest(unittest.TestCase):
    """Searches whose answer merges all shards."""

    def setUp(self) -> None:
        # A high target latency, so that a shard slowed down by a busy machine is
        # waited for.
        merged_route = wire_samples.route(TargetLatencyMs=TARGET_LATENCY_MS)
        self.site = platform_site.PlatformSite(merged_route, wire_samples.visit_route())

    def _check(self, answer: object) -> int:
        """Check a merged answer against the leaves' records; return missing shards."""
        self.assertEqual(answer.status, 200)
        request_id = f"r{self.site._requests}"
        signatures = answer.headers["X-Part-Stamps"].split(", ")
        by_signature = {
            wire_samples.signature_of(leaf.leaf_id, request_id): leaf
            for leaf in self.site.leaves
        }
        leaves = [by_signature[signature] for signature in signatures]
        services = [leaf.service for leaf in leaves]
        self.assertEqual(len(set(services)), len(services))
        records = [
            record
            for leaf in leaves
            for record in wire_samples.records_of(leaf.leaf_id, request_id)
        ]
        expected = b"".join(sorted(records, reverse=True)[:5])
        self.assertEqual(answer.data, expected)
        missing = int(answer.headers["X-Missing-Parts"])
        self.assertEqual(len(services) + missing, len(wire_samples.SHARDS))
        return missing

    def test_answer_is_complete(self) -> None:
        for _ in range(5):
            self.assertEqual(self._check(self.site.request()), 0)

    def test_faults_of_one_leaf_leave_a_correct_answer(self) -> None:
        modes = ("silent", "reset", "reject", "fail", "cut", "garble")
        for mode in (*modes, "extra", "late", "unframed"):
            with self.subTest(mode):
                leaf = self.site.leaf("shard-1-0")
                leaf.mode = mode
                for _ in range(4):
                    self.assertEqual(self._check(self.site.request()), 0)
                leaf.mode = "answer"

    def test_a_shard_without_a_leaf_is_counted_as_missing(self) -> None:
        for number in (0, 1):
            self.site.leaf(f"shard-2-{number}").mode = "silent"
        self.assertEqual(self._check(self.site.request()), 1)


class ReplacedLeafPathTest(unittest.TestCase):
    """Leaves whose address another leaf has taken over unknown to the store."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()

    def _replace(self, leaf_id: str) -> standin_leaf.StandInLeaf:
        leaf = self.site.leaf(leaf_id)
        leaf.leaf_id = f"new-{leaf_id}"
        return leaf

    def test_successors_of_a_service_get_no_repeats(self) -> None:
        replaced = [self._replace(f"visits-{number}") for number in (0, 1)]
        for _ in range(10):
            self.assertEqual(self.site.request("/visit/1").status, 503)
        for leaf in replaced:
            self.assertLessEqual(leaf.misdirected_count, 1)

    def test_successors_of_a_whole_shard_get_no_repeats(self) -> None:
        replaced = [self._replace(f"shard-1-{number}") for number in (0, 1)]
        for _ in range(10):
            answer = self.site.request()
            self.assertEqual(answer.headers["X-Missing-Parts"], "1")
        for leaf in replaced:
            self.assertLessEqual(leaf.misdirected_count, 1)

    def test_a_health_check_recognises_the_successor(self) -> None:
        replaced = self._replace("visits-0")
        suspected = self.site.daemon.gateway.directory.get("visits-0")
        leaf_health.suspect(suspected, 0)
        directory = self.site.daemon.gateway.directory
        self.site.wait_for(lambda: directory.get("visits-0") is None, "it is removed")
        self.assertEqual(replaced.misdirected_count, 0)


class SinglePathTest(unittest.TestCase):
    """Requests that are forwarded to one leaf."""

    def test_bodies_are_forwarded_unchanged(self) -> None:
        site = platform_site.PlatformSite()
        answer = site.request("/visit/1?x=%20y", "POST", b"oven")
        self.assertEqual(answer.status, 200)
        self.assertEqual(json.loads(answer.data)["body"], "oven")
        self.assertIn("X-Response-Stamp", answer.headers)

    def test_non_idempotent_request_runs_at_most_once(self) -> None:
        visit = wire_samples.visit_route(RouteType="non_idempotent")
        site = platform_site.PlatformSite(visit)
        for mode in ("silent", "reset", "reject", "fail", "cut", "garble", "extra"):
            with self.subTest(mode):
                for leaf in site.leaves:
                    leaf.mode = mode
                answer = site.request("/visit/1", "POST", b"oven")
                request_id = f"r{site._requests}"
                runs = sum(leaf.runs[request_id] for leaf in site.leaves)
                self.assertLessEqual(runs, 1)
                if answer.status in (408, 421, 429, 503):
                    self.assertEqual(runs, 0)
        self.assertIsNotNone(answer)

    def test_late_copies_of_rejections_are_no_answers(self) -> None:
        # Guards against a late copy of a leaf's rejection that counts as the answer to
        # the second send of the same request, so that it runs twice (TWICE, REFUSED).
        visit = wire_samples.visit_route(RouteType="non_idempotent")
        site = platform_site.PlatformSite(visit)
        for leaf in site.leaves:
            leaf.mode = "reject once"
        for _ in range(COPIED_REJECTIONS):
            answer = site.request("/visit/1", "POST", b"oven")
            request_id = f"r{site._requests}"
            runs = sum(leaf.runs[request_id] for leaf in site.leaves)
            self.assertEqual((answer.status, runs), (200, 1))

    def test_refused_head_requests_have_no_body(self) -> None:
        # Guards against a refused HEAD request that leaves a body on the connection,
        # where the client expects its next answer (MIXED).
        site = platform_site.PlatformSite()
        host, port = site.daemon.front_address.rsplit(":", 1)
        kept = socket.create_connection((host, int(port)))
        self.addCleanup(kept.close)

        def ask(method: str, path: str) -> int:
            lines = (
                f"{method} {path} HTTP/1.1",
                f"Host: {wire_samples.HOST}",
                f"X-Request-Id: {path}",
                "X-Deadline-Ms: 300",
            )
            kept.sendall("\r\n".join((*lines, "", "")).encode())
            received = b""
            while b"\r\n\r\n" not in received:
                received += kept.recv(65_536)
            if method == "HEAD":
                self.assertTrue(received.endswith(b"\r\n\r\n"), received)
            return int(received.split()[1])

        self.assertEqual(ask("HEAD", "/visit/1"), 200)
        self.assertEqual(ask("HEAD", "/wide/1"), 200)
        self.assertEqual(ask("HEAD", "/none/1"), 404)
        for leaf in site.leaves:
            leaf.mode = "reject"
        self.assertEqual(ask("HEAD", "/visit/2"), 503)
        self.assertEqual(ask("HEAD", "/wide/2"), 503)
        for leaf in site.leaves:
            leaf.mode = "answer"
        self.assertEqual(ask("GET", "/visit/3"), 200)

    def test_a_starting_daemon_does_not_deny_what_it_cannot_judge(self) -> None:
        # Guards against 413 for a proper body before the first configuration is known.
        site = platform_site.PlatformSite()
        site.store.failing = 503
        starting = site.start_daemon("vm-2")
        pool = http_connections.connection_pool(starting.front_address, 1)
        self.addCleanup(pool.close)
        answer = site._request(pool, "/visit/1", "POST", b"x" * 1_000_000, 1_000)
        self.assertEqual(answer.status, 503)

    def test_unknown_routes_and_bad_requests_are_refused(self) -> None:
        site = platform_site.PlatformSite()
        self.assertEqual(site.request("/none/1").status, 404)
        too_long = site.request("/visit/1", "POST", b"x" * 20_000)
        self.assertEqual(too_long.status, 413)


class ConfigurationPathTest(unittest.TestCase):
    """Changes and faults of the store while the daemon serves."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()

    def test_a_new_version_is_in_force_and_an_old_one_is_not(self) -> None:
        moved = wire_samples.visit_route(PathPrefix="/moved/")
        newer = wire_samples.configuration(5, moved)
        self.site.store.put(names.CONFIGURATION_KEY, newer)
        self.site.wait_for(
            lambda: self.site.request("/moved/1").status == 200, "version 5 is in force"
        )
        older = wire_samples.configuration(4, wire_samples.visit_route())
        self.site.store.put(names.CONFIGURATION_KEY, older)
        eventlet.sleep(1.0)
        self.assertEqual(self.site.request("/visit/1").status, 404)

    def test_dropped_history_and_outages_are_survived(self) -> None:
        for failing in (503, 429, 0):
            with self.subTest(failing):
                self.site.store.failing = failing
                eventlet.sleep(1.5)
                self.assertEqual(self.site.request().status, 200)
                self.site.store.drop_history()
                self.site.store.failing = None
                version = 10 + failing
                route = wire_samples.route(PathPrefix=f"/wide-{failing}/")
                newer = wire_samples.configuration(1_000 - version, route)
                if failing:
                    newer["Version"] = 2_000 - failing
                else:
                    newer["Version"] = 3_000
                self.site.store.put(names.CONFIGURATION_KEY, newer)
                self.site.wait_for(
                    lambda failing=failing: (
                        self.site.request(f"/wide-{failing}/1").status == 200
                    ),
                    "the change after the outage is in force",
                )
                self.site.store.put(
                    names.CONFIGURATION_KEY,
                    {
                        **newer,
                        "Version": newer["Version"] + 1,
                        "Routes": [wire_samples.route()],
                    },
                )
                self.site.wait_for(
                    lambda: self.site.request().status == 200, "the route is back"
                )

    def test_unreadable_entries_are_not_used(self) -> None:
        leaf = self.site.leaf("visits-0")
        bad = (
            b"\xff\x00",
            b"[]",
            b'{"Service": 4}',
            json.dumps(leaf.entry(State="odd")).encode(),
            json.dumps(leaf.entry(Address="nowhere")).encode(),
        )
        for number, value in enumerate(bad):
            self.site.store.put(f"{names.LEAF_PREFIX}bad-{number}", value)
        self.site.store.put(f"{names.LEAF_PREFIX}visits-0", b"{")
        self.site.wait_for(
            lambda: (
                json.loads(self.site.request("/visit/1").data)["leaf"] == "visits-1"
            ),
            "the leaf with the unreadable entry is passed over",
        )


class DrainingPathTest(unittest.TestCase):
    """Shutdown of a daemon."""

    def test_requests_are_answered_until_the_end(self) -> None:
        site = platform_site.PlatformSite()
        site.daemon.drain()
        self.assertFalse(site.daemon.ready)
        answer = site.request()
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["Connection"], "close")
        with eventlet.Timeout(platform_site.WAIT_S):
            self.assertEqual(site.daemon.wait(), 0)
        self.assertNotIn(names.DAEMON_PREFIX + "vm-1", site.store.keys())


class OddEntryPathTest(unittest.TestCase):
    """Entries of another writer among those of the leaves."""

    def test_the_daemon_serves_and_follows_the_store(self) -> None:
        site = platform_site.PlatformSite()
        usual = site.leaf("visits-0").entry()
        nested = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        site.store.put(names.LEAF_PREFIX + "nested", nested)
        port = {**usual, "Address": "127.0.0.1:99999"}
        site.store.put(names.LEAF_PREFIX + "port", port)
        site.store.put(names.LEAF_PREFIX + "number", {**usual, "Capacity": 10**40})
        site.store.put(names.LEAF_PREFIX + "line\r\nX-Other: 1", usual)
        for leaf in site.leaves[:2]:
            site.store.delete(names.LEAF_PREFIX + leaf.leaf_id)
        found = wire_samples.configuration(
            2, wire_samples.visit_route(PathPrefix="/added/")
        )
        site.store.put(names.CONFIGURATION_KEY, found)
        site.wait_for(
            lambda: site.daemon.gateway.configuration.version == 2, "it is in force"
        )
        for _ in range(20):
            self.assertEqual(site.request("/added/1").status, 200)
