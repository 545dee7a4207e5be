"""Tests of how requests get their account, and of what follows from it."""

import unittest

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.client_accounts.tests import account_site
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import delegations, requests

UNKNOWN_KEY = b"unknown"


class IdentificationTest(unittest.TestCase):
    """Which requests are accepted, and what leaves learn of their account."""

    def test_a_valid_key_identifies_the_account(self) -> None:
        for path in ("/visit/1", "/wide/1"):
            for digest, holder in (
                (account_site.RED_KEY, account_site.RED),
                (account_site.BLUE_KEY, account_site.BLUE),
            ):
                with self.subTest(path, account=holder.name):
                    found = account_site.AccountSite()
                    key = found.ask(path, digest)
                    names = {s.command.account for s in found.site.sends_of(key)}
                    self.assertEqual(names, {holder.name})
                    self.assertEqual(found.site.gateway.requests[key].account, holder)

    def test_no_valid_key_is_refused_at_once(self) -> None:
        # Guards against a leaf that gets a request of an unknown client, and against a
        # Retry-After that makes the client come back with the same key.
        for digest, cause in ((None, "no_key"), (UNKNOWN_KEY, "unknown_key")):
            for path in ("/visit/1", "/wide/1"):
                with self.subTest(path, cause=cause):
                    found = account_site.AccountSite()
                    key = found.ask(path, digest)
                    self.assertEqual(
                        found.site.answers[key],
                        commands.Refuse(key, commands.Refusal.UNAUTHORIZED, True, 0),
                    )
                    self.assertEqual(found.site.sent, [])
                    counters = found.site.gateway.counters
                    name = "forward_unauthorized_total"
                    self.assertEqual(counters.total(name, cause=cause), 1)
                    (line,) = found.site.logs_of(log_events.FORWARD_REFUSED)
                    self.assertEqual(line["reason"], "unauthorized")

    def test_unknown_clients_leave_log_lines_to_others(self) -> None:
        # Guards against a flood of requests without a key that hides all other
        # refusals from the operators.
        found = account_site.AccountSite()
        for _ in range(1_000):
            found.ask(key_digest=UNKNOWN_KEY)
        found.ask("/none/1")
        lines = found.site.logs_of(log_events.FORWARD_REFUSED)
        self.assertLess(len(lines), 200)
        self.assertEqual(lines[-1]["reason"], "no_route")

    def test_an_anonymous_route_needs_no_key_and_names_no_account(self) -> None:
        route = gateway_site.single(anonymous=True)
        for digest in (None, UNKNOWN_KEY, account_site.RED_KEY):
            with self.subTest(digest):
                found = account_site.AccountSite(route)
                key = found.ask(key_digest=digest)
                (sent,) = found.site.sends_of(key)
                self.assertEqual(sent.command.account, "")
                self.assertIsNone(found.site.gateway.requests[key].account)

    def test_without_accounts_headers_stay_as_they_are(self) -> None:
        for digest in (None, UNKNOWN_KEY):
            with self.subTest(digest):
                found = account_site.AccountSite(accounts=None)
                key = found.ask(key_digest=digest)
                (sent,) = found.site.sends_of(key)
                self.assertIsNone(sent.command.account)

    def test_without_a_last_key_nobody_is_let_in(self) -> None:
        # Guards against a table without keys that counts as no table.
        found = account_site.AccountSite(accounts=account_site.table())
        key = found.ask()
        self.assertIs(found.site.answers[key].reason, commands.Refusal.UNAUTHORIZED)

    def test_an_unknown_route_is_not_found_whatever_the_key(self) -> None:
        found = account_site.AccountSite()
        for digest in (None, account_site.RED_KEY):
            key = found.ask("/none/1", digest)
            self.assertIs(found.site.answers[key].reason, commands.Refusal.NO_ROUTE)

    def test_a_daemon_without_a_configuration_says_so(self) -> None:
        # Guards against 401, which clients do not repeat, while the keys are unknown.
        site = gateway_site.GatewaySite()
        key = site.request(key_digest=account_site.RED_KEY)
        self.assertIs(site.answers[key].reason, commands.Refusal.NO_CONFIGURATION)


