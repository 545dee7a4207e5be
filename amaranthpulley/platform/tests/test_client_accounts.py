"""Tests of the decoding of client accounts and the removal of their keys."""

import json
import unittest
from typing import Any

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.platform import client_accounts, entries, names
from amaranthpulley.platform.tests import wire_samples
from amaranthpulley.protocol.forwarding import key_digests
from amaranthpulley.state import store
from amaranthpulley.state.forwarding import routes
from amaranthpulley.state.forwarding.client_accounts import accounts

RED: dict[str, Any] = {"Name": "red", "ApiKeys": ["secret-1", "secret-2"]}


def _text(tenants: object, **changes: object) -> bytes:
    found = wire_samples.configuration(4, wire_samples.route(**changes))
    return json.dumps({**found, "Tenants": tenants}).encode()


def _event(text: bytes) -> events.Event | None:
    return entries.decode(store.Change(names.CONFIGURATION_KEY, 1, text))


def _decoded(tenants: object, **changes: object) -> routes.Configuration:
    """Return a configuration as it is read from the store."""
    text = client_accounts.without_keys(_text(tenants, **changes))
    return _event(text).configuration


def _holder(found: routes.Configuration, key: str) -> accounts.Account | None:
    return found.accounts.holder_of(key_digests.digest_of(key.encode()))


class TenantsTest(unittest.TestCase):
    """Client accounts in the operators' configuration."""

    def test_fields(self) -> None:
        whole = {
            **RED,
            "Priority": 0,
            "RatePerS": 12.5,
            "Burst": 13,
            "AllowedRegions": ["a", "b"],
        }
        expected = accounts.Account("red", 0, frozenset({"a", "b"}), 12.5, 13.0)
        for key in RED["ApiKeys"]:
            self.assertEqual(_holder(_decoded([whole]), key), expected)

    def test_optional_fields(self) -> None:
        expected = accounts.Account("red", None, frozenset(), 0.0, 0.0)
        fields = ("Priority", "RatePerS", "Burst", "AllowedRegions")
        empty = dict.fromkeys(fields)
        for changes in ({}, empty, {"RatePerS": 0, "AllowedRegions": []}):
            with self.subTest(changes):
                found = _decoded([{**RED, **changes}])
                self.assertEqual(_holder(found, "secret-1"), expected)

    def test_without_the_field_there_are_no_accounts(self) -> None:
        text = json.dumps(wire_samples.configuration(4, wire_samples.route()))
        self.assertEqual(client_accounts.without_keys(text.encode()), text.encode())
        self.assertIsNone(_event(text.encode()).configuration.accounts)
        self.assertIsNone(_decoded(None).accounts)

    def test_an_empty_list_lets_nobody_in(self) -> None:
        # Guards against the removal of the last account that opens all routes.
        found = _decoded([])
        self.assertEqual(found.accounts, accounts.AccountTable({}, {}))

    def test_the_last_key_of_an_account(self) -> None:
        for keys in ([], None, [""]):
            with self.subTest(keys):
                found = _decoded([{**RED, "ApiKeys": keys}])
                self.assertEqual(found.accounts, accounts.AccountTable({}, {}))
        without = {"Name": "red"}
        self.assertEqual(_decoded([without]).accounts, accounts.AccountTable({}, {}))

    def test_a_key_at_two_accounts_belongs_to_the_first(self) -> None:
        blue = {"Name": "blue", "ApiKeys": ["secret-2", "secret-1", "blue-1"]}
        found = _decoded([RED, blue])
        holders = [_holder(found, f"secret-{n}").name for n in (1, 2)]
        self.assertEqual(holders, ["red", "red"])
        self.assertEqual(_holder(found, "blue-1").name, "blue")
        shared = (accounts.SharedKeys("red", "blue", 2),)
        self.assertEqual(found.accounts.shared_keys, shared)

    def test_of_two_accounts_with_a_name_the_first_limits_apply(self) -> None:
        second = {"Name": "red", "ApiKeys": ["secret-3"], "RatePerS": 5}
        found = _decoded([{**RED, "RatePerS": 1}, second])
        for number in (1, 2, 3):
            self.assertEqual(_holder(found, f"secret-{number}").rate_per_s, 1.0)

    def test_thousands_of_keys(self) -> None:
        tenants = [
            {"Name": f"a{n}", "ApiKeys": [f"key-{n}-{k}" for k in range(10)]}
            for n in range(800)
        ]
        text = client_accounts.without_keys(_text(tenants))
        self.assertNotIn(b"key-", text)
        found = _event(text).configuration
        self.assertEqual(len(found.accounts.names_by_key), 8_000)
        self.assertEqual(_holder(found, "key-799-9").name, "a799")
        self.assertIsNone(_holder(found, "key-800-0"))

    def test_anonymous_routes(self) -> None:
        for value, expected in ((True, True), (False, False), (None, False)):
            table = _decoded([RED], Anonymous=value).routes[wire_samples.HOST]
            self.assertEqual(table["/wide/"].anonymous, expected)
        table = _decoded([RED]).routes[wire_samples.HOST]
        self.assertFalse(table["/wide/"].anonymous)

    def test_malformed_accounts_leave_the_version_before_in_force(self) -> None:
        names_and_types: tuple[object, ...] = (
            *("secret-1", 7, {"secret-1": 1}, ["secret-1"], [None], [[RED]]),
            *([{**RED, "Name": name}] for name in ("", " a", "a ", "a\n", "a\r\nX: b")),
            *([{**RED, "Name": name}] for name in (None, 7, "a\0", "a  b", "a\tb")),
            [{"ApiKeys": ["secret-1"]}],
            *([{**RED, "ApiKeys": keys}] for keys in ("secret-1", ["secret-1", 7])),
            *([{**RED, "ApiKeys": keys}] for keys in ({"secret-1": 1}, 7)),
            *([{**RED, "Priority": value}] for value in ("1", 1.5, True)),
            *([{**RED, "RatePerS": value}] for value in ("1", -1, [])),
            *([{**RED, "Burst": value}] for value in ("1", -1, [])),
            *([{**RED, "AllowedRegions": value}] for value in ("a", [1])),
        )
        for tenants in names_and_types:
            with self.subTest(tenants):
                text = client_accounts.without_keys(_text(tenants))
                found = _event(text)
                self.assertIsInstance(found, events.ItemUnreadable)
                # Neither the copy nor the log line may show a key.
                self.assertNotIn(b"secret", text)
                self.assertNotIn("secret", found.reason)


