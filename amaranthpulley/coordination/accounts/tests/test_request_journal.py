"""Tests of the journal's numbering, writes and overflow policies, event by event."""

import unittest
from typing import NamedTuple

from amaranthpulley.coordination import commands, engine, events, stored_values
from amaranthpulley.coordination.accounts import journal_writes, request_journal
from amaranthpulley.state import daemon, requests, standin_store, store
from amaranthpulley.state.accounts import journal

WALL_MS = 1_000_000_000_000
START_MS = 10


def _identity() -> daemon.Identity:
    return daemon.Identity("vm-1", "10.0.0.1:1", "Recife", "Recife", "life1")


class JournalHarness:
    """A daemon whose journal's store calls are answered one by one by the test."""

    def __init__(self, **limits: object) -> None:
        self.daemon = daemon.Daemon(_identity(), daemon.Limits(**limits))
        self.store = standin_store.StandInStore()
        self.calls: list[commands.CallStore] = []
        self.now_ms = START_MS
        self.requests = 0
        self.feed(events.Started(WALL_MS))

    def feed(self, event: events.Event) -> list[commands.Command]:
        """Pass an event to the daemon and queue its journal's store calls."""
        decided = engine.step(self.daemon, event, self.now_ms, lambda: 0.5)
        purposes = (journal_writes.JournalWritten, journal_writes.LifeRead)
        self.calls += [
            command
            for command in decided
            if isinstance(command, commands.CallStore)
            and isinstance(command.purpose, purposes)
        ]
        return decided

    def reply(self, result: store.Result | None = None, effect: bool = True) -> None:
        """Answer the oldest queued call with the given result or the store's.

        Without `effect` the store does not execute the call.
        """
        call = self.calls.pop(0)
        if effect:
            real = self.store.call(call.operation, self.now_ms)
        self.feed(events.StoreReplied(call.purpose, call.operation, result or real))

    def settle(self) -> None:
        """Answer queued calls until none is left."""
        while self.calls:
            self.reply()

    def ask(self, customer: str = "c", query: str = "q") -> requests.Outcome:
        """Send a request that is refused at once, and return the refusal."""
        self.requests += 1
        request = requests.SearchRequest(f"r{self.requests}", customer, "none", query)
        decided = self.feed(events.SearchReceived(request))
        [answer] = [c for c in decided if isinstance(c, commands.AnswerCaller)]
        return answer.outcome

    def tick(self, wait_ms: int = 5_000) -> None:
        """Advance the clock and fire the flush timer."""
        self.now_ms += wait_ms
        chain = self.daemon.journal.flush_chain
        self.feed(events.TimerDue(request_journal.FlushDue(chain)))

    def batches(self) -> list[journal.Batch]:
        """Return the batches in the store."""
        keys = self.store.call(store.ListKeys(journal_writes.BATCH_PREFIX), 0).keys
        return [
            stored_values.decode_batch(self.store.call(store.Get(key), 0).value)
            for key in keys
        ]

    def life(self) -> journal.Life:
        """Return the life in the store."""
        key = journal_writes.life_key("vm-1", "life1")
        return stored_values.decode_life(self.store.call(store.Get(key), 0).value)


LOST = store.StoreFailed("timed out", unknown=True)
DOWN = store.StoreFailed("down", unknown=False)


class WriteCase(NamedTuple):
    """How the first write of a batch fails."""

    name: str
    result: store.Result
    effect: bool


