"""Tests of the export of a customer's requests, with daemons under virtual time."""

import json
import pathlib
import tempfile
import unittest
from typing import Final, NamedTuple

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination import (
    events,
    journal_gaps,
    journal_writing,
    stored_values,
)
from amaranthpulley.state import (
    clock,
    daemon,
    journal,
    keyspace,
    requests,
    standin_leaf,
    store,
    topology,
)
from amaranthpulley.transport import (
    customer_export,
    errors,
    virtual_network,
    virtual_platform,
)

VMS: Final = ("vm-1", "vm-2", "vm-3")
CUSTOMERS: Final = ("forno", "timer")
SERVICES: Final = ("stock", "nowhere")
WALL_MS: Final = clock.VirtualClock().as_clock().wall_ms()
FLUSH_MS: Final = 500


class Sent(NamedTuple):
    """A request that reached a running daemon."""

    request: requests.SearchRequest
    vm: str
    life: str
    received_ms: int


class Step(NamedTuple):
    """One thing that happens, after a wait."""

    wait_ms: int
    action: str
    vm: str
    customer: str
    service: str
    requests: int


STEPS: Final = strategies.lists(
    strategies.builds(
        Step,
        strategies.integers(0, 900),
        strategies.sampled_from(
            (
                *("search",) * 6,
                *("crash", "restart", "drain", "store_down", "store_up", "lose"),
            )
        ),
        strategies.sampled_from(VMS),
        strategies.sampled_from(CUSTOMERS),
        strategies.sampled_from(SERVICES),
        strategies.integers(1, 6),
    ),
    max_size=40,
)


class Site:
    """Three daemons and one leaf, with what the callers sent."""

    def __init__(self, seed: int = 1, leaf_ms: int = 0, **limits: object) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        leaf = standin_leaf.StandInLeaf("boot", slots=100)
        leaf.faults = standin_leaf.LeafFaults(delay_ms=leaf_ms)
        leaf.hold(1, keyspace.split_evenly(1), ["item"])
        self.network.add_leaf("leaf", leaf)
        self.sent: list[Sent] = []
        self.limits = daemon.Limits(journal_flush_ms=FLUSH_MS, **limits)
        self.lives = 0
        for vm in VMS:
            self.start(vm)
        self.run(100)

    def run(self, for_ms: int) -> None:
        """Let time pass."""
        self.network.run_until(self.network.now_ms + for_ms)

    def start(self, vm: str) -> None:
        """Start a new life of a daemon that has the configuration."""
        self.lives += 1
        address = f"10.0.0.{VMS.index(vm) + 1}:1"
        identity = daemon.Identity(vm, address, "Recife", "Recife", f"l{self.lives}")
        started = self.network.start_daemon(identity, self.limits)
        target = topology.Target("leaf", "stock", 0, "all", "Recife", "leaf")
        service = topology.Service(
            "stock", topology.ServiceKind.SEARCH, deadline_ms=900
        )
        ticket = topology.ChangeTicket(1, services=(service,), targets=(target,))
        started.state.configuration.apply(ticket)

    def search(self, vm: str, customer: str, service: str = "stock") -> None:
        """Send a search if the daemon runs."""
        running = self.network.daemons[vm]
        if not running.alive:
            return
        number = len(self.sent)
        request = requests.SearchRequest(f"r{number}", customer, service, f"q{number}")
        wall_ms = WALL_MS + self.network.now_ms
        life = running.state.identity.life
        self.sent.append(Sent(request, vm, life, wall_ms))
        self.network.search(vm, request)

    def take(self, step: Step) -> None:
        """Let one thing happen."""
        self.run(step.wait_ms)
        running = self.network.daemons[step.vm]
        match step.action:
            case "search":
                for _ in range(step.requests):
                    self.search(step.vm, step.customer, step.service)
            case "crash":
                self.network.crash(step.vm)
            case "restart" if not running.alive:
                self.start(step.vm)
            case "drain":
                self.network.feed(running, events.DrainRequested())
            case "store_down":
                self.network.platform.faults = virtual_platform.StoreFaults(down=True)
            case "store_up":
                self.network.platform.faults = virtual_platform.StoreFaults()
            case "lose":
                lossy = virtual_platform.StoreFaults(lost_replies=0.5)
                self.network.platform.faults = lossy

    def call(self, operation: store.Operation) -> store.Result:
        """Call the store as the export does."""
        return self.network.store.call(operation, self.network.now_ms)

    def job(self, customer: str, from_ms: int = 0) -> customer_export.Job:
        """Return the export of a customer up to the present."""
        end_ms = WALL_MS + self.network.now_ms + 1
        window = journal_gaps.Window(WALL_MS + from_ms, end_ms)
        source = customer_export.no_order_records
        return customer_export.Job(customer, window, self.call, source)

    def export(
        self, customer: str, from_ms: int = 0
    ) -> tuple[list[journal.JournalRecord], list[journal_gaps.Gap]]:
        """Return the records and the gaps of an export."""
        export = customer_export.Export(self.job(customer, from_ms), lambda line: None)
        records = list(export.records())
        return records, export.gaps()

    def announced(self) -> set[str]:
        """Return the lives that the store knows of."""
        return {life.life for life in customer_export.read_lives(self.call)}


