"""Tests of what the check of a configuration takes as known, and of many findings."""

import json
import typing
import unittest

from amaranthpulley.platform import (
    client_accounts,
    configuration,
    configuration_check,
    configuration_fields,
)
from amaranthpulley.platform.tests import wire_samples


class KnownFieldsTest(unittest.TestCase):
    """A field that daemons read must not be reported as one that they don't."""

    def test_known_fields_are_those_of_the_decoder(self) -> None:
        decoded = (
            (configuration._Configuration, configuration_fields.WHOLE, set()),
            (configuration._Route, configuration_fields.ROUTE, set()),
            (configuration._Service, configuration_fields.SERVICE, {"WarmupS"}),
            (
                configuration._Limits,
                set(configuration_fields.OF_LIMITS.values()),
                set(),
            ),
        )
        for kind, known, by_leaves in decoded:
            with self.subTest(kind.__name__):
                fields = set(typing.get_type_hints(kind)) | by_leaves
                self.assertEqual(fields, set(known))
        # Digests are in the daemons' copies only, never in an operator's file.
        fields = set(typing.get_type_hints(client_accounts.Tenant)) - {"KeyDigests"}
        self.assertEqual(fields, set(configuration_fields.ACCOUNT))


class LargeConfigurationTest(unittest.TestCase):
    """The check of a large file must end: it decodes each item by itself."""

    def test_thousands_of_keys_are_compared(self) -> None:
        whole = wire_samples.configuration(1, wire_samples.route())
        whole["Tenants"] = [
            {"Name": f"t{n}", "ApiKeys": [f"k{n}", f"k{n + 1}"]} for n in range(4_000)
        ]
        found = configuration_check.check(json.dumps(whole).encode(), None)
        shared = [one for one in found if "also at" in one.text]
        self.assertEqual(len(shared), 3_999)

    def test_deeply_nested_values_are_no_fault_of_the_check(self) -> None:
        whole = wire_samples.configuration(1, wire_samples.route())
        text = json.dumps(whole)[:-1] + ', "X": ' + "[" * 900 + "]" * 900 + "}"
        found = configuration_check.check(text.encode(), None)
        self.assertIn("$.X", [one.path for one in found])
