"""End-to-end tests of roll-outs by daemons on the stand-in store."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import json  # noqa: E402
import unittest  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.platform import names, rollout_items  # noqa: E402
from amaranthpulley.platform.tests import platform_site, standin_leaf  # noqa: E402
from amaranthpulley.transport import system_clock  # noqa: E402

SERVICE = "visits"
DURATION_S = 20
REQUESTS_PER_S = 60
# `ExposureShare` and `ExposureSlack` of the settings.
SHARE = 0.1
SLACK = 50


class RolloutPathTest(unittest.TestCase):
    """Two daemons, two leaves of the old version and two of the new one."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.daemons = [self.site.daemon, self.site.start_daemon("vm-2")]
        self.site.wait_for(lambda: self.daemons[1].ready, "the second is ready")
        self.site.wait_for(
            lambda: all(len(d.gateway.members) == 2 for d in self.daemons),
            "the daemons know each other",
        )
        clock = system_clock.system_clock()
        self.old = [self.site.leaf(f"{SERVICE}-{n}") for n in (0, 1)]
        self.new = [
            standin_leaf.StandInLeaf(clock, f"{SERVICE}-new-{n}", SERVICE, zone)
            for n, zone in enumerate(("a1", "b1"))
        ]

    def _order(self) -> None:
        order = {
            "Service": SERVICE,
            "TargetVersion": "v2",
            "DurationS": DURATION_S,
        }
        self.site.store.put(names.ROLLOUT_ORDER_PREFIX + SERVICE, order)
        for leaf in self.new:
            entry = leaf.entry(Version="v2")
            self.site.store.put(names.LEAF_PREFIX + leaf.leaf_id, entry)

    def _status(self) -> str:
        key = rollout_items.keys_of(SERVICE)[2]
        changes = self.site.store._items
        if key not in changes:
            return ""
        read = self.site.daemon._rollouts._calls.read(SERVICE)
        found = next(change for change in read if change.key == key)
        return json.loads(found.value)["State"]

    def _play(self, seconds: float) -> set[int]:
        """Send requests to both until the roll-out ends; return the statuses."""
        statuses: set[int] = set()
        number = 0
        end = int(seconds * REQUESTS_PER_S)
        while number < end and self._status() not in ("completed", "reverted"):
            for _ in range(REQUESTS_PER_S // 2):
                number += 1
                address = self.daemons[number % 2].front_address
                answer = self.site.request_at(address, f"/visit/{number}")
                statuses.add(answer.status)
                eventlet.sleep(1 / REQUESTS_PER_S)
        return statuses

    def _arrivals(self, leaves: list[standin_leaf.StandInLeaf]) -> int:
        return sum(len(leaf.arrivals_s) for leaf in leaves)

    def test_a_good_version_is_completed_when_all_have_moved(self) -> None:
        self._order()
        self.assertEqual(self._play(DURATION_S), {200})
        self.assertEqual(self._status(), "completed")
        before = self._arrivals(self.old)
        for number in range(20):
            address = self.daemons[number % 2].front_address
            self.assertEqual(self.site.request_at(address, "/visit/1").status, 200)
        self.assertEqual(self._arrivals(self.old), before)

    def test_a_bad_version_is_reverted_within_its_exposure(self) -> None:
        for leaf in self.new:
            leaf.mode = "fail"
        self._order()
        # A request that failed at a new leaf is sent again to an old one.
        self.assertEqual(self._play(DURATION_S), {200})
        self.assertEqual(self._status(), "reverted")
        got = self._arrivals(self.new)
        self.assertLessEqual(got, SHARE * self._arrivals(self.old) + SLACK)
        eventlet.sleep(1.5)
        before = self._arrivals(self.new)
        for number in range(20):
            address = self.daemons[number % 2].front_address
            self.assertEqual(self.site.request_at(address, "/visit/1").status, 200)
        self.assertEqual(self._arrivals(self.new), before)