class RequestJournalTest(unittest.TestCase):
    """Sequence numbers, batches, lives and the overflow policies."""

    def test_life_is_announced_before_the_first_batch(self) -> None:
        harness = JournalHarness()
        harness.ask()
        harness.tick()
        [call] = harness.calls
        self.assertTrue(call.operation.key.startswith(journal_writes.LIFE_PREFIX))
        harness.settle()
        self.assertEqual(harness.life().status, journal.LifeStatus.OPEN)
        self.assertEqual(len(harness.batches()), 1)

    def test_a_drain_replaces_the_chain_of_flushes(self) -> None:
        harness = JournalHarness()
        harness.settle()
        decided = harness.feed(events.DrainRequested())
        earlier, current = (request_journal.FlushDue(chain) for chain in (0, 1))
        due = [c.purpose for c in decided if isinstance(c, commands.SetTimer)]
        self.assertEqual(due.count(current), 1)
        self.assertEqual(harness.feed(events.TimerDue(earlier)), [])
        self.assertTrue(harness.feed(events.TimerDue(current)))

    def test_batch_has_a_segment_for_each_customer(self) -> None:
        harness = JournalHarness()
        for customer in ("b", "a", "b"):
            harness.ask(customer)
        harness.tick()
        harness.settle()
        [batch] = harness.batches()
        [chunk] = batch.chunks
        self.assertEqual((chunk.first_sequence, chunk.last_sequence), (1, 3))
        counts = [(segment.customer, segment.count) for segment in chunk.segments]
        self.assertEqual(counts, [("a", 1), ("b", 2)])
        records = stored_values.decompress_records(chunk.segments[1].data)
        self.assertEqual([numbered.sequence for numbered in records], [1, 3])
        self.assertEqual(records[0].record.received_ms, WALL_MS + START_MS)

    def test_failed_write_is_repeated_unchanged(self) -> None:
        cases = (
            WriteCase("refused", DOWN, effect=False),
            WriteCase("reply lost before the effect", LOST, effect=False),
            WriteCase("reply lost after the effect", LOST, effect=True),
        )
        for case in cases:
            with self.subTest(case.name):
                harness = JournalHarness()
                harness.settle()
                harness.ask()
                harness.tick()
                [first] = harness.calls
                harness.reply(case.result, case.effect)
                harness.ask()
                harness.tick()
                self.assertEqual(harness.calls, [])
                harness.feed(events.TimerDue(journal_writes.WriteRetryDue()))
                self.assertEqual(harness.calls[0].operation, first.operation)
                harness.settle()
                covered = [
                    (chunk.first_sequence, chunk.last_sequence)
                    for batch in harness.batches()
                    for chunk in batch.chunks
                ]
                self.assertEqual(covered, [(1, 1), (2, 2)])
                self.assertEqual(harness.daemon.journal.unwritten_records, 0)

    def test_lost_reply_to_the_announcement_is_read_back(self) -> None:
        harness = JournalHarness()
        harness.reply(LOST, effect=True)
        harness.feed(events.TimerDue(journal_writes.WriteRetryDue()))
        harness.settle()
        self.assertTrue(harness.daemon.journal.announced)
        self.assertIsNone(harness.daemon.journal.pending_write)

    def test_life_that_another_daemon_closed_is_opened_again(self) -> None:
        harness = JournalHarness()
        harness.settle()
        key = journal_writes.life_key("vm-1", "life1")
        lapsed = harness.life()._replace(status=journal.LifeStatus.LAPSED)
        revision = harness.store.call(store.Get(key), 0).revision
        value = stored_values.encode_life(lapsed)
        harness.store.call(store.Swap(key, revision, value), 0)
        harness.tick(journal_writes.CHECKPOINT_INTERVAL_MS)
        harness.settle()
        self.assertEqual(harness.life().status, journal.LifeStatus.OPEN)

    def test_batch_ends_with_its_time_bucket(self) -> None:
        harness = JournalHarness()
        harness.settle()
        for _ in range(2):
            harness.ask()
            harness.tick()
            harness.now_ms += journal_writes.BUCKET_MS
        harness.settle()
        self.assertEqual(len(harness.batches()), 2)
        previous = harness.batches()[1].previous_bucket_ms
        self.assertEqual(previous, journal_writes.bucket_of(WALL_MS + START_MS))

    def test_full_memory_refuses_and_numbers_the_refusals(self) -> None:
        harness = JournalHarness(journal_memory_bytes=400)
        outcomes = [harness.ask() for _ in range(9)]
        codes = [outcome.code for outcome in outcomes]
        refused = requests.RefusalCode.STORE_UNAVAILABLE
        self.assertEqual(codes[-1], refused)
        self.assertTrue(outcomes[-1].not_run)
        kept = codes.index(refused)
        harness.tick()
        harness.settle()
        harness.ask()
        harness.tick()
        harness.settle()
        chunks = [chunk for batch in harness.batches() for chunk in batch.chunks]
        self.assertEqual(chunks[-2].last_sequence, kept)
        self.assertEqual(chunks[-1].dropped_count, 9 - kept)
        self.assertEqual(chunks[-1].first_sequence, 10)

    def test_drop_policy_keeps_serving(self) -> None:
        harness = JournalHarness(
            journal_memory_bytes=400, journal_when_full=journal.OverflowPolicy.DROP
        )
        codes = {harness.ask().code for _ in range(9)}
        # The refusals are due to the missing configuration, not to the journal.
        self.assertEqual(codes, {requests.RefusalCode.NOT_READY})
        self.assertEqual(harness.daemon.journal.last_sequence, 9)
        self.assertLess(harness.daemon.journal.size_bytes, 1_000)

    def test_life_first_refuses_until_the_store_holds_the_life(self) -> None:
        harness = JournalHarness(journal_life_first=True)
        refused = requests.RefusalCode.STORE_UNAVAILABLE
        self.assertIs(harness.ask().code, refused)
        harness.settle()
        self.assertIsNot(harness.ask().code, refused)

    def test_drain_waits_for_the_store_and_closes_the_life(self) -> None:
        harness = JournalHarness(drain_grace_ms=0)
        harness.settle()
        harness.ask()
        harness.feed(events.DrainRequested())
        harness.tick(50)
        harness.reply(DOWN, effect=False)
        self.assertGreater(request_journal.pending_write_count(harness.daemon), 0)
        harness.feed(events.TimerDue(journal_writes.WriteRetryDue()))
        harness.settle()
        harness.tick(50)
        harness.settle()
        self.assertEqual(request_journal.pending_write_count(harness.daemon), 0)
        self.assertEqual(harness.life().status, journal.LifeStatus.CLOSED)
        self.assertEqual(harness.life().last_sequence, 1)

    def test_interval_grows_with_the_fleet(self) -> None:
        harness = JournalHarness()
        self.assertEqual(journal_writes.flush_interval_ms(harness.daemon), 5_000)
        vm = harness.daemon.members.live[0]
        harness.daemon.members.replace(
            vm._replace(name=f"vm-{number}") for number in range(8_299)
        )
        rate = 8_299 / journal_writes.flush_interval_ms(harness.daemon) * 1_000
        self.assertLessEqual(rate, journal_writes.FLEET_WRITES_PER_SECOND + 1)
