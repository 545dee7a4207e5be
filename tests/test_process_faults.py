"""Tests of three daemon processes while components are killed or frozen."""

import signal
import threading
import unittest
from typing import Any, Final

from tests import process_site

VMS: Final = ("vm-1", "vm-2", "vm-3")


class _FaultTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = process_site.ProcessSite(daemons=3, drain_grace_ms=1_000)
        self.addCleanup(self.site.close)
        self.site.wait_until_ready()

    def order_in_background(self, name: str, keys: list[str]) -> list[dict[str, Any]]:
        """Send orders one after another until a request fails."""
        answers: list[dict[str, Any]] = []

        def send() -> None:
            for key in keys:
                try:
                    answers.append({"key": key, **self.site.order(name, key)})
                except Exception:
                    return

        thread = threading.Thread(target=send, daemon=True)
        thread.start()
        self.addCleanup(thread.join, process_site.START_TIMEOUT_S)
        return answers


class KilledDaemonTest(_FaultTest):
    """A daemon that is killed while it handles orders."""

    def test_orders_run_at_most_once_and_go_on(self) -> None:
        keys = [f"key-{number}" for number in range(12)]
        answers = self.order_in_background("vm-1", keys)
        process_site.wait_until(lambda: len(answers) >= 3, "three orders are answered")
        self.site.daemons["vm-1"].process.send(signal.SIGKILL)
        repeated = [self.site.order(vm, key) for key in keys for vm in ("vm-2", "vm-3")]
        runs = self.site.runs()
        self.assertEqual(sorted(set(runs)), sorted(runs))
        done = [answer for answer in repeated if answer.get("outcome") == "done"]
        # Only the order that the killed daemon was handling may stay unknown.
        self.assertGreaterEqual(len(done), len(repeated) - 2)
        self.assertLessEqual({answer["key"] for answer in answers}, set(runs))


class KilledLeafTest(_FaultTest):
    """The only leaf of a shard is killed."""

    def test_coverage_is_that_of_the_other_shards(self) -> None:
        self.site.leaves[0].close()
        for vm in VMS:
            answer = self.site.search(vm)
            self.assertIn("coverage", answer, answer)
            self.assertAlmostEqual(answer["coverage"], 2 / 3, places=6)


class FrozenLeafTest(_FaultTest):
    """A leaf that is frozen and keeps its connections open."""

    def test_search_is_partial_while_frozen_and_complete_afterwards(self) -> None:
        self.site.leaves[0].send(signal.SIGSTOP)
        answer = self.site.search("vm-1")
        self.assertAlmostEqual(answer["coverage"], 2 / 3, places=6)
        self.site.leaves[0].send(signal.SIGCONT)
        self.site.wait_until_ready()


class FrozenStoreTest(_FaultTest):
    """A frozen store, which gives no answer."""

    def test_orders_are_refused_and_searches_go_on(self) -> None:
        self.site.wait_until_warm()
        self.site.store.send(signal.SIGSTOP)
        refused = [self.site.order(vm, f"key-{vm}") for vm in VMS]
        searched = [self.site.search(vm) for vm in VMS]
        self.site.store.send(signal.SIGCONT)
        for answer in refused:
            self.assertEqual(answer.get("code"), "store_unavailable", answer)
            self.assertTrue(answer["not_run"])
        found = [answer.get("coverage") for answer in searched]
        self.assertEqual(found, [1.0] * 3, searched)
        self.assertEqual(self.site.runs(), [])
        for vm in VMS:
            process_site.wait_until(
                lambda vm=vm: self.site.order(vm, f"key-{vm}").get("outcome") == "done",
                f"{vm} takes orders again",
            )
        self.assertEqual(sorted(self.site.runs()), [f"key-{vm}" for vm in VMS])


class FrozenDaemonTest(_FaultTest):
    """A daemon that is frozen and resumed."""

    def test_other_daemons_serve_and_it_resumes(self) -> None:
        self.site.daemons["vm-2"].process.send(signal.SIGSTOP)
        keys = [f"key-{number}" for number in range(4)]
        answers = [self.site.order("vm-1", key) for key in keys]
        self.site.daemons["vm-2"].process.send(signal.SIGCONT)
        self.assertEqual([answer.get("outcome") for answer in answers], ["done"] * 4)
        repeated = [self.site.order("vm-2", key) for key in keys]
        self.assertEqual([answer["repeated"] for answer in repeated], [True] * 4)
        self.assertEqual(sorted(self.site.runs()), keys)


class RollingReplacementTest(_FaultTest):
    """Every daemon is replaced under load, one after another."""

    def test_no_request_is_lost(self) -> None:
        for number, vm in enumerate(VMS):
            keys = [f"{vm}-{count}" for count in range(4)]
            answers = self.order_in_background(vm, keys)
            process_site.wait_until(lambda found=answers: found, "an order is answered")
            old = self.site.daemons[vm]
            old.process.send(signal.SIGTERM)
            replacement = self.site.start_daemon(f"vm-{number + 4}")
            self.assertEqual(old.process.wait(), 0)
            del self.site.daemons[vm]
            old.process.close()
            self.site.publish_vm_list()
            # A load balancer sends nothing to a daemon that is not ready.
            self.site.wait_until_ready()
            repeated = [self.site.order(replacement.name, key) for key in keys]
            outcomes = [answer.get("outcome") for answer in repeated]
            self.assertEqual(outcomes, ["done"] * 4, repeated)
        runs = self.site.runs()
        self.assertEqual(sorted(set(runs)), sorted(runs))
        self.assertEqual(len(runs), 4 * len(VMS))


if __name__ == "__main__":
    unittest.main()
