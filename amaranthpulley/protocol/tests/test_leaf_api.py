"""Tests of the messages between a daemon and the targets."""

import json
import unittest
from typing import Any

from amaranthpulley.coordination import commands, events
from amaranthpulley.protocol import errors, leaf_api
from amaranthpulley.state import requests
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import keyspace

_TARGET = topology.Target("leaf-1", "stock", 0, "s0", "Pokhara", "10.1.0.1:80")
_LOAD = {"boot_id": "b", "busy_slots": 1, "versions": [2, 1]}
_ANSWER = {
    "attempt_id": "a1",
    "version": 2,
    "ranges": [[0, 10]],
    "rows": [[3, "key", "value"]],
    "load": _LOAD,
}


def _call(call: commands.SearchCall | commands.OrderCall) -> dict[str, Any]:
    command = commands.SendAttempt("a1", "r1", _TARGET, call, 150)
    return json.loads(leaf_api.encode_call(command))


class LeafApiTest(unittest.TestCase):
    """Requests to targets and their answers."""

    def test_search_omits_missing_fields(self) -> None:
        common = {"attempt_id": "a1", "request_id": "r1", "deadline_ms": 150}
        cases = {
            "whole": (commands.SearchCall("q", None, None), {"query": "q"}),
            "pinned": (
                commands.SearchCall("q", None, 7),
                {"query": "q", "version": 7},
            ),
            "look-up": (
                commands.SearchCall("q", "k", None),
                {"query": "q", "key": "k"},
            ),
        }
        for name, (call, fields) in cases.items():
            with self.subTest(name):
                self.assertEqual(_call(call), common | fields)

    def test_answer_is_decoded(self) -> None:
        attempt_id, part, load = leaf_api.decode_search_answer(json.dumps(_ANSWER))
        self.assertEqual(attempt_id, "a1")
        self.assertEqual(part.ranges, (keyspace.KeyRange(0, 10),))
        self.assertEqual(part.rows, (requests.Row(3, "key", "value"),))
        self.assertEqual(leaf_api.load_of(load).versions, (1, 2))

    def test_refusal_codes_are_mapped(self) -> None:
        cases = {
            "shed": events.Failure.REFUSED,
            "version_gone": events.Failure.VERSION_GONE,
            "anything else": events.Failure.REFUSED,
        }
        for code, failure in cases.items():
            with self.subTest(code):
                body = json.dumps({"attempt_id": "a1", "code": code, "load": _LOAD})
                self.assertIs(leaf_api.decode_refusal(body)[1], failure)

    def test_wrong_answers_name_the_path(self) -> None:
        cases = {
            "no JSON": (b"{", ""),
            "no load": ({k: v for k, v in _ANSWER.items() if k != "load"}, "load"),
            "version as text": (_ANSWER | {"version": "2"}, "$.version"),
            "range reversed": (_ANSWER | {"ranges": [[5, 1]]}, "$.ranges[0]"),
            "range empty": (_ANSWER | {"ranges": [[0, 1], [5, 5]]}, "$.ranges[1]"),
            "range too long": (_ANSWER | {"ranges": [[0, 1 << 40]]}, "$.ranges[0]"),
            "row too short": (_ANSWER | {"rows": [[3, "key"]]}, "$.rows[0]"),
        }
        for name, (answer, path) in cases.items():
            with self.subTest(name):
                body = answer if isinstance(answer, bytes) else json.dumps(answer)
                with self.assertRaises(errors.MalformedMessageError) as caught:
                    leaf_api.decode_search_answer(body)
                self.assertIn(path, str(caught.exception))
