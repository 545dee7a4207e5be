"""Tests of the decoding of the store's items."""

import json
import unittest
from typing import Any

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.platform import entries, names
from amaranthpulley.platform.tests import wire_samples
from amaranthpulley.state import store
from amaranthpulley.state.forwarding import gateway

LEAF: dict[str, Any] = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "a1",
    "Version": "v1",
    "Capacity": 2,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Sequence": 4,
    "born": 1_000,
}
KEY = names.LEAF_PREFIX + "i-1"


def _decoded(key: str, value: object) -> events.Event | None:
    if value is not None and not isinstance(value, bytes):
        value = json.dumps(value).encode()
    return entries.decode(store.Change(key, 1, value))


class LeafEntryTest(unittest.TestCase):
    """Valid and malformed entries of leaves."""

    def test_leaf_entry_is_decoded(self) -> None:
        event = _decoded(KEY, {**LEAF, "State": "draining", "Unknown": [1]})
        self.assertEqual(event.entry.leaf_id, "i-1")
        self.assertTrue(event.entry.draining)
        self.assertEqual(event.entry.born_ms, 1_000)

    def test_malformed_entry_is_unreadable(self) -> None:
        changes: list[dict[str, Any]] = [
            {"Service": None},
            {"Service": 4},
            {"Address": "nowhere"},
            {"Address": ":80"},
            {"Address": "10.0.0.1:x"},
            {"Zone": []},
            {"Capacity": "2"},
            {"Capacity": 0},
            {"Capacity": True},
            {"State": "odd"},
            {"WarmupLeftMs": "soon"},
            {"born": "1000"},
            {"born": 1.5},
        ]
        cases: list[object] = [{**LEAF, **change} for change in changes]
        for name in ("Service", "Address", "Zone", "Capacity", "State", "Sequence"):
            cases.append({key: LEAF[key] for key in LEAF if key != name})
        cases += [b"", b"{", b"\xff\xfe", [], "text", 7]
        for value in cases:
            with self.subTest(value):
                event = _decoded(KEY, value)
                self.assertIsInstance(event, events.ItemUnreadable)
                self.assertEqual((event.key, event.leaf_id), (KEY, "i-1"))

    def test_entry_with_an_odd_address_is_unreadable(self) -> None:
        for address in (
            "10.0.0.1:0",
            "10.0.0.1:99999",
            "10.0.0.1:-1",
            "10.0.0.1:+80",
            "10.0.0.1:8_0",
            "10.0.0.1:\u0663\u0664",
            "10.0.0.1:" + "9" * 5_000,
            "10.0.0.256:80",
            "10.0.0:80",
            "leaf.example:80",
            "10.0.0.1:80\r\nX-Other: 1",
            " 10.0.0.1:80",
        ):
            with self.subTest(address[:40]):
                event = _decoded(KEY, {**LEAF, "Address": address})
                self.assertIsInstance(event, events.ItemUnreadable)

    def test_entry_with_a_number_out_of_range_is_unreadable(self) -> None:
        whole = json.dumps(LEAF)
        for field in ("Capacity", "WarmupLeftMs", "born"):
            for number in ("-1", "1" * 400, "9" * 30, "1e999", "1e30"):
                text = whole.replace(
                    f'"{field}": {LEAF[field]}', f'"{field}": {number}'
                )
                with self.subTest(field, number=number[:20]):
                    self.assertNotEqual(text, whole)
                    event = _decoded(KEY, text.encode())
                    self.assertIsInstance(event, events.ItemUnreadable)

    def test_deeply_nested_entry_is_unreadable(self) -> None:
        for depth in (5_000, 200_000):
            nested = b"[" * depth + b"]" * depth
            for value in (
                nested,
                json.dumps(LEAF).encode()[:-1] + b',"x":%b}' % nested,
            ):
                with self.subTest(depth=depth, size=len(value)):
                    event = _decoded(KEY, value)
                    self.assertIsInstance(event, events.ItemUnreadable)

    def test_entry_whose_key_is_no_identity_names_no_leaf(self) -> None:
        for leaf_id in ("", "i-1\r\nX-Other: 1", "i 1", "i-1\x00", "i-\u00e9"):
            with self.subTest(leaf_id):
                event = _decoded(names.LEAF_PREFIX + leaf_id, LEAF)
                self.assertIsInstance(event, events.ItemUnreadable)
                self.assertIsNone(event.leaf_id)

    def test_deletion_names_the_leaf(self) -> None:
        self.assertEqual(_decoded(KEY, None), events.LeafDeleted("i-1"))


