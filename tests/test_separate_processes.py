"""Tests of the request path with each component in its own process."""

import signal
import unittest

from tests import process_site


class SeparateProcessesTest(unittest.TestCase):
    """Requests through processes that communicate only over sockets."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.site = process_site.ProcessSite()
        cls.addClassCleanup(cls.site.close)
        cls.site.wait_until_ready()

    def test_search_is_complete_and_names_its_version(self) -> None:
        answer = self.site.search("vm-1", "item-01")
        keys = sorted(row["key"] for row in answer["rows"])
        self.assertEqual(keys, [f"item-{number:04d}" for number in range(100, 200)])
        self.assertEqual((answer["coverage"], answer["version"]), (1.0, 1))

    def test_look_up_finds_its_key(self) -> None:
        body = {"customer": "c", "service": "stock", "query": "", "key": "item-0042"}
        answer = self.site.post("vm-1", "search", body)
        self.assertEqual([row["key"] for row in answer["rows"]], ["item-0042"])
        self.assertEqual(answer["coverage"], 1.0)

    def test_repeated_order_gets_the_first_result(self) -> None:
        first = self.site.order("vm-1", "order-1")
        second = self.site.order("vm-1", "order-1")
        self.assertEqual((first["outcome"], first["repeated"]), ("done", False))
        self.assertEqual((second["outcome"], second["repeated"]), ("done", True))
        self.assertEqual(first["result"], second["result"])


class DaemonTerminationTest(unittest.TestCase):
    """Termination of a daemon by signals."""

    def _start(self, drain_grace_ms: int) -> process_site.SiteDaemon:
        site = process_site.ProcessSite(drain_grace_ms=drain_grace_ms)
        self.addCleanup(site.close)
        return site.daemons["vm-1"]

    def test_sigterm_ends_an_idle_daemon_with_0(self) -> None:
        daemon = self._start(drain_grace_ms=500)
        daemon.process.send(signal.SIGTERM)
        self.assertEqual(daemon.process.wait(), 0)

    def test_second_signal_ends_a_daemon_at_once(self) -> None:
        # Long enough for the drain to last until the second signal on a slow machine.
        daemon = self._start(drain_grace_ms=60_000)
        daemon.process.send(signal.SIGTERM)
        daemon.wait_for_event("drain_started")
        daemon.process.send(signal.SIGTERM)
        self.assertEqual(daemon.process.wait(), 1)
        daemon.wait_for_event("drain_cut_short")


if __name__ == "__main__":
    unittest.main()
