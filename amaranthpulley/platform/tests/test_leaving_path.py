"""End-to-end tests of leaves that say that they leave, while the store does not."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import unittest  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.platform import names  # noqa: E402
from amaranthpulley.platform.tests import (  # noqa: E402
    platform_site,
    standin_leaf,
)

# `DrainMs` of the settings.
DRAIN_S = 3.0
REQUESTS_PER_S = 20


class LeavingLeafPathTest(unittest.TestCase):
    """Leaves whose answers say that they leave."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.leaving: list[standin_leaf.StandInLeaf] = []

    def _leave(self, *leaf_ids: str) -> None:
        self.leaving = [self.site.leaf(leaf_id) for leaf_id in leaf_ids]
        for leaf in self.leaving:
            leaf.headers[names.HEADERS.leaving] = "1"

    def _play(self, path: str, seconds: float) -> list[int]:
        """Send requests one after the other; return their statuses."""
        statuses = []
        for _ in range(int(seconds * REQUESTS_PER_S)):
            statuses.append(self.site.request(path).status)
            eventlet.sleep(1 / REQUESTS_PER_S)
        return statuses

    def _late_requests(self) -> int:
        """Return the requests that came later than the drain time."""
        return sum(
            at - leaf.arrivals_s[0] > DRAIN_S
            for leaf in self.leaving
            for at in leaf.arrivals_s
        )

    def test_one_gets_nothing_after_the_drain_time_while_the_store_is_down(
        self,
    ) -> None:
        self.site.store.failing = 0
        self._leave("visits-0")
        self.assertEqual(set(self._play("/visit/1", DRAIN_S + 1.0)), {200})
        self.assertEqual(self._late_requests(), 0)

    def test_a_failure_that_says_so_counts(self) -> None:
        self._leave("visits-0", "visits-1")
        for leaf in self.leaving:
            leaf.mode = "fail"
        self._play("/visit/1", DRAIN_S + 1.0)
        self.assertEqual(self._late_requests(), 0)

    def test_an_entry_that_lapses_and_returns_does_not_end_it(self) -> None:
        self._leave("visits-0", "visits-1")
        self.assertEqual(set(self._play("/visit/1", 0.5)), {200})
        keys = {names.LEAF_PREFIX + leaf.leaf_id: leaf for leaf in self.leaving}
        for key in keys:
            self.site.store.delete(key)
        self._play("/visit/1", DRAIN_S)
        for key, leaf in keys.items():
            self.site.store.put(key, leaf.entry())
        eventlet.sleep(0.8)
        self._play("/visit/1", 1.0)
        self.assertEqual(self._late_requests(), 0)

    def test_a_new_start_of_the_same_leaf_gets_requests_again(self) -> None:
        self._leave("visits-0", "visits-1")
        self._play("/visit/1", DRAIN_S)
        for leaf in self.leaving:
            del leaf.headers[names.HEADERS.leaving]
            started = leaf.entry(born=2_000)
            self.site.store.put(names.LEAF_PREFIX + leaf.leaf_id, started)
        eventlet.sleep(1.0)
        self.assertEqual(set(self._play("/visit/1", 0.5)), {200})

    def test_the_last_leaves_of_a_service_are_told_of_by_a_refusal(self) -> None:
        self._leave("visits-0", "visits-1")
        self._play("/visit/1", DRAIN_S)
        answer = self.site.request("/visit/1")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0.0)
        self.assertEqual(self._late_requests(), 0)

    def test_the_last_leaves_of_a_shard_are_missing_in_the_answer(self) -> None:
        self._leave("shard-1-0", "shard-1-1")
        self._play("/wide/1", DRAIN_S + 0.5)
        answer = self.site.request("/wide/1")
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["X-Missing-Parts"], "1")
        self.assertEqual(self._late_requests(), 0)
