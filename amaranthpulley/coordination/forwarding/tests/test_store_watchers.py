"""Tests of the selection of watchers."""

import unittest

from amaranthpulley.coordination.forwarding import store_watchers
from amaranthpulley.state.forwarding import gateway

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def _gateway(name: str, members: dict[str, str]) -> gateway.Gateway:
    place = gateway.Place(name, members.get(name, "a1"), "a", REGIONS)
    made = gateway.Gateway(place, gateway.Limits(), 0)
    made.members = {
        name: gateway.Member(domain, f"{name}:1") for name, domain in members.items()
    }
    return made


class WatchersTest(unittest.TestCase):
    """Selection of the daemons that watch the store."""

    def test_a_daemon_without_known_members_watches_the_store(self) -> None:
        self.assertTrue(store_watchers.is_watcher(_gateway("a-1", {})))

    def test_all_daemons_of_a_region_select_the_same_three_watchers(self) -> None:
        members = {f"a-{n}": ("a1", "a2")[n % 2] for n in range(20)}
        members |= {f"b-{n}": "b1" for n in range(20)}
        selected = {
            tuple(store_watchers.watchers(_gateway(name, members))) for name in members
        }
        self.assertEqual(len(selected), 1)
        watching = [
            n for n in members if store_watchers.is_watcher(_gateway(n, members))
        ]
        self.assertEqual(len([n for n in watching if n in members and n[0] == "a"]), 3)

    def test_the_other_daemons_follow_two_watchers(self) -> None:
        members = {f"a-{n}": "a1" for n in range(10)}
        for name in members:
            found = _gateway(name, members)
            count = (
                0
                if store_watchers.is_watcher(found)
                else store_watchers.FOLLOWED_WATCHERS
            )
            self.assertEqual(len(store_watchers.followed_addresses(found)), count)

    def test_a_lost_watcher_is_replaced(self) -> None:
        members = {f"a-{n}": "a1" for n in range(10)}
        before = store_watchers.watchers(_gateway("a-0", members))
        del members[before[0]]
        after = store_watchers.watchers(_gateway("a-0", members))
        self.assertEqual(after[:2], before[1:])


class WatchTimingTest(unittest.TestCase):
    """Waits that let a lost watch be replaced within the users' bounds."""

    # Contact time and configuration time of the users' sites, and shorter ones.
    BOUNDS = ((5_000, 3_000), (5_000, 4_000), (5_000, 6_000), (3_000, 5_000))

    def _gateway(self, bounds: tuple[int, int], count: int) -> gateway.Gateway:
        members = {f"a-{n}": "a1" for n in range(count)}
        made = _gateway("a-0", members)
        contact_ms, configuration_ms = bounds
        made.limits = gateway.Limits(
            contact_ms=contact_ms, configuration_ms=configuration_ms
        )
        return made

    def test_a_lost_watch_is_replaced_within_the_contact_time(self) -> None:
        for bounds in self.BOUNDS:
            for count in (0, 3, 10):
                with self.subTest(bounds=bounds, daemons=count):
                    timing = store_watchers.watch_timing(self._gateway(bounds, count))
                    failed_ms = timing.wait_ms + store_watchers.READ_TIMEOUT_MS
                    answered_ms = failed_ms + store_watchers.WATCHER_RETRY_MS
                    answered_ms += store_watchers.ANSWER_MS
                    self.assertLess(answered_ms, bounds[0])

    def test_a_call_that_fails_at_the_stores_return_is_repeated_in_time(self) -> None:
        for bounds in self.BOUNDS:
            for count in (0, 3, 10):
                with self.subTest(bounds=bounds, daemons=count):
                    timing = store_watchers.watch_timing(self._gateway(bounds, count))
                    failed_ms = store_watchers.READ_TIMEOUT_MS
                    failed_ms += timing.recheck_wait_ms(1_000)
                    answered_ms = failed_ms + timing.maximum_retry_ms
                    answered_ms += store_watchers.ANSWER_MS
                    self.assertLess(answered_ms, bounds[0])

    def test_watches_wait_again_after_some_failures(self) -> None:
        timing = store_watchers.watch_timing(self._gateway((5_000, 4_000), 3))
        waits_ms = [timing.recheck_wait_ms(failures) for failures in range(6)]
        self.assertEqual(waits_ms, [timing.wait_ms, 0, 0, 500, 1_000, 1_500])

    def test_followers_fall_back_in_time_when_both_watchers_are_lost(self) -> None:
        for bounds in self.BOUNDS:
            with self.subTest(bounds=bounds):
                daemon = self._gateway(bounds, 10)
                wait_ms = store_watchers.watch_timing(daemon).wait_ms
                lost_ms = wait_ms + store_watchers.READ_TIMEOUT_MS
                silent_ms = store_watchers.confirmation_age_ms(daemon.limits)
                own_ms = store_watchers.FALLBACK_CHECK_MS + store_watchers.ANSWER_MS
                own_ms += store_watchers.FOLLOWER_FALLBACK_DELAY_MS
                self.assertLessEqual(max(lost_ms, silent_ms) + own_ms, min(bounds))
