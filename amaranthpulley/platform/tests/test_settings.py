"""Tests of the settings file's limits of a VM."""

import json
import unittest

from amaranthpulley.platform import settings
from amaranthpulley.platform.tests import wire_samples
from amaranthpulley.protocol import errors
from amaranthpulley.state.forwarding import client_budget


def _budget(**machine: object) -> client_budget.Budget:
    text = wire_samples.settings_text("vm-1", "127.0.0.1:1")
    changed = {**json.loads(text), "Limits": machine}
    return settings.decode(json.dumps(changed).encode())[0].budget


class ClientBudgetTest(unittest.TestCase):
    """What clients may take, from the VM's memory and descriptors."""

    def test_the_resources_of_the_vm_count(self) -> None:
        budget = _budget(MemoryMb=400, MaxFds=8_192)
        self.assertEqual(budget, client_budget.budget_of(400, 8_192))

    def test_without_them_the_smallest_vm_is_assumed(self) -> None:
        self.assertEqual(_budget(), client_budget.budget_of())
        self.assertEqual(_budget(Cores=2), client_budget.budget_of(200, 4_100))

    def test_wrong_types_are_refused(self) -> None:
        for machine in ({"MemoryMb": "400"}, {"MaxFds": 0.5}):
            with self.subTest(machine), self.assertRaises(errors.InvalidSettingsError):
                _budget(**machine)


class PaceTest(unittest.TestCase):
    """Whether leaves that start or recover get their requests at a pace."""

    def test_a_pace_has_to_be_asked_for(self) -> None:
        # Guards against a deployment that is served in another way than before.
        text = json.loads(wire_samples.settings_text("vm-1", "127.0.0.1:1"))
        for bounds, expected in (({}, False), ({"LeafPace": 0}, False)):
            with self.subTest(bounds):
                self.assertEqual(self._has_pace(text, bounds), expected)
        self.assertTrue(self._has_pace(text, {"LeafPace": 1}))

    def _has_pace(self, text: dict, bounds: dict[str, int]) -> bool:
        changed = {**text, "Bounds": {**text["Bounds"], **bounds}}
        return settings.decode(json.dumps(changed).encode())[0].limits.pace
