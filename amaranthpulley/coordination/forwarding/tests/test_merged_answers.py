"""Tests of answers that are merged from several shards."""

import unittest

from amaranthpulley.coordination.forwarding import commands, events, record_merge
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import requests

RECORDS = [bytes([value]) * record_merge.RECORD_BYTES for value in range(10)]


def _site() -> gateway_site.GatewaySite:
    site = gateway_site.GatewaySite()
    entries = [
        gateway_site.entry(f"{shard}-{number}", shard)
        for shard in gateway_site.SHARDS
        for number in range(3)
    ]
    site.begin(gateway_site.configuration(gateway_site.route()), *entries)
    return site


class GreatestRecordsTest(unittest.TestCase):
    """Merging of record lists."""

    def test_records_are_sorted_in_descending_order_and_duplicates_kept(self) -> None:
        cases = [
            ([RECORDS[1] + RECORDS[7], RECORDS[3]], 2, RECORDS[7] + RECORDS[3]),
            ([RECORDS[5], RECORDS[5]], 3, RECORDS[5] * 2),
            ([RECORDS[2] + b"rest"], 3, RECORDS[2]),
            ([b"", b"short"], 3, b""),
            ([RECORDS[4] + RECORDS[6]], 1, RECORDS[6]),
        ]
        for parts, count, expected in cases:
            with self.subTest(parts=parts, count=count):
                self.assertEqual(record_merge.greatest_records(parts, count), expected)


