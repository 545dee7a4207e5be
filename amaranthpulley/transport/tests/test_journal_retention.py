"""Tests of the erasure of journal records, with daemons under virtual time."""

import unittest
from typing import Final

from amaranthpulley.coordination import events, stored_values
from amaranthpulley.coordination.accounts import (
    journal_gaps,
    journal_retention,
    journal_writes,
)
from amaranthpulley.state import log_events
from amaranthpulley.state.accounts import journal
from amaranthpulley.state.control import members, topology
from amaranthpulley.transport import customer_export
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import journal_site

DAY_MS: Final = journal_retention.DAY_MS


class JournalRetentionTest(unittest.TestCase):
    """Which records a sweep erases, and which daemon sweeps."""

    def _sweep(
        self,
        site: journal_site.JournalSite,
        *customers: topology.Customer,
        days: int = 0,
        sweep_state: journal.SweepState | None = None,
    ) -> int:
        """Run one sweep `days` later and return the number of its store calls."""
        wall_ms = journal_site.WALL_MS + site.network.now_ms + days * DAY_MS
        cutoffs = journal_retention.cutoffs_at(wall_ms, list(customers))
        sweep_state = sweep_state or journal.SweepState()
        steps = journal_retention.sweep(sweep_state, cutoffs, wall_ms, "vm-1")
        calls, result = 0, None
        while True:
            try:
                operation = steps.send(result)
            except StopIteration:
                return calls
            calls += 1
            result = site.call(operation)

    def _site_with_requests(self) -> journal_site.JournalSite:
        site = journal_site.JournalSite()
        for customer in journal_site.CUSTOMERS:
            site.search("vm-1", customer)
            site.run(1_000)
        return site

    def test_records_expire_after_90_days_by_default(self) -> None:
        cases = ((89, 1, False), (91, 0, True))
        for days, kept, expired in cases:
            with self.subTest(days=days):
                site = self._site_with_requests()
                self._sweep(site, days=days)
                records, gaps = site.export("forno")
                self.assertEqual(len(records), kept)
                reasons = {gap.reason for gap in gaps}
                self.assertEqual(journal_gaps.GapReason.EXPIRED in reasons, expired)
                self.assertNotIn(journal_gaps.GapReason.MISSING, reasons)

    def test_each_customer_has_its_own_retention(self) -> None:
        cases = (
            (topology.Customer("forno", retention_days=10), 50, (0, 1)),
            (topology.Customer("forno", retention_days=400), 95, (1, 0)),
            (topology.Customer("forno", erased=True), 0, (0, 1)),
        )
        for customer, days, kept in cases:
            with self.subTest(customer=customer):
                site = self._site_with_requests()
                self._sweep(site, customer, days=days)
                found = [len(site.export(name)[0]) for name in journal_site.CUSTOMERS]
                self.assertEqual(tuple(found), kept)

    def test_only_the_count_of_erased_records_remains(self) -> None:
        site = journal_site.JournalSite()
        for _ in range(3):
            site.search("vm-1", "forno")
        site.search("vm-1", "timer")
        site.run(1_000)
        self._sweep(site, topology.Customer("forno", erased=True))
        [key] = customer_export.keys_with(site.call, journal_writes.BATCH_PREFIX)
        value = site.call(customer_export.store.Get(key)).value
        self.assertNotIn(b"forno", value)
        [chunk] = stored_values.decode_batch(value).chunks
        self.assertEqual([s.count for s in chunk.segments], [3, 1])
        export = customer_export.Export(site.export_job("forno"), lambda line: None)
        self.assertEqual(list(export.records()), [])
        summary = export.summary()
        self.assertEqual(summary["erased_records"], 3)
        self.assertFalse(summary["complete"])

    def test_repeated_sweep_reads_only_new_batches(self) -> None:
        site = self._site_with_requests()
        site.run(2 * 3_600_000)
        customer = topology.Customer("forno", erased=True)
        sweep_state = journal.SweepState()
        first = self._sweep(site, customer, sweep_state=sweep_state)
        again = self._sweep(site, customer, sweep_state=sweep_state)
        self.assertLess(again, first)
        site.search("vm-2", "forno")
        site.run(1_000)
        self._sweep(site, customer, sweep_state=sweep_state)
        self.assertEqual(site.export("forno")[0], [])

    def test_life_of_an_unlisted_vm_lapses(self) -> None:
        site = self._site_with_requests()
        site.network.crash("vm-2")
        sweep_state = journal.SweepState()
        sweep_state.listed_vms = frozenset(("vm-1", "vm-3"))
        self._sweep(site, sweep_state=sweep_state)
        site.run(journal_retention.UNLISTED_VM_GRACE_MS)
        self._sweep(site, sweep_state=sweep_state)
        found = {life.vm: life.status for life in customer_export.read_lives(site.call)}
        statuses = journal.LifeStatus
        self.assertEqual(
            found,
            {"vm-1": statuses.OPEN, "vm-2": statuses.LAPSED, "vm-3": statuses.OPEN},
        )
        _, gaps = site.export("forno")
        [gap] = [gap for gap in gaps if gap.vm == "vm-2"]
        self.assertIs(gap.reason, journal_gaps.GapReason.UNWRITTEN)
        self.assertIsNotNone(gap.until_ms)

    def test_one_owner_sweeps_and_a_store_failure_ends_the_sweep(self) -> None:
        site = self._site_with_requests()
        site.network.vms = tuple(
            members.Vm(vm, f"10.0.0.{number + 1}:1", "Recife", "Recife")
            for number, vm in enumerate(journal_site.VMS)
        )
        site.network.logs.clear()
        site.network.platform.faults = virtual_platform.StoreFaults(down=True)
        site.run(journal_retention.SWEEP_INTERVAL_MS)
        site.network.platform.faults = virtual_platform.StoreFaults()
        site.run(journal_retention.SWEEP_INTERVAL_MS)
        swept = [
            (vm, dict(command.fields)["whole"])
            for _, vm, command in site.network.logs
            if command.event is log_events.JOURNAL_SWEPT
        ]
        self.assertEqual([whole for _, whole in swept], [False, True])
        self.assertEqual(len({vm for vm, _ in swept}), 1)

    def test_no_sweep_without_a_confirmed_configuration(self) -> None:
        site = self._site_with_requests()
        virtual_daemon = site.network.daemons["vm-1"]
        virtual_daemon.state.configuration.suspended = True
        due = events.TimerDue(journal_retention.SweepDue())
        site.network.feed(virtual_daemon, due)
        self.assertIsNone(virtual_daemon.state.journal.sweep_state.steps)