def is_listed(sent: Sent, gaps: list[journal_gaps.Gap]) -> bool:
    """Tell whether a gap may hold a request."""
    return any(
        (gap.vm, gap.life) == (sent.vm, sent.life)
        and gap.since_ms <= sent.received_ms
        and (gap.until_ms is None or sent.received_ms <= gap.until_ms)
        for gap in gaps
    )


class CustomerExportTest(unittest.TestCase):
    """An export holds each request once or lists the gap that it is in."""

    def assert_accounted(self, site: Site, from_ms: int = 0) -> None:
        announced = site.announced()
        for customer in CUSTOMERS:
            records, gaps = site.export(customer, from_ms)
            ids = [record.request_id for record in records]
            self.assertEqual(len(ids), len(set(ids)), "a request is there twice")
            for sent in site.sent:
                # A daemon that the store has never heard of took no request on.
                if sent.life not in announced or sent.received_ms < WALL_MS + from_ms:
                    continue
                if sent.request.customer == customer:
                    found = sent.request.request_id in ids
                    self.assertTrue(found or is_listed(sent, gaps), sent)

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=150
    )
    @hypothesis.given(
        STEPS,
        strategies.integers(0, 5),
        strategies.integers(0, 20_000),
        strategies.sampled_from(journal.FullPolicy),
    )
    def test_each_request_is_there_once_or_in_a_gap(
        self, steps: list[Step], seed: int, from_ms: int, policy: journal.FullPolicy
    ) -> None:
        site = Site(
            seed,
            leaf_ms=300,
            journal_life_first=True,
            journal_memory_bytes=800,
            journal_when_full=policy,
        )
        for step in steps:
            site.take(step)
        self.assert_accounted(site)
        site.network.platform.faults = virtual_platform.StoreFaults()
        site.run(20_000)
        self.assert_accounted(site)
        self.assert_accounted(site, from_ms)

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=30
    )
    @hypothesis.given(STEPS, strategies.integers(0, 5))
    def test_nothing_is_missing_when_no_daemon_crashed(
        self, steps: list[Step], seed: int
    ) -> None:
        site = Site(seed)
        for step in steps:
            if step.action != "crash":
                site.take(step)
        site.network.platform.faults = virtual_platform.StoreFaults()
        for vm in VMS:
            site.network.feed(site.network.daemons[vm], events.DrainRequested())
        site.run(20_000)
        for customer in CUSTOMERS:
            records, gaps = site.export(customer)
            self.assertEqual(gaps, [])
            sent = [s.request for s in site.sent if s.request.customer == customer]
            self.assertEqual(len(records), len(sent))

    def test_record_says_what_became_of_the_request(self) -> None:
        site = Site()
        site.search("vm-2", "forno")
        site.search("vm-2", "forno", "nowhere")
        site.run(2_000)
        records, _ = site.export("forno")
        found = {record.service: record for record in records}
        self.assertEqual(
            found["stock"],
            journal.JournalRecord(
                *("r0", "forno", "stock", "search", WALL_MS + 100, "q0", "", "vm-2"),
                *("SearchAnswer", 1, 1.0, 1),
            ),
        )
        self.assertEqual(found["nowhere"].outcome, "Refusal:unknown_service:not_run")

    def test_gap_of_a_crash_ends_with_the_next_life_of_the_vm(self) -> None:
        site = Site()
        site.search("vm-1", "forno")
        site.network.crash("vm-1")
        site.run(1_000)
        _, gaps = site.export("forno")
        [gap] = [gap for gap in gaps if gap.vm == "vm-1"]
        self.assertIs(gap.reason, journal_gaps.GapReason.OPEN)
        site.start("vm-1")
        restarted_ms = WALL_MS + site.network.now_ms
        site.run(1_000)
        _, gaps = site.export("forno")
        [gap] = [gap for gap in gaps if gap.life == "l1"]
        self.assertEqual(gap.until_ms, restarted_ms)
        self.assertIs(gap.reason, journal_gaps.GapReason.UNWRITTEN)
        self.assertEqual((gap.first_sequence, gap.last_sequence), (1, None))

    def test_lost_batch_is_listed(self) -> None:
        site = Site()
        for _ in range(3):
            site.search("vm-1", "forno")
            site.run(FLUSH_MS)
        keys = list(customer_export.keys_with(site.call, journal_writing.BATCH_PREFIX))
        revision = site.call(store.Get(keys[1])).revision
        site.call(store.Swap(keys[1], revision, None))
        _, gaps = site.export("forno")
        [gap] = [g for g in gaps if g.reason is journal_gaps.GapReason.MISSING]
        self.assertEqual((gap.first_sequence, gap.last_sequence), (2, 2))
        self.assertTrue(is_listed(site.sent[1], [gap]))

    def test_interrupted_and_repeated_gives_the_same_file(self) -> None:
        site = Site()
        for number in range(20):
            site.search(VMS[number % 3], CUSTOMERS[number % 2])
            site.run(100)
        job = site.job("forno")
        with tempfile.TemporaryDirectory() as folder:
            whole = pathlib.Path(folder, "whole")
            customer_export.run(job, str(whole), lambda line: None)
            again = pathlib.Path(folder, "again")
            cut = job._replace(call=_failing_after(site.call, 12))
            with self.assertRaises(errors.PlatformUnreachableError):
                customer_export.run(cut, str(again), lambda line: None)
            self.assertFalse(again.exists())
            customer_export.run(job, str(again), lambda line: None)
            self.assertEqual(whole.read_bytes(), again.read_bytes())
            names = sorted(path.name for path in pathlib.Path(folder).iterdir())
            suffix = customer_export.SUMMARY_SUFFIX
            self.assertEqual(
                names, ["again", "again" + suffix, "whole", "whole" + suffix]
            )
            lines = [json.loads(line) for line in whole.read_text().splitlines()]
            self.assertEqual({line["customer"] for line in lines}, {"forno"})
            summary = json.loads(pathlib.Path(str(whole) + suffix).read_text())
            self.assertEqual(summary["records"], len(lines))

    def test_order_record_replaces_the_journal_record_or_stands_alone(self) -> None:
        site = Site()
        site.search("vm-1", "forno")
        site.run(1_000)
        [record], _ = site.export("forno")
        newer = record._replace(outcome="OrderDone")
        alone = record._replace(request_id="other")
        foreign = record._replace(request_id="foreign", customer="timer")
        job = site.job("forno")._replace(
            order_records=lambda call: (newer, alone, foreign)
        )
        export = customer_export.Export(job, lambda line: None)
        self.assertEqual(list(export.records()), [newer, alone])

    def test_segment_of_another_customer_is_never_opened(self) -> None:
        site = Site()
        site.search("vm-1", "timer")
        site.run(1_000)
        [key] = customer_export.keys_with(site.call, journal_writing.BATCH_PREFIX)
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
    left = iter(range(calls))

    def limited(operation: store.Operation) -> store.Result:
        if next(left, None) is None:
            raise errors.PlatformUnreachableError("interrupted")
        return call(operation)

    return limited