class MergedAnswerTest(unittest.TestCase):
    """Time and content of a merged answer."""

    def test_the_answer_is_sent_once_all_parts_have_arrived(self) -> None:
        site = _site()
        key = site.request()
        for number, sent in enumerate(site.sends_of(key)):
            given = gateway_site.answer(body=RECORDS[number], signature=b"s%d" % number)
            site.reply(sent, given)
        merged = site.answers[key]
        self.assertIsInstance(merged, commands.SendMerged)
        self.assertEqual(merged.missing, 0)
        self.assertEqual(set(merged.signatures), {b"s0", b"s1", b"s2"})
        self.assertEqual(merged.body, RECORDS[2] + RECORDS[1] + RECORDS[0])

    def test_each_shard_gets_one_attempt_at_first(self) -> None:
        site = _site()
        key = site.request()
        self.assertEqual(len(site.sends_of(key)), len(gateway_site.SHARDS))

    def test_a_request_that_cannot_have_its_coverage_ends_at_once(self) -> None:
        site = _site()
        key = site.request()
        lost = 0
        while key not in site.answers:
            sent = [
                sent
                for sent in site.sends_of(key)
                if not sent.command.leaf_id.startswith("shard-0")
            ]
            site.fail(sent[lost], requests.AttemptEnd.FAILED)
            lost += 1
        self.assertIs(site.answers[key].reason, commands.Refusal.TOO_FEW_SHARDS)
        self.assertEqual(site.answers[key].not_run, False)

    def test_it_frees_its_places_in_the_queues(self) -> None:
        site = _site()
        for number in range(3):
            leaf = site.gateway.directory.get(f"shard-0-{number}")
            leaf.full_until_ms = site.now_ms + 400
        key = site.request()
        self.assertEqual(site.gateway.waiting.services, ["shard-0"])
        lost = 0
        while key not in site.answers:
            site.fail(site.sends_of(key)[lost], requests.AttemptEnd.FAILED)
            lost += 1
        self.assertEqual(site.gateway.waiting.services, [])

    def test_a_late_shard_is_missing_when_the_objective_ends(self) -> None:
        site = _site()
        key = site.request()
        for sent in site.sends_of(key)[:2]:
            site.reply(sent, gateway_site.answer(body=RECORDS[1]))
        site.advance(110)
        self.assertNotIn(key, site.answers)
        site.advance(15)
        self.assertEqual(site.answers[key].missing, 1)

    def test_too_few_parts_are_refused_at_the_timeout(self) -> None:
        site = _site()
        key = site.request()
        site.reply(site.sends_of(key)[0], gateway_site.answer(body=RECORDS[1]))
        site.advance(700)
        self.assertNotIn(key, site.answers)
        site.advance(100)
        refused = site.answers[key]
        self.assertIs(refused.reason, commands.Refusal.TIMED_OUT)
        self.assertFalse(refused.not_run)

    def test_a_shard_with_an_unusable_answer_is_sent_to_another_leaf(self) -> None:
        cases = {
            "failure with a signature": gateway_site.answer(500),
            "no signature": gateway_site.answer(signature=b""),
            "encoded": gateway_site.answer(encoded=True),
            "full": gateway_site.REJECTED,
        }
        for name, given in cases.items():
            with self.subTest(name):
                site = _site()
                key = site.request()
                first = site.sends_of(key)[0]
                site.reply(first, given)
                again = site.sends_of(key)[-1].command
                self.assertEqual(len(site.sends_of(key)), 4)
                self.assertNotEqual(again.leaf_id, first.command.leaf_id)

    def test_a_shard_with_lost_answers_is_retried_on_the_same_leaves(
        self,
    ) -> None:
        site = _site()
        key = site.request()
        first, *others = site.sends_of(key)
        shard = first.command.leaf_id.rpartition("-")[0]
        # A request that no shard answers may be the cause itself.
        for sent in others:
            site.reply(sent, gateway_site.answer(signature=b"other"))

        def of_shard() -> list[gateway_site.Sent]:
            found = site.sends_of(key)
            return [s for s in found if s.command.leaf_id.startswith(shard)]

        for _ in range(8):
            site.fail(of_shard()[-1], requests.AttemptEnd.LOST)
        sent = [s.command.leaf_id for s in of_shard()]
        self.assertEqual(len(sent), 4)
        self.assertEqual(len(set(sent)), gateway_site.route().maximum_leaves)

    def test_the_answer_of_the_slower_attempt_is_not_merged(self) -> None:
        site = _site()
        key = site.request()
        first, other, last = site.sends_of(key)
        # Without an answer, parts are sent to second leaves one at a time.
        site.reply(other, gateway_site.answer(body=RECORDS[1]))
        site.advance(60)
        second = next(
            s
            for s in site.sends_of(key)[3:]
            if s.command.leaf_id.startswith(first.command.leaf_id[:7])
        )
        site.reply(second, gateway_site.answer(body=RECORDS[3], signature=b"second"))
        site.reply(first, gateway_site.answer(body=RECORDS[4], signature=b"first"))
        site.reply(last, gateway_site.answer(body=RECORDS[1]))
        merged = site.answers[key]
        self.assertNotIn(b"first", merged.signatures)
        self.assertNotIn(RECORDS[4], merged.body)

    def test_a_new_configuration_does_not_change_a_running_request(self) -> None:
        site = _site()
        key = site.request()
        changed = gateway_site.route(shards=("others",))
        newer = gateway_site.configuration(changed, version=2)
        site.feed(events.ConfigurationRead(newer))
        for sent in site.sends_of(key):
            site.reply(sent, gateway_site.answer(body=RECORDS[1]))
        self.assertEqual(site.answers[key].missing, 0)

    def test_a_request_without_enough_leaves_is_refused_unsent(self) -> None:
        site = gateway_site.GatewaySite()
        only = gateway_site.entry("l", "shard-0")
        site.begin(gateway_site.configuration(gateway_site.route()), only)
        key = site.request()
        self.assertEqual(site.sent, [])
        self.assertTrue(site.answers[key].not_run)
        self.assertGreater(site.answers[key].retry_after_ms, 0)

    def test_a_refusal_after_lost_attempts_does_not_state_not_run(self) -> None:
        site = _site()
        key = site.request()
        while key not in site.answers:
            running = [
                sent
                for sent in site.sends_of(key)
                if sent.command.attempt in site.gateway.attempts
            ]
            site.fail(running[0], requests.AttemptEnd.LOST)
        self.assertFalse(site.answers[key].not_run)


class PartSizeTest(unittest.TestCase):
    """Parts that are larger than the merged answer, or too large to be read."""

    def test_parts_keep_only_the_records_that_the_answer_can_hold(self) -> None:
        site = _site()
        key = site.request()
        body = b"".join(RECORDS)
        site.reply(site.sends_of(key)[0], gateway_site.answer(body=body))
        kept = [c.answer for c in site.gateway.requests[key].calls if c.answer]
        self.assertEqual([part.body for part in kept], [b"".join(RECORDS[:6:-1])])

    def test_oversized_part_is_logged_counted_and_asked_elsewhere(self) -> None:
        site = _site()
        key = site.request()
        first = site.sends_of(key)[0]
        site.fail(first, requests.AttemptEnd.OVERSIZED)
        repeated = site.sends_of(key)[-1]
        self.assertNotEqual(repeated.command.leaf_id, first.command.leaf_id)
        logged = [c.event.name for c in site.others if hasattr(c, "event")]
        self.assertIn("leaf_answer_oversized", logged)
        counters = site.gateway.counters
        total = counters.total("forward_failures_total", end="oversized")
        self.assertEqual(total, 1)
        leaf = site.gateway.directory.get(first.command.leaf_id)
        self.assertGreater(leaf.failure_share, 0.0)
