"""Tests of the export of a customer's requests, with daemons under virtual time."""

import json
import pathlib
import tempfile
import unittest
from typing import Final, NamedTuple

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination import events, stored_values
from amaranthpulley.coordination.accounts import journal_gaps, journal_writes
from amaranthpulley.state import store
from amaranthpulley.state.accounts import journal
from amaranthpulley.state.orders import claims
from amaranthpulley.transport import customer_export, errors
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import journal_site


class Step(NamedTuple):
    """A random action that follows a wait."""

    wait_ms: int
    action: str
    vm: str
    customer: str
    service: str
    requests: int


ACTIONS: Final = (
    *("search",) * 6,
    *("order",) * 2,
    *("crash", "restart", "replace", "drain", "store_down", "store_up", "lose"),
)
STEPS: Final = strategies.lists(
    strategies.builds(
        Step,
        strategies.integers(0, 900),
        strategies.sampled_from(ACTIONS),
        strategies.sampled_from(journal_site.VMS),
        strategies.sampled_from(journal_site.CUSTOMERS),
        strategies.sampled_from(journal_site.SERVICES),
        strategies.integers(1, 6),
    ),
    min_size=10,
    max_size=40,
)


def perform_step(site: journal_site.JournalSite, step: Step) -> None:
    """Wait, then perform the action of a step."""
    site.run(step.wait_ms)
    virtual_daemon = site.network.daemons[step.vm]
    match step.action:
        case "search":
            for _ in range(step.requests):
                site.search(step.vm, step.customer, step.service)
        case "order":
            site.order(step.vm, step.customer)
        case "crash":
            site.network.crash(step.vm)
        case "replace":
            site.network.crash(step.vm)
            site.start(step.vm)
        case "restart" if not virtual_daemon.alive:
            site.start(step.vm)
        case "drain":
            site.network.feed(virtual_daemon, events.DrainRequested())
        case "store_down":
            site.network.platform.faults = virtual_platform.StoreFaults(down=True)
        case "store_up":
            site.network.platform.faults = virtual_platform.StoreFaults()
        case "lose":
            lossy = virtual_platform.StoreFaults(lost_reply_share=0.5)
            site.network.platform.faults = lossy


