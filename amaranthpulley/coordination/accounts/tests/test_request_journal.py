"""Tests of the journal's numbers, writes and policies, one event at a time."""

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


class Bench:
    """A daemon whose store calls are answered by hand."""

    def __init__(self, **limits: object) -> None:
        self.daemon = daemon.Daemon(_identity(), daemon.Limits(**limits))
        self.store = standin_store.StandInStore()
        self.calls: list[commands.CallStore] = []
        self.now_ms = START_MS
        self.requests = 0
        self.feed(events.Started(WALL_MS))

    def feed(self, event: events.Event) -> list[commands.Command]:
        """Give an event to the daemon and keep its journal calls."""
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
        """Answer the oldest journal call, by the store unless a result is given."""
        call = self.calls.pop(0)
        if effect:
            real = self.store.call(call.operation, self.now_ms)
        self.feed(events.StoreReplied(call.purpose, call.operation, result or real))

    def settle(self) -> None:
        """Answer journal calls until there are none."""
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
        """Let the flush timer run out."""
        self.now_ms += wait_ms
        self.feed(events.TimerDue(request_journal.FlushDue()))

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
    """What the store does to the first write of a batch."""

    name: str
    result: store.Result
    effect: bool


class JournalingTest(unittest.TestCase):
    """Numbers, batches, lives and the policy of a full memory."""

    def test_life_is_announced_before_the_first_batch(self) -> None:
        bench = Bench()
        bench.ask()
        bench.tick()
        [call] = bench.calls
        self.assertTrue(call.operation.key.startswith(journal_writes.LIFE_PREFIX))
        bench.settle()
        self.assertEqual(bench.life().status, journal.LifeStatus.OPEN)
        self.assertEqual(len(bench.batches()), 1)

    def test_batch_holds_each_customer_apart(self) -> None:
        bench = Bench()
        for customer in ("b", "a", "b"):
            bench.ask(customer)
        bench.tick()
        bench.settle()
        [batch] = bench.batches()
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
                bench = Bench()
                bench.settle()
                bench.ask()
                bench.tick()
                [first] = bench.calls
                bench.reply(case.result, case.effect)
                bench.ask()
                bench.tick()
                self.assertEqual(bench.calls, [])
                bench.feed(events.TimerDue(journal_writes.WriteRetryDue()))
                self.assertEqual(bench.calls[0].operation, first.operation)
                bench.settle()
                covered = [
                    (chunk.first_sequence, chunk.last_sequence)
                    for batch in bench.batches()
                    for chunk in batch.chunks
                ]
                self.assertEqual(covered, [(1, 1), (2, 2)])
                self.assertEqual(bench.daemon.journal.unwritten_records, 0)

    def test_lost_reply_to_the_announcement_is_read_back(self) -> None:
        bench = Bench()
        bench.reply(LOST, effect=True)
        bench.feed(events.TimerDue(journal_writes.WriteRetryDue()))
        bench.settle()
        self.assertTrue(bench.daemon.journal.announced)
        self.assertIsNone(bench.daemon.journal.pending_write)

    def test_life_that_another_daemon_closed_is_opened_again(self) -> None:
        bench = Bench()
        bench.settle()
        key = journal_writes.life_key("vm-1", "life1")
        lapsed = bench.life()._replace(status=journal.LifeStatus.LAPSED)
        revision = bench.store.call(store.Get(key), 0).revision
        value = stored_values.encode_life(lapsed)
        bench.store.call(store.Swap(key, revision, value), 0)
        bench.tick(journal_writes.CHECKPOINT_INTERVAL_MS)
        bench.settle()
        self.assertEqual(bench.life().status, journal.LifeStatus.OPEN)

    def test_batch_ends_with_its_time_bucket(self) -> None:
        bench = Bench()
        bench.settle()
        for _ in range(2):
            bench.ask()
            bench.tick()
            bench.now_ms += journal_writes.BUCKET_MS
        bench.settle()
        self.assertEqual(len(bench.batches()), 2)
        previous = bench.batches()[1].previous_bucket_ms
        self.assertEqual(previous, journal_writes.bucket_of(WALL_MS + START_MS))

    def test_full_memory_refuses_and_numbers_the_refusals(self) -> None:
        bench = Bench(journal_memory_bytes=400)
        outcomes = [bench.ask() for _ in range(9)]
        codes = [outcome.code for outcome in outcomes]
        refused = requests.RefusalCode.STORE_UNAVAILABLE
        self.assertEqual(codes[-1], refused)
        self.assertTrue(outcomes[-1].not_run)
        kept = codes.index(refused)
        bench.tick()
        bench.settle()
        bench.ask()
        bench.tick()
        bench.settle()
        chunks = [chunk for batch in bench.batches() for chunk in batch.chunks]
        self.assertEqual(chunks[-2].last_sequence, kept)
        self.assertEqual(chunks[-1].dropped_count, 9 - kept)
        self.assertEqual(chunks[-1].first_sequence, 10)

    def test_drop_policy_serves_on(self) -> None:
        bench = Bench(
            journal_memory_bytes=400, journal_when_full=journal.OverflowPolicy.DROP
        )
        codes = {bench.ask().code for _ in range(9)}
        # The daemon has no ticket yet; its journal refuses nothing.
        self.assertEqual(codes, {requests.RefusalCode.NOT_READY})
        self.assertEqual(bench.daemon.journal.last_sequence, 9)
        self.assertLess(bench.daemon.journal.size_bytes, 1_000)

    def test_life_first_refuses_until_the_store_knows_the_life(self) -> None:
        bench = Bench(journal_life_first=True)
        refused = requests.RefusalCode.STORE_UNAVAILABLE
        self.assertIs(bench.ask().code, refused)
        bench.settle()
        self.assertIsNot(bench.ask().code, refused)

    def test_drain_waits_for_the_store_and_closes_the_life(self) -> None:
        bench = Bench(drain_grace_ms=0)
        bench.settle()
        bench.ask()
        bench.feed(events.DrainRequested())
        bench.tick(50)
        bench.reply(DOWN, effect=False)
        self.assertGreater(request_journal.pending_write_count(bench.daemon), 0)
        bench.feed(events.TimerDue(journal_writes.WriteRetryDue()))
        bench.settle()
        bench.tick(50)
        bench.settle()
        self.assertEqual(request_journal.pending_write_count(bench.daemon), 0)
        self.assertEqual(bench.life().status, journal.LifeStatus.CLOSED)
        self.assertEqual(bench.life().last_sequence, 1)

    def test_interval_grows_with_the_fleet(self) -> None:
        bench = Bench()
        self.assertEqual(journal_writes.flush_interval_ms(bench.daemon), 5_000)
        vm = bench.daemon.members.live[0]
        bench.daemon.members.replace(
            vm._replace(name=f"vm-{number}") for number in range(8_299)
        )
        rate = 8_299 / journal_writes.flush_interval_ms(bench.daemon) * 1_000
        self.assertLessEqual(rate, journal_writes.FLEET_WRITES_PER_SECOND + 1)
