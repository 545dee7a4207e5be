"""Tests of the HTTP client for targets."""

import unittest
from unittest import mock

import urllib3

from amaranthpulley.coordination import commands, events
from amaranthpulley.protocol import leaf_api
from amaranthpulley.state.control import topology
from amaranthpulley.transport import target_client

_TARGET = topology.Target("t", "stock", 0, "s", "Pokhara", "127.0.0.1:9")
_COMMAND = commands.SendAttempt(
    "a1", "r1", _TARGET, commands.SearchCall("q", None, None), 50
)


def _response(body: bytes) -> mock.Mock:
    return mock.Mock(status=503, read=mock.Mock(side_effect=[body, b""]))


class TargetClientTest(unittest.TestCase):
    """Failures of attempts, and the connections of later attempts."""

    def _failure_with(
        self, client: target_client.TargetClient, **behaviour: object
    ) -> str:
        pool = client._pool(_TARGET)
        with mock.patch.object(pool, "urlopen", **behaviour):
            return client.attempt(_COMMAND).failure

    def test_attempt_after_a_timeout_uses_a_new_connection(self) -> None:
        client = target_client.TargetClient()
        before = client._pool(_TARGET)
        timeout = urllib3.exceptions.ReadTimeoutError(before, "/search", "silent")
        failure = self._failure_with(client, side_effect=timeout)
        self.assertIs(failure, events.Failure.TIMED_OUT)
        self.assertIsNot(client._pool(_TARGET), before)

    def test_refusal_code_determines_whether_a_part_may_have_run(self) -> None:
        load = leaf_api.LoadBody(boot_id="b", busy_slots=0, versions=[1])
        cases = {"shed": True, "version_gone": True, "cancelled": False}
        for code, not_run in cases.items():
            with self.subTest(code):
                body = leaf_api.json_codec.encode(
                    leaf_api.RefusalBody(attempt_id="a1", code=code, load=load)
                )
                response = _response(body)
                client = target_client.TargetClient()
                failure = self._failure_with(client, return_value=response)
                self.assertIs(failure.not_run, not_run)

    def test_answer_to_another_attempt_is_malformed(self) -> None:
        load = leaf_api.LoadBody(boot_id="b", busy_slots=0, versions=[1])
        body = leaf_api.json_codec.encode(
            leaf_api.RefusalBody(attempt_id="a2", code="shed", load=load)
        )
        response = _response(body)
        failure = self._failure_with(
            target_client.TargetClient(), return_value=response
        )
        self.assertIs(failure, events.Failure.MALFORMED)