class CustomerExportTest(unittest.TestCase):
    """An export holds each request exactly once or lists a gap that may hold it."""

    def assert_orders_recorded(self, site: journal_site.JournalSite) -> None:
        """Check that the exports hold each order that ran; a gap is not enough."""
        recorded = [
            record.key
            for customer in journal_site.CUSTOMERS
            for record in site.export(customer)[0]
            if record.kind == "order"
        ]
        for key in site.orders_run:
            self.assertEqual(recorded.count(key), 1, key)

    def assert_accounted(
        self, site: journal_site.JournalSite, from_ms: int = 0
    ) -> None:
        announced_lives = site.announced_lives()
        for customer in journal_site.CUSTOMERS:
            records, gaps = site.export(customer, from_ms)
            ids = [record.request_id for record in records]
            self.assertEqual(len(ids), len(set(ids)), "a request is exported twice")
            for sent in site.sent:
                # A daemon accepts no request until the store holds its life.
                if (
                    sent.life not in announced_lives
                    or sent.received_ms < journal_site.WALL_MS + from_ms
                ):
                    continue
                if sent.request.customer == customer:
                    found = sent.request.request_id in ids
                    self.assertTrue(found or journal_site.is_in_gap(sent, gaps), sent)

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=150
    )
    @hypothesis.example(
        [
            Step(0, "drain", "vm-1", "forno", "stock", 1),
            Step(2_051, "search", "vm-1", "forno", "stock", 1),
        ],
        0,
        0,
        journal.OverflowPolicy.REFUSE,
    )
    @hypothesis.given(
        STEPS,
        strategies.integers(0, 5),
        strategies.integers(0, 20_000),
        strategies.sampled_from(journal.OverflowPolicy),
    )
    def test_each_request_is_exported_once_or_in_a_gap(
        self, steps: list[Step], seed: int, from_ms: int, policy: journal.OverflowPolicy
    ) -> None:
        site = journal_site.JournalSite(
            seed,
            leaf_delay_ms=300,
            journal_life_first=True,
            journal_memory_bytes=300,
            journal_when_full=policy,
        )
        for step in steps:
            perform_step(site, step)
        self.assert_accounted(site)
        site.network.platform.faults = virtual_platform.StoreFaults()
        site.run(20_000)
        self.assert_accounted(site)
        self.assert_accounted(site, from_ms)
        self.assert_orders_recorded(site)

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=30
    )
    @hypothesis.given(STEPS, strategies.integers(0, 5))
    def test_no_gaps_without_a_crash(self, steps: list[Step], seed: int) -> None:
        site = journal_site.JournalSite(seed)
        for step in steps:
            if step.action not in ("crash", "replace"):
                perform_step(site, step)
        site.network.platform.faults = virtual_platform.StoreFaults()
        for vm in journal_site.VMS:
            site.network.feed(site.network.daemons[vm], events.DrainRequested())
        site.run(20_000)
        for customer in journal_site.CUSTOMERS:
            records, gaps = site.export(customer)
            self.assertEqual(gaps, [])
            sent = [s.request for s in site.sent if s.request.customer == customer]
            self.assertEqual(len(records), len(sent))

    def test_record_holds_the_outcome_of_the_request(self) -> None:
        site = journal_site.JournalSite()
        site.search("vm-2", "forno")
        site.search("vm-2", "forno", "nowhere")
        site.run(2_000)
        records, _ = site.export("forno")
        found = {record.service: record for record in records}
        self.assertEqual(
            found["stock"],
            journal.JournalRecord(
                *(
                    "r0",
                    "forno",
                    "stock",
                    "search",
                    journal_site.WALL_MS + 100,
                    "q0",
                    "",
                    "vm-2",
                ),
                *("SearchAnswer", 1, 1.0, 1),
            ),
        )
        self.assertEqual(found["nowhere"].outcome, "Refusal:unknown_service:not_run")

    def test_gap_of_a_crash_ends_with_the_next_life_of_the_vm(self) -> None:
        site = journal_site.JournalSite()
        site.search("vm-1", "forno")
        site.network.crash("vm-1")
        site.run(1_000)
        _, gaps = site.export("forno")
        [gap] = [gap for gap in gaps if gap.vm == "vm-1"]
        self.assertIs(gap.reason, journal_gaps.GapReason.OPEN)
        site.start("vm-1")
        restarted_ms = journal_site.WALL_MS + site.network.now_ms
        site.run(1_000)
        _, gaps = site.export("forno")
        [gap] = [gap for gap in gaps if gap.life == "l1"]
        self.assertEqual(gap.until_ms, restarted_ms)
        self.assertIs(gap.reason, journal_gaps.GapReason.UNWRITTEN)
        self.assertEqual((gap.first_sequence, gap.last_sequence), (1, None))

    def test_deleted_batch_is_listed_as_missing(self) -> None:
        site = journal_site.JournalSite()
        for _ in range(3):
            site.search("vm-1", "forno")
            site.run(journal_site.FLUSH_MS)
        keys = list(customer_export.keys_with(site.call, journal_writes.BATCH_PREFIX))
        revision = site.call(store.Get(keys[1])).revision
        site.call(store.Swap(keys[1], revision, None))
        _, gaps = site.export("forno")
        [gap] = [g for g in gaps if g.reason is journal_gaps.GapReason.MISSING]
        self.assertEqual((gap.first_sequence, gap.last_sequence), (2, 2))
        self.assertTrue(journal_site.is_in_gap(site.sent[1], [gap]))

    def test_repeating_an_interrupted_export_gives_the_same_file(self) -> None:
        site = journal_site.JournalSite()
        for number in range(20):
            site.search(
                journal_site.VMS[number % 3], journal_site.CUSTOMERS[number % 2]
            )
            site.run(100)
        export_job = site.export_job("forno")
        with tempfile.TemporaryDirectory() as folder:
            whole = pathlib.Path(folder, "whole")
            customer_export.run(export_job, str(whole), lambda line: None)
            repeated = pathlib.Path(folder, "again")
            failing_job = export_job._replace(call=_failing_after(site.call, 12))
            with self.assertRaises(errors.PlatformUnreachableError):
                customer_export.run(failing_job, str(repeated), lambda line: None)
            self.assertFalse(repeated.exists())
            customer_export.run(export_job, str(repeated), lambda line: None)
            self.assertEqual(whole.read_bytes(), repeated.read_bytes())
            names = sorted(path.name for path in pathlib.Path(folder).iterdir())
            suffix = customer_export.SUMMARY_SUFFIX
            self.assertEqual(
                names, ["again", "again" + suffix, "whole", "whole" + suffix]
            )
            lines = [json.loads(line) for line in whole.read_text().splitlines()]
            self.assertEqual({line["customer"] for line in lines}, {"forno"})
            summary = json.loads(pathlib.Path(str(whole) + suffix).read_text())
            self.assertEqual(summary["records"], len(lines))

    def test_claim_record_is_exported_only_if_the_journal_has_none(self) -> None:
        site = journal_site.JournalSite()
        site.search("vm-1", "forno")
        site.run(1_000)
        [record], _ = site.export("forno")
        newer = record._replace(outcome="claimed")
        alone = record._replace(request_id="other")
        foreign = record._replace(request_id="foreign", customer="timer")
        segment = claims.Segment(True, tuple(map(_claim, (newer, alone, foreign))))
        key, value = "claims/0000/00000001", stored_values.encode_segment(segment)
        site.call(store.Swap(key, 0, value))
        export_job = site.export_job("forno")
        export = customer_export.Export(export_job, lambda line: None)
        self.assertEqual(list(export.records()), [record, alone])

    def test_segment_of_another_customer_is_never_decoded(self) -> None:
        site = journal_site.JournalSite()
        site.search("vm-1", "timer")
        site.run(1_000)
        [key] = customer_export.keys_with(site.call, journal_writes.BATCH_PREFIX)
        value = site.call(store.Get(key))
        batch = stored_values.decode_batch(value.value)
        [chunk] = batch.chunks
        broken = chunk.segments[0]._replace(data=b"broken")
        batch = batch._replace(chunks=(chunk._replace(segments=(broken,)),))
        encoded = stored_values.encode_batch(batch)
        site.call(store.Swap(key, value.revision, encoded))
        records, _ = site.export("forno")
        self.assertEqual(records, [])


def _failing_after(call: customer_export.Call, calls: int) -> customer_export.Call:
    remaining = iter(range(calls))

    def limited(operation: store.Operation) -> store.Result:
        if next(remaining, None) is None:
            raise errors.PlatformUnreachableError("interrupted")
        return call(operation)

    return limited


def _claim(record: journal.JournalRecord) -> claims.Claim:
    status = claims.ClaimStatus.DONE
    return claims.Claim(record.request_id, "claim", "print", status, "", 0, record)