class OtherItemsTest(unittest.TestCase):
    """Configuration, evacuations, daemons, and unused keys."""

    def test_configuration_is_decoded(self) -> None:
        weighted = [{"Service": "x", "Weight": 3}, {"Service": "y", "Weight": 1}]
        written = wire_samples.configuration(
            7,
            wire_samples.route(),
            wire_samples.visit_route(
                Service=None, WeightedBackends=weighted, RouteType="non_idempotent"
            ),
        )
        read = _decoded(names.CONFIGURATION_KEY, written).configuration
        table = read.routes[wire_samples.HOST]
        self.assertEqual(read.version, 7)
        self.assertEqual(table["/wide/"].shards, wire_samples.SHARDS)
        self.assertTrue(table["/wide/"].idempotent)
        self.assertFalse(table["/visit/"].idempotent)
        self.assertEqual([s.weight for s in table["/visit/"].services], [3.0, 1.0])

    def test_malformed_configuration_is_unreadable(self) -> None:
        for value in (b"{", {"Version": 1}, {"Version": "x", "Routes": []}):
            with self.subTest(value):
                event = _decoded(names.CONFIGURATION_KEY, value)
                self.assertIsInstance(event, events.ItemUnreadable)
                self.assertIsNone(event.leaf_id)

    def test_registration_with_an_odd_address_is_unreadable(self) -> None:
        usual = {"failure_domain": "a1", "address": "10.0.0.1:80"}
        for change in (
            {"address": "10.0.0.1:99999"},
            {"address": "vm:80"},
            {"delegate_address": "10.0.0.1:99999"},
            {"delegate_address": "x"},
        ):
            with self.subTest(change):
                event = _decoded(names.DAEMON_PREFIX + "vm", {**usual, **change})
                self.assertIsInstance(event, events.ItemUnreadable)

    def test_the_right_to_grant_counts_in_the_era_of_its_writing_only(self) -> None:
        member = gateway.Member("a1", "10.0.0.1:80", "", 1.0)
        usual = entries.encode_daemon(member)
        # Earlier versions compare the value with their own, so nothing is added to it.
        self.assertNotIn(b"grants", usual)
        granting = entries.with_grants(usual, 2)
        self.assertEqual(entries.without_grants(granting), usual)
        key = names.DAEMON_PREFIX + "vm"
        cases = ((granting, 2, True), (granting, 3, False), (usual, 0, False))
        for value, era, grants in cases:
            with self.subTest(era=era):
                change = store.Change(key, store.revision_in(era, 5), value)
                expected = events.MemberChanged("vm", member._replace(grants=grants))
                self.assertEqual(entries.decode(change), expected)

    def test_other_keys(self) -> None:
        cases = {
            (names.EVACUATION_PREFIX + "a1", b"{}"): events.EvacuationChanged(
                "a1", True
            ),
            (names.EVACUATION_PREFIX + "a1", None): events.EvacuationChanged(
                "a1", False
            ),
            (names.DAEMON_PREFIX + "vm", None): events.MemberChanged("vm", None),
            ("op/other", b"x"): None,
        }
        for (key, value), expected in cases.items():
            with self.subTest(key, value=value):
                self.assertEqual(_decoded(key, value), expected)
