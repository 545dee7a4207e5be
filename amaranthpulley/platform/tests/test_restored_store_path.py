"""End-to-end tests of a store that comes back from a copy some seconds old."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import json  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Callable  # noqa: E402
from typing import Any, Final  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import commands, events  # noqa: E402
from amaranthpulley.platform import entries, names  # noqa: E402
from amaranthpulley.platform.tests import (  # noqa: E402
    platform_site,
    standin_leaf,
    wire_samples,
)
from amaranthpulley.state.forwarding import crashes, gateway  # noqa: E402

# The users' bound on changes after the store's return.
CONTACT_S: Final = gateway.Limits().contact_ms / 1000
LOSS: Final = crashes.Loss(7, 1)


class RestoredStorePathTest(unittest.TestCase):
    """A daemon that has seen more than the store holds after its return."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.store = self.site.store
        self.directory = self.site.daemon.gateway.directory
        own_key = names.DAEMON_PREFIX + "vm-1"
        self.site.wait_for(lambda: own_key in self.store.keys(), "it is registered")
        eventlet.sleep(0.1)

    def _configure(self, version: int) -> None:
        route = wire_samples.visit_route(PathPrefix=f"/v{version}/")
        found = wire_samples.configuration(version, route, wire_samples.visit_route())
        self.store.put(names.CONFIGURATION_KEY, found)

    def _version(self) -> int:
        return self.site.daemon.gateway.configuration.version

    def _wait(self, condition: Callable[[], Any], what: str) -> None:
        """Run the loop until a condition holds, at most for the contact time."""
        with eventlet.Timeout(CONTACT_S, AssertionError(f"not in time: {what}")):
            while not condition():
                eventlet.sleep(0.02)

    def _advance_to(self, version: int) -> None:
        """Write versions until the daemon has one."""
        for number in range(2, version + 1):
            self._configure(number)
        self._wait(lambda: self._version() == version, f"version {version}")

    def _used(self) -> set[str]:
        """Return the leaves that answer some requests."""
        answers = [self.site.request("/visit/1") for _ in range(6)]
        return {json.loads(answer.data)["leaf"] for answer in answers}

    def _add_leaf(self, leaf_id: str) -> standin_leaf.StandInLeaf:
        leaf = standin_leaf.StandInLeaf(self.site._clock, leaf_id, "visits", "a1")
        self.store.put(names.LEAF_PREFIX + leaf_id, leaf.entry())
        self._wait(lambda: self.directory.get(leaf_id), "the leaf is known")
        return leaf

    def test_a_version_written_after_the_return_is_in_force(self) -> None:
        copy = self.store.copy()
        self._advance_to(9)
        self.store.restore(copy)
        self._configure(9)
        eventlet.sleep(1.0)
        self._configure(10)
        self._wait(lambda: self._version() == 10, "version 10")

    def test_a_store_that_has_reached_the_known_revision_again_is_read(self) -> None:
        copy = self.store.copy()
        self._advance_to(9)
        self.store.restore(copy)
        self._configure(10)
        for number in range(40):
            self.store.put(f"other/{number}", b"x")
        self._wait(lambda: self._version() == 10, "version 10")

    def test_an_older_version_does_not_come_back(self) -> None:
        copy = self.store.copy()
        self._advance_to(9)
        self.store.restore(copy)
        eventlet.sleep(2.0)
        self.assertEqual(self._version(), 9)
        self.assertEqual(self.site.request("/v9/1").status, 200)

    def test_a_draining_leaf_is_not_used_again(self) -> None:
        copy = self.store.copy()
        leaf = self.site.leaf("visits-0")
        self.store.put(
            names.LEAF_PREFIX + "visits-0", leaf.entry(State="draining", Sequence=2)
        )
        drain_ms = self.site.daemon.gateway.limits.drain_ms
        eventlet.sleep(drain_ms / 1000)
        self.store.restore(copy)
        eventlet.sleep(1.0)
        self.assertEqual(self._used(), {"visits-1"})
        self.store.put(
            names.LEAF_PREFIX + "visits-0", leaf.entry(State="draining", Sequence=3)
        )
        eventlet.sleep(CONTACT_S)
        self.assertEqual(self._used(), {"visits-1"})

    def test_a_leaf_that_has_left_is_not_used_again(self) -> None:
        copy = self.store.copy()
        self.store.delete(names.LEAF_PREFIX + "visits-0")
        self._wait(lambda: not self.directory.get("visits-0"), "the leaf is gone")
        self.store.restore(copy)
        eventlet.sleep(1.0)
        self.assertEqual(self._used(), {"visits-1"})

    def test_a_leaf_is_used_until_it_is_written_again(self) -> None:
        for number in (0, 1):
            self.store.delete(f"{names.LEAF_PREFIX}visits-{number}")
        copy = self.store.copy()
        leaf = self._add_leaf("visits-2")
        self._wait(lambda: not self.directory.get("visits-0"), "the leaf is gone")
        self.store.restore(copy)
        eventlet.sleep(1.5)
        self.assertEqual(self._used(), {"visits-2"})
        self.store.put(names.LEAF_PREFIX + "visits-2", leaf.entry(Sequence=2))
        eventlet.sleep(CONTACT_S)
        self.assertEqual(self._used(), {"visits-2"})

    def test_a_leaf_that_is_not_written_again_is_gone(self) -> None:
        copy = self.store.copy()
        self._add_leaf("visits-2")
        self.store.restore(copy)
        self.site.wait_for(
            lambda: not self.directory.get("visits-2"), "the leaf is gone"
        )

    def test_an_evacuation_holds_until_it_is_written_again(self) -> None:
        key = names.EVACUATION_PREFIX + "a1"
        copy = self.store.copy()
        self.store.put(key, b"{}")
        evacuated = self.site.daemon.gateway.evacuated
        self._wait(lambda: "a1" in evacuated, "the evacuation is known")
        self.store.restore(copy)
        eventlet.sleep(1.5)
        self.assertEqual(self._used(), {"visits-1"})
        self.store.put(key, b"{}")
        eventlet.sleep(CONTACT_S)
        self.assertEqual(self._used(), {"visits-1"})
        self.store.delete(key)
        self._wait(lambda: "a1" not in evacuated, "the evacuation has ended")

    def test_what_the_daemon_had_written_is_written_again(self) -> None:
        copy = self.store.copy()
        keys = {names.DAEMON_PREFIX + "vm-1", entries.loss_key(LOSS)}
        copy = copy._replace(
            items={k: v for k, v in copy.items.items() if k not in keys}, leases={}
        )
        self.site.daemon._losses.publish(commands.PublishLosses((LOSS,)))
        self._wait(lambda: keys <= set(self.store.keys()), "the loss is written")
        self.site.daemon.runtime.feed(events.LossPublished(LOSS))
        self.store.restore(copy)
        self._wait(lambda: keys <= set(self.store.keys()), "both are written again")
        self.assertEqual(self.site.daemon.gateway.losses.count(LOSS.fingerprint), 1)