class DelegatedAccountTest(unittest.TestCase):
    """Requests whose account another daemon has found."""

    def _receive(
        self, found: account_site.AccountSite, account: str, path: str = "/wide/1"
    ) -> int:
        origin = delegations.Origin(found.version, 0, account)
        incoming = requests.IncomingRequest(
            77, "r77", gateway_site.HOST, path, (77,), 800, origin
        )
        found.site.feed(events.RequestArrived(incoming))
        return 77

    def test_the_named_account_applies(self) -> None:
        limited = account_site.account("blue", regions=frozenset({"b"}))
        found = account_site.AccountSite(accounts=account_site.table(blue=limited))
        key = self._receive(found, "blue")
        sends = found.site.sends_of(key)
        self.assertEqual({sent.command.account for sent in sends}, {"blue"})
        chosen = {sent.command.leaf_id for sent in sends}
        self.assertEqual(chosen, {f"{shard}-2" for shard in gateway_site.SHARDS})

    def test_what_cannot_be_applied_is_handed_back(self) -> None:
        # Guards against 401 for a client whose key the accepting daemon has checked.
        for account in ("", "unknown"):
            with self.subTest(account):
                found = account_site.AccountSite()
                key = self._receive(found, account)
                refused = found.site.answers[key]
                self.assertIs(refused.reason, commands.Refusal.OTHER_VERSION)
                self.assertTrue(refused.not_run)
                self.assertEqual(found.site.sent, [])

    def test_an_anonymous_route_has_no_account_there_either(self) -> None:
        found = account_site.AccountSite(gateway_site.route(anonymous=True))
        key = self._receive(found, "")
        names = {sent.command.account for sent in found.site.sends_of(key)}
        self.assertEqual(names, {""})


class AccountLimitsTest(unittest.TestCase):
    """Regions and priority of an account, together with the route's."""

    def test_account_and_route_must_both_allow_a_region(self) -> None:
        both = frozenset({"a", "b"})
        cases = (
            (frozenset(), frozenset(), both),
            (frozenset({"a"}), frozenset(), {"a"}),
            (frozenset(), frozenset({"b"}), {"b"}),
            (both, frozenset({"b"}), {"b"}),
            (frozenset({"a"}), both, {"a"}),
        )
        for of_account, of_route, expected in cases:
            with self.subTest(account=of_account, route=of_route):
                limited = account_site.account("red", regions=of_account)
                found = account_site.AccountSite(
                    gateway_site.single(regions=of_route, maximum_leaves=9),
                    accounts=account_site.table(red=limited),
                )
                # The leaf in the other region is used when the others are full.
                for _ in range(20):
                    found.ask()
                regions = {
                    found.site.gateway.directory.get(sent.command.leaf_id).region
                    for sent in found.site.sent
                }
                self.assertEqual(regions, expected)

    def test_without_a_common_region_a_request_is_refused_as_not_run(self) -> None:
        # Guards against an empty set of regions that counts as all of them.
        limited = account_site.account("red", regions=frozenset({"a"}))
        elsewhere = {"regions": frozenset({"b"})}
        for path in ("/visit/1", "/wide/1"):
            with self.subTest(path):
                found = account_site.AccountSite(
                    gateway_site.single(**elsewhere),
                    gateway_site.route(**elsewhere),
                    accounts=account_site.table(red=limited),
                )
                key = found.ask(path)
                refused = found.site.answers[key]
                self.assertIs(refused.reason, commands.Refusal.NO_REGION)
                self.assertTrue(refused.not_run)
                self.assertGreater(refused.retry_after_ms, 0)
                self.assertEqual(found.site.sent, [])

    def test_waiting_requests_go_by_the_account_then_by_the_route(self) -> None:
        urgent = gateway_site.single(name="u", prefix="/urgent/", priority=0)
        usual = gateway_site.single(priority=2, timeout_ms=4_000)
        urgent = urgent._replace(timeout_ms=4_000)
        found = account_site.AccountSite(
            urgent,
            usual,
            accounts=account_site.table(
                first=account_site.account("first", priority=1),
                last=account_site.account("last", priority=3),
                plain=account_site.account("plain"),
            ),
            entries=(gateway_site.entry("visits-0", "visits"),),
        )
        asked = (
            *(("/visit/1", b"last"), ("/urgent/1", b"last"), ("/visit/1", b"plain")),
            *(("/visit/1", b"first"), ("/urgent/1", b"first"), ("/urgent/1", b"plain")),
        )
        leaf = found.site.gateway.directory.get("visits-0")
        leaf.full_until_ms = found.site.now_ms + 100
        keys = [found.site.request(path, 4_000, (), key) for path, key in asked]
        self.assertEqual(found.site.sent, [])
        found.site.advance(150)
        while len(found.site.sent) < len(asked):
            found.site.reply(found.site.sent[-1], gateway_site.answer())
            found.site.advance(1)
        order = [sent.command.request_key for sent in found.site.sent]
        self.assertEqual(order, [keys[n] for n in (5, 4, 3, 2, 1, 0)])
