"""Tests of the items about roll-outs in the store."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import json  # noqa: E402
import unittest  # noqa: E402

from amaranthpulley.coordination.forwarding import commands, events  # noqa: E402
from amaranthpulley.coordination.forwarding.rollouts import (  # noqa: E402
    rollout_events,
)
from amaranthpulley.platform import (  # noqa: E402
    entries,
    names,
    rollout_items,
    settings,
    store_client,
)
from amaranthpulley.platform.tests import standin_store, wire_samples  # noqa: E402
from amaranthpulley.state import store  # noqa: E402
from amaranthpulley.state.forwarding import gateway, rollouts  # noqa: E402
from amaranthpulley.transport import errors, system_clock  # noqa: E402

ORDER = {"Service": "visits", "TargetVersion": "v2", "DurationS": 45}
ORDER_KEY, STEP_KEY, STATUS_KEY = rollout_items.keys_of("visits")
STEP = rollouts.Step(
    2, "v2", 1, rollouts.Phase.GROWING, 0.02, 0, 9_000, 6, ("v0",), "ordered"
)


def _decoded(key: str, value: object) -> events.Event | None:
    raw = None if value is None else json.dumps(value).encode()
    return entries.decode(store.Change(key, 7, raw))


class RolloutOrderTest(unittest.TestCase):
    """An order that is misread moves a service that nobody ordered to move."""

    def test_an_order_is_decoded(self) -> None:
        found = _decoded(ORDER_KEY, {**ORDER, "DurationS": 2.5})
        order = rollouts.Order("v2", 2_500)
        self.assertEqual(found, rollout_events.RolloutOrdered("visits", order, 7))

    def test_a_deleted_order_ends_it(self) -> None:
        found = _decoded(ORDER_KEY, None)
        self.assertEqual(found, rollout_events.RolloutOrdered("visits", None, 7))

    def test_malformed_orders_are_reported(self) -> None:
        for change in (
            {"Service": "others"},
            {"TargetVersion": 2},
            {"DurationS": 0},
            {"DurationS": -1},
            {"DurationS": "45"},
            {"DurationS": 1e12},
        ):
            with self.subTest(change):
                found = _decoded(ORDER_KEY, {**ORDER, **change})
                self.assertIsInstance(found, events.ItemUnreadable)

    def test_malformed_steps_are_reported(self) -> None:
        found = entries.decode(store.Change(STEP_KEY, 7, b"[1]"))
        self.assertIsInstance(found, events.ItemUnreadable)


class RolloutSettingsTest(unittest.TestCase):
    """Settings that are not read leave the exposure unbounded by what was agreed."""

    def _limits(self, **bounds: float) -> gateway.Limits:
        raw = json.loads(wire_samples.settings_text("vm-1", "127.0.0.1:1"))
        raw["Bounds"].update(bounds)
        return settings.decode(json.dumps(raw).encode())[0].limits

    def test_they_are_read(self) -> None:
        found = self._limits(ExposureShare=0.2, ExposureSlack=20, RollbackMs=3_000)
        read = (found.exposure_share, found.exposure_slack, found.rollback_ms)
        self.assertEqual(read, (0.2, 20, 3_000))

    def test_they_have_the_defaults_of_the_page(self) -> None:
        found = self._limits()
        read = (found.exposure_share, found.exposure_slack, found.rollback_ms)
        self.assertEqual(read, (0.1, 50, 5_000))


class RolloutWriteTest(unittest.TestCase):
    """Two daemons that decide at a time must not both move a service."""

    def setUp(self) -> None:
        self.store = standin_store.StandInStore(system_clock.system_clock())
        self.client = store_client.StoreClient(self.store.address, "daemon", b"{}")
        self.store.put(ORDER_KEY, ORDER)
        self.order = self._revision(ORDER_KEY)

    def _revision(self, key: str) -> int:
        item = self.store._items.get(key)
        return item["Revision"] if item else 0

    def _command(self, **changes: object) -> commands.WriteRolloutStep:
        usual = commands.WriteRolloutStep("visits", STEP, self.order, 0, 0)
        return usual._replace(**changes)

    def test_a_step_and_the_status_are_written(self) -> None:
        self.assertTrue(self.client.write_step(self._command()))
        found = {
            change.key: entries.decode(change)
            for change in self.client.read_rollout("visits")
        }
        self.assertEqual(found[STEP_KEY].step, STEP)
        self.assertEqual(found[STATUS_KEY].service, "visits")
        self.assertEqual(store.number_of(found[STEP_KEY].revision), self.order + 1)

    def test_operators_read_the_words_of_the_page(self) -> None:
        words = {
            rollouts.Phase.GROWING: "running",
            rollouts.Phase.MOVING: "running",
            rollouts.Phase.COMPLETED: "completed",
            rollouts.Phase.REVERTED: "reverted",
        }
        for phase, word in words.items():
            with self.subTest(word):
                step = STEP._replace(phase=phase)
                command = self._command(
                    step=step,
                    previous=self._revision(STEP_KEY),
                    status=self._revision(STATUS_KEY),
                )
                self.assertTrue(self.client.write_step(command))
                status = self.client.read_rollout("visits")[-1]
                self.assertEqual(status.key, STATUS_KEY)
                content = {"State": word, "TargetVersion": "v2"}
                self.assertEqual(json.loads(status.value), content)

    def test_nothing_is_written_when_an_item_has_changed(self) -> None:
        self.assertTrue(self.client.write_step(self._command()))
        step, status = self._revision(STEP_KEY), self._revision(STATUS_KEY)
        for stale in (
            {},
            {"previous": step},
            {"previous": step, "status": status, "order": self.order - 1},
            {"previous": step - 1, "status": status},
        ):
            with self.subTest(stale):
                self.assertFalse(self.client.write_step(self._command(**stale)))
        self.assertEqual(self._revision(STEP_KEY), step)

    def test_other_answers_leave_it_open_whether_it_is_written(self) -> None:
        for status in (404, 429, 503):
            self.store.failing = status
            with self.subTest(status):
                with self.assertRaises(errors.PlatformUnreachableError):
                    self.client.write_step(self._command())

    def test_a_service_whose_name_begins_alike_is_left_out(self) -> None:
        self.store.put(names.ROLLOUT_ORDER_PREFIX + "visits-2", ORDER)
        found = [change.key for change in self.client.read_rollout("visits")]
        self.assertEqual(found, [ORDER_KEY])
