"""End-to-end tests of a quota of a client account over several daemons."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import itertools  # noqa: E402
import json  # noqa: E402
import os  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Iterator  # noqa: E402
from unittest import mock  # noqa: E402

import eventlet  # noqa: E402
import urllib3  # noqa: E402

from amaranthpulley.coordination.forwarding.client_accounts import (  # noqa: E402
    quota_owners,
)
from amaranthpulley.platform import names, settings  # noqa: E402
from amaranthpulley.platform.tests import platform_site, wire_samples  # noqa: E402
from amaranthpulley.transport import http_connections, system_clock  # noqa: E402

KEY = "front-desk-key"
RATE_PER_S = 10.0
DAEMONS = 3
WINDOW_S = 5.0
SLACK = 20
ALLOWED = 1.1 * (RATE_PER_S * WINDOW_S + RATE_PER_S) + SLACK
ASKED_PER_S = 40
SETTINGS_TEXT = wire_samples.settings_text


def settings_with_ports(name: str, store_address: str) -> bytes:
    """Return settings with ports that other daemons can use.

    Each process has a loopback address of its own, on which nothing else listens.
    """
    process = os.getpid()
    ip = f"127.{1 + process % 250}.{process // 250 % 250}.1"
    whole = json.loads(SETTINGS_TEXT(name, store_address, ip=ip))
    with socket.socket() as free:
        free.bind((ip, 0))
        whole["InternalPorts"][0] = free.getsockname()[1]
    return json.dumps(whole).encode()


class QuotaPathTest(unittest.TestCase):
    """The name of a setting or field that is read wrongly leaves accounts unlimited."""

    def setUp(self) -> None:
        patch = mock.patch.object(wire_samples, "settings_text", settings_with_ports)
        patch.start()
        self.addCleanup(patch.stop)
        self.site = platform_site.PlatformSite(wire_samples.visit_route())
        self.daemons = [self.site.daemon]
        self.daemons += [self.site.start_daemon(f"vm-{n + 2}") for n in range(2)]
        self.put_account(2, RatePerS=RATE_PER_S, Burst=RATE_PER_S)
        now_ms = system_clock.system_clock().monotonic_ms

        def all_grant() -> bool:
            return all(
                len(daemon.gateway.members) == DAEMONS
                and quota_owners.may_grant(daemon.gateway, now_ms())
                for daemon in self.daemons
            )

        self.site.wait_for(all_grant, "all daemons may grant tokens")

    def put_account(self, version: int, **quota: float) -> None:
        found = wire_samples.configuration(version, wire_samples.visit_route())
        found["Tenants"] = [{"Name": "front-desk", "ApiKeys": [KEY], **quota}]
        self.site.store.put(names.CONFIGURATION_KEY, found)
        self.site.wait_for(
            lambda: all(
                daemon.gateway.configuration is not None
                and daemon.gateway.configuration.version == version
                for daemon in self.daemons
            ),
            "the version is in force",
        )

    def ask(self, address: str, number: int) -> urllib3.BaseHTTPResponse:
        pool = http_connections.connection_pool(address, 1)
        headers = {
            "Host": wire_samples.HOST,
            "X-Key": KEY,
            "X-Request-Id": f"q{number}",
            "X-Deadline-Ms": "1000",
        }
        try:
            return pool.urlopen(
                "GET", "/visit/1", headers=headers, retries=False, timeout=5
            )
        finally:
            pool.close()

    def play(
        self, addresses: Iterator[str], seconds: float
    ) -> list[urllib3.BaseHTTPResponse]:
        answers: list[urllib3.BaseHTTPResponse] = []
        for number in range(int(seconds * ASKED_PER_S)):
            address = next(addresses)
            eventlet.spawn_n(
                lambda a, n: answers.append(self.ask(a, n)), address, number
            )
            eventlet.sleep(1 / ASKED_PER_S)
        eventlet.sleep(0.5)
        return answers

    def most_in_a_window(self) -> int:
        arrivals = sorted(
            at
            for leaf in self.site.leaves
            for at in leaf.arrivals_s
            if leaf.leaf_id.startswith("visits")
        )
        return max(
            sum(begin <= at < begin + WINDOW_S for at in arrivals) for begin in arrivals
        )

    def test_quota_holds_over_all_daemons_and_refused_clients_learn_when(self) -> None:
        every = itertools.cycle([daemon.front_address for daemon in self.daemons])
        answers = self.play(every, WINDOW_S + 1)
        statuses = {answer.status for answer in answers}
        self.assertEqual(statuses, {200, 429})
        self.assertLessEqual(self.most_in_a_window(), ALLOWED)
        for answer in answers:
            if answer.status == 429:
                self.assertGreater(float(answer.headers["Retry-After"]), 0)
                self.assertEqual(json.loads(answer.data), {"code": "over_quota"})

    def test_each_registration_says_that_its_daemon_grants(self) -> None:
        # Otherwise each start of a daemon needs a claim, which a lost VM holds up.
        members = self.daemons[0].gateway.members
        self.site.wait_for(
            lambda: all(member.grants for member in members.values()),
            "all registrations have the right to grant",
        )
        self.assertEqual(len(members), DAEMONS)

    def test_account_without_a_rate_has_no_limit(self) -> None:
        self.put_account(3, RatePerS=0)
        first = itertools.repeat(self.daemons[0].front_address)
        self.assertEqual({answer.status for answer in self.play(first, 1.5)}, {200})


class QuotaSettingsTest(unittest.TestCase):
    """A bound that is not read leaves a daemon with another bound than the users'."""

    def test_bounds_are_read_and_have_defaults(self) -> None:
        whole = json.loads(wire_samples.settings_text("vm-1", "127.0.0.1:9"))
        named = {"QuotaWindowS": 2.5, "QuotaOverage": 0.25, "QuotaSlack": 7}
        for bounds, expected in ((named, (2_500, 0.25, 7)), ({}, (5_000, 0.1, 20))):
            text = json.dumps({**whole, "Bounds": bounds}).encode()
            limits = settings.decode(text)[0].limits
            found = (limits.quota_window_ms, limits.quota_overage, limits.quota_slack)
            self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
