"""Tests of the registration of a daemon over several lives of its process."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import unittest  # noqa: E402
from unittest import mock  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.platform import entries, names, store_client  # noqa: E402
from amaranthpulley.platform.tests import platform_site, standin_store  # noqa: E402
from amaranthpulley.state.forwarding import gateway  # noqa: E402
from amaranthpulley.transport import system_clock  # noqa: E402

KEY = names.DAEMON_PREFIX + "vm-1"
LIFE_MS = 30_000
MEMBER = gateway.Member("a1", "10.0.0.1:1", "10.0.0.1:2", 1.0)


class RegistrationTest(unittest.TestCase):
    """A daemon's registration and the lease that it hangs on."""

    def setUp(self) -> None:
        self.store = standin_store.StandInStore(system_clock.system_clock())
        self.first = self._client(MEMBER)
        self.first.register(LIFE_MS)

    def _client(self, member: gateway.Member) -> store_client.StoreClient:
        value = entries.encode_daemon(member)
        return store_client.StoreClient(self.store.address, KEY, value)

    def test_the_next_life_continues_it(self) -> None:
        following = self._client(MEMBER)
        self.assertFalse(following.renew())
        following.read_all(1_000)
        self.assertTrue(following.renew())
        following.unregister()
        self.assertNotIn(KEY, self.store.keys())

    def test_a_life_at_another_address_does_not(self) -> None:
        moved = self._client(MEMBER._replace(address="10.0.0.1:3"))
        moved.read_all(1_000)
        self.assertFalse(moved.renew())

    def _written(self) -> gateway.Member | None:
        listing = self._client(MEMBER).read_all(1_000)
        found = [entries.decode(change) for change in listing.changes]
        return next((event.member for event in found if event.name == "vm-1"), None)

    def test_the_right_to_grant_is_written_with_one_call(self) -> None:
        self.assertEqual(self._written(), MEMBER)
        self.first.read_all(1_000)
        self.store.calls.clear()
        self.assertTrue(self.first.publish_grants())
        self.assertEqual(dict(self.store.calls), {names.TRANSACTION_PATH: 1})
        self.assertEqual(self._written(), MEMBER._replace(grants=True))

    def test_the_next_life_continues_one_with_the_right_to_grant(self) -> None:
        # Otherwise the right, and the registration itself, would be lost at each start.
        self.first.publish_grants()
        following = self._client(MEMBER)
        following.read_all(1_000)
        self.assertTrue(following.renew())
        self.assertEqual(self._written(), MEMBER._replace(grants=True))
        following.unregister()
        self.assertNotIn(KEY, self.store.keys())

    def test_one_that_is_written_again_does_not_have_the_right(self) -> None:
        self.first.publish_grants()
        self.store.end_leases()
        self.assertFalse(self.first.publish_grants())
        self.assertIsNone(self._written())
        self.first.register(LIFE_MS)
        self.assertEqual(self._written(), MEMBER)

    def test_a_right_from_a_copy_of_the_store_does_not_count(self) -> None:
        # The registration may have ended between the copy and the store's return.
        self.first.publish_grants()
        self.store.restore(self.store.copy())
        self.assertEqual(self._written(), MEMBER)
        following = self._client(MEMBER)
        following.read_all(1_000)
        self.assertTrue(following.renew())
        self.assertEqual(self._written(), MEMBER)

    def test_a_renewal_by_a_store_that_was_just_restored_does_not_count(self) -> None:
        self.first.publish_grants()
        following = self._client(MEMBER)
        following.read_all(1_000)
        self.store.restore(self.store.copy())
        self.assertFalse(following.renew())

    def test_a_lease_without_a_registration_is_not_renewed(self) -> None:
        # A write that failed after its lease was granted must be tried again.
        following = self._client(MEMBER)
        with mock.patch.object(following, "_write", side_effect=OSError):
            self.assertRaises(OSError, following.register, LIFE_MS)
        self.assertFalse(following.renew())

    def test_a_registration_that_has_ended_is_not_renewed(self) -> None:
        following = self._client(MEMBER)
        following.read_all(1_000)
        self.first.unregister()
        self.assertFalse(following.renew())
        following.register(LIFE_MS)
        self.assertTrue(following.renew())
        self.assertIn(KEY, self.store.keys())


class StoppedDaemonTest(unittest.TestCase):
    """Whether a daemon that stops ends its registration."""

    def test_one_that_others_rely_on_does(self) -> None:
        site = platform_site.PlatformSite()
        site.daemon.drain()
        site.daemon.wait()
        self.assertNotIn(KEY, site.store.keys())

    def test_it_does_not_register_again_while_it_answers_the_last_requests(
        self,
    ) -> None:
        # Guards against a daemon that sees its registration end and renews it, so that
        # others rely on it after it has gone.
        site = platform_site.PlatformSite()
        for leaf in site.leaves:
            leaf.work_ms = 1_600
        site.daemon.drain()
        eventlet.sleep(0.1)
        last = eventlet.spawn(site.request, "/visit/1", deadline_ms=2_000)
        site.wait_for(lambda: KEY not in site.store.keys(), "it is not registered")
        site.daemon.wait()
        self.assertNotIn(KEY, site.store.keys())
        last.wait()

    def test_a_follower_leaves_it_to_its_next_life(self) -> None:
        site = platform_site.PlatformSite()
        for number in range(20):
            member = gateway.Member("a1", "127.0.0.1:1", "127.0.0.1:1", 9.0)
            key = f"{names.DAEMON_PREFIX}near-{number}"
            site.store.put(key, entries.encode_daemon(member))
        followers = site.daemon.gateway.members
        site.wait_for(lambda: len(followers) == 21, "the others are known")
        site.daemon.drain()
        site.daemon.wait()
        self.assertIn(KEY, site.store.keys())
