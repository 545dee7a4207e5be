"""Tests of admission control."""

import unittest

from amaranthpulley.coordination import admission, engine, events
from amaranthpulley.state import daemon, requests
from amaranthpulley.state.control import topology

_SERVICE = topology.Service("stock", topology.ServiceKind.SEARCH)
_REQUEST = requests.SearchRequest("r1", "c", "stock", "query")


class _UnhandledPurpose(tuple):
    """Purpose of a timer without a handler."""


class UnknownServiceTest(unittest.TestCase):
    """Requests for a service that is in no ticket the daemon has read."""

    def test_a_daemon_that_may_be_behind_sends_them_elsewhere(self) -> None:
        identity = daemon.Identity("vm-1", "10.0.0.1:1", "Pokhara", "Pokhara", "l1")
        tables = daemon.Daemon(identity, daemon.Limits())
        codes = requests.RefusalCode
        cases = ((True, codes.NOT_READY), (False, codes.UNKNOWN_SERVICE))
        for suspended, code in cases:
            with self.subTest(suspended=suspended):
                tables.configuration.suspended = suspended
                refusal = admission.admit(
                    tables, _REQUEST, topology.ServiceKind.SEARCH, 0
                )
                self.assertIs(refusal.code, code)
                self.assertTrue(refusal.not_run)


class AdmissionTest(unittest.TestCase):
    """Requests that arrive while the event loop is late."""

    def setUp(self) -> None:
        identity = daemon.Identity("vm-1", "10.0.0.1:1", "Pokhara", "Pokhara", "l1")
        self.daemon = daemon.Daemon(identity, daemon.Limits())
        ticket = topology.ChangeTicket(1, services=(_SERVICE,))
        self.daemon.configuration.apply(ticket)

    def _admit(self, now_ms: int) -> object:
        return admission.admit(
            self.daemon, _REQUEST, topology.ServiceKind.SEARCH, now_ms
        )

    def _handle_timer(self, due_ms: int, now_ms: int) -> None:
        due = events.TimerDue(_UnhandledPurpose(), due_ms)
        with self.assertRaises(engine.errors.UnknownEventError):
            engine.step(self.daemon, due, now_ms, lambda: 0.5)

    def test_late_loop_accepts_no_request_until_it_has_caught_up(self) -> None:
        limit_ms = self.daemon.limits.maximum_lateness_ms
        self._handle_timer(due_ms=0, now_ms=limit_ms)
        self.assertIsInstance(self._admit(limit_ms), admission.Admitted)
        self._handle_timer(due_ms=0, now_ms=limit_ms + 1)
        refusal = self._admit(limit_ms + 1)
        self.assertIs(refusal.code, requests.RefusalCode.OVERLOADED)
        self.assertTrue(refusal.not_run)
        self.assertIsInstance(self._admit(limit_ms + 2_001), admission.Admitted)