class WithoutKeysTest(unittest.TestCase):
    """The copy of the configuration that daemons keep and pass on."""

    def test_the_copy_has_digests_and_all_other_fields(self) -> None:
        whole = {**RED, "RatePerS": 5, "Burst": 7, "Priority": 1}
        text = client_accounts.without_keys(_text([whole, {"Name": "blue"}]))
        self.assertNotIn(b"secret", text)
        found, expected = json.loads(text), json.loads(_text([]))
        first, second = found.pop("Tenants")
        del expected["Tenants"]
        self.assertEqual(found, expected)
        digests = first.pop("KeyDigests")
        self.assertEqual(len(digests), 2)
        del whole["ApiKeys"]
        self.assertEqual(first, whole)
        self.assertEqual(second, {"Name": "blue", "KeyDigests": []})

    def test_numbers_outside_the_accounts_stay_as_they_are_written(self) -> None:
        text = b'{"Limits":{"a":1.50,"b":123456789012345678901234},"Tenants":[]}'
        self.assertEqual(client_accounts.without_keys(text), text)

    def test_the_same_text_has_the_same_copy(self) -> None:
        # Daemons recognise an item of a restored store by its value.
        copies = {client_accounts.without_keys(_text([RED])) for _ in range(3)}
        self.assertEqual(len(copies), 1)

    def test_unknown_fields_of_an_account_are_left_out(self) -> None:
        text = client_accounts.without_keys(_text([{**RED, "OldKeys": ["secret-0"]}]))
        self.assertNotIn(b"secret", text)

    def test_digests_in_the_store_are_no_keys(self) -> None:
        # Only daemons write digests; the store's item has keys.
        digest = key_digests.digest_of(b"secret-9").hex()
        found = _decoded([{"Name": "red", "KeyDigests": [digest]}])
        self.assertIsNone(_holder(found, "secret-9"))

    def test_what_is_no_configuration_is_not_kept(self) -> None:
        whole = _text([RED])
        hidden = whole.replace(b"Tenants", b"\\u0054enants")
        for text in (whole[:-1], whole[300:], hidden[:-1], b"[" + whole + b"]"):
            with self.subTest(text[:20]):
                self.assertEqual(client_accounts.without_keys(text), b"")

    def test_keys_in_another_encoding_are_not_kept(self) -> None:
        # Guards against readable keys in the copy for other daemons when an operator's
        # editor has saved the configuration as UTF-16.
        for encoding in ("utf-16", "utf-16-le", "utf-16-be", "utf-32"):
            with self.subTest(encoding):
                text = _text([RED]).decode().encode(encoding)
                self.assertEqual(client_accounts.without_keys(text), b"")

    def test_keys_under_an_escaped_name_are_replaced(self) -> None:
        hidden = _text([RED]).replace(b"ApiKeys", b"\\u0041piKeys")
        text = client_accounts.without_keys(
            hidden.replace(b"Tenants", b"\\u0054enants")
        )
        self.assertNotIn(b"secret", text)
        self.assertEqual(_holder(_event(text).configuration, "secret-1").name, "red")

    def test_what_has_no_accounts_stays_as_it_is(self) -> None:
        # The log line about it names the place of the fault.
        for text in (b'{"Version": 1', b"[]", b"\xff", b""):
            with self.subTest(text):
                self.assertEqual(client_accounts.without_keys(text), text)

    def test_keys_that_an_earlier_daemon_passes_on_are_read(self) -> None:
        found = _event(_text([RED])).configuration
        self.assertEqual(_holder(found, "secret-1").name, "red")
