"""Orders under one fault at a time, and the outcome that each caller gets."""

import unittest

from amaranthpulley.coordination import events
from amaranthpulley.coordination.orders import (
    claim_commit,
    claim_submission,
    order_lifecycle,
)
from amaranthpulley.state import daemon, requests, standin_leaf
from amaranthpulley.state.orders import claims
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import order_site

Refusal = requests.Refusal
CODES = requests.RefusalCode
STATUS = claims.ClaimStatus


def _run_for(site: order_site.OrderSite, time_ms: int) -> None:
    site.network.run_until(site.network.now_ms + time_ms)


def _set_leaf_faults(
    site: order_site.OrderSite, faults: standin_leaf.LeafFaults
) -> None:
    for leaf in site.network.targets.leaves.values():
        leaf.faults = faults


def _set_store_faults(
    site: order_site.OrderSite, faults: virtual_platform.StoreFaults
) -> None:
    site.network.platform.faults = faults


class OrderFaultTest(unittest.TestCase):
    """One fault at a time, with repeats of the order after it."""

    def setUp(self) -> None:
        self.site = order_site.OrderSite(seed=1)

    def _outcome_of(self, request_id: str) -> requests.Outcome:
        return self.site.outcomes[request_id]

    def _refusal(self, request_id: str) -> requests.RefusalCode:
        outcome = self._outcome_of(request_id)
        self.assertIsInstance(outcome, Refusal)
        self.assertTrue(outcome.not_run)
        return outcome.code

    def _assert_repeated(self, first: str, repeat: str) -> None:
        before, after = self._outcome_of(first), self._outcome_of(repeat)
        self.assertIsInstance(before, requests.OrderDone)
        self.assertEqual(after, before._replace(repeated=True))

    def test_duplicates_at_all_daemons_at_once_run_once(self) -> None:
        sent = [self.site.order(f"vm-{n % 3}", "key") for n in range(9)]
        _run_for(self.site, 1_000)
        outcomes = [self._outcome_of(request_id) for request_id in sent]
        self.assertEqual(self.site.runs["key"], 1)
        self.assertEqual(len({outcome.result for outcome in outcomes}), 1)
        self.assertEqual([o.repeated for o in outcomes].count(False), 1)

    def test_other_payload_under_the_same_key_is_refused(self) -> None:
        self.site.order("vm-0", "key")
        _run_for(self.site, 500)
        other = self.site.order("vm-1", "key", payload="oven at 10:00")
        _run_for(self.site, 500)
        self.assertEqual(self._refusal(other), CODES.KEY_REUSED)
        self.assertEqual(self.site.runs["key"], 1)

    def test_repeat_gets_a_late_receipt(self) -> None:
        _set_leaf_faults(self.site, standin_leaf.LeafFaults(delay_ms=2_000))
        first = self.site.order("vm-0", "key")
        _run_for(self.site, 1_500)
        self.assertIsInstance(self._outcome_of(first), requests.OrderUnknown)
        _run_for(self.site, 1_500)
        repeat = self.site.order("vm-1", "key")
        _run_for(self.site, 500)
        self.assertTrue(self._outcome_of(repeat).repeated)
        self.assertEqual(self.site.runs["key"], 1)

    def test_lost_order_stays_unknown(self) -> None:
        _set_leaf_faults(self.site, standin_leaf.LeafFaults(lost=True))
        first = self.site.order("vm-0", "key")
        _run_for(self.site, 10_000)
        _set_leaf_faults(self.site, standin_leaf.LeafFaults())
        repeat = self.site.order("vm-1", "key")
        _run_for(self.site, 300)
        for request_id in (first, repeat):
            self.assertIsInstance(self._outcome_of(request_id), requests.OrderUnknown)
        self.assertEqual(self.site.runs["key"], 0)

    def test_claim_of_a_dead_daemon_is_unknown(self) -> None:
        _set_leaf_faults(self.site, standin_leaf.LeafFaults(delay_ms=300))
        self.site.order("vm-0", "key")
        _run_for(self.site, 100)
        self.site.restart("vm-0")
        _run_for(self.site, 200)
        repeat = self.site.order("vm-0", "key")
        _run_for(self.site, 2_000)
        self.assertIsInstance(self._outcome_of(repeat), requests.OrderUnknown)
        self.assertEqual(self.site.runs["key"], 1)

    def test_store_down_refuses_and_a_repeat_runs(self) -> None:
        _set_store_faults(self.site, virtual_platform.StoreFaults(down=True))
        first = self.site.order("vm-0", "key")
        _run_for(self.site, 1_500)
        self.assertEqual(self._refusal(first), CODES.STORE_UNAVAILABLE)
        _set_store_faults(self.site, virtual_platform.StoreFaults())
        repeat = self.site.order("vm-1", "key")
        _run_for(self.site, 500)
        self.assertFalse(self._outcome_of(repeat).repeated)
        self.assertEqual(self.site.runs["key"], 1)

    def test_lost_store_replies_refuse_and_a_repeat_runs(self) -> None:
        # An earlier order loads the range; otherwise the write of the claim would wait
        # for the lost reply of the load.
        other = next(key for key in _keys() if _index_of(key) == _index_of("key"))
        self.site.order("vm-0", other)
        _run_for(self.site, 1_000)
        _set_store_faults(self.site, virtual_platform.StoreFaults(lost_reply_share=1.0))
        first = self.site.order("vm-0", "key")
        _run_for(self.site, 1_500)
        self.assertEqual(self._refusal(first), CODES.STORE_UNAVAILABLE)
        _set_store_faults(self.site, virtual_platform.StoreFaults())
        _run_for(self.site, 15_000)
        statuses = [claim.status for claim in self.site.stored_claims()]
        self.assertCountEqual(statuses, [STATUS.DONE, STATUS.NOT_RUN])
        repeat = self.site.order("vm-1", "key")
        _run_for(self.site, 500)
        self.assertFalse(self._outcome_of(repeat).repeated)
        self.assertEqual(self.site.runs["key"], 1)

    def test_outcome_survives_a_store_outage_after_the_send(self) -> None:
        _set_leaf_faults(self.site, standin_leaf.LeafFaults(delay_ms=200))
        first = self.site.order("vm-0", "key")
        _run_for(self.site, 100)
        _set_store_faults(self.site, virtual_platform.StoreFaults(down=True))
        _run_for(self.site, 60_000)
        _set_store_faults(self.site, virtual_platform.StoreFaults())
        _run_for(self.site, 15_000)
        repeat = self.site.order("vm-2", "key")
        _run_for(self.site, 500)
        self._assert_repeated(first, repeat)

    def test_refusing_targets_are_retried_until_one_accepts(self) -> None:
        leaves = list(self.site.network.targets.leaves.values())
        for leaf in leaves:
            leaf.slots = 0
        first = self.site.order("vm-0", "key")
        _run_for(self.site, 100)
        leaves[0].slots = 1
        _run_for(self.site, 900)
        self.assertIsInstance(self._outcome_of(first), requests.OrderDone)
        self.assertEqual(self.site.runs["key"], 1)

    def test_all_targets_refuse_and_a_repeat_runs(self) -> None:
        leaves = list(self.site.network.targets.leaves.values())
        for leaf in leaves:
            leaf.slots = 0
        first = self.site.order("vm-0", "key")
        _run_for(self.site, 2_000)
        self.assertEqual(self._refusal(first), CODES.NO_TARGET)
        for leaf in leaves:
            leaf.slots = 1
        repeat = self.site.order("vm-1", "key")
        _run_for(self.site, 500)
        self.assertFalse(self._outcome_of(repeat).repeated)

    def test_request_that_waited_for_the_claim_is_refused_as_not_run(self) -> None:
        for leaf in self.site.network.targets.leaves.values():
            leaf.slots = 0
        self.site.order("vm-0", "key")
        _run_for(self.site, order_site.DEADLINE_MS // 2)
        waited = self.site.order("vm-1", "key")
        _run_for(self.site, 3 * order_site.DEADLINE_MS)
        self.assertIs(self._refusal(waited), CODES.NO_TARGET)
        self.assertEqual(self.site.runs["key"], 0)

    def test_daemon_paused_before_the_send_does_not_send(self) -> None:
        first = self.site.order("vm-0", "key")
        self.site.network.pause("vm-0", 3_000)
        _run_for(self.site, 3_500)
        self.assertEqual(self._refusal(first), CODES.DEADLINE_PASSED)
        self.assertEqual(self.site.runs["key"], 0)
        repeat = self.site.order("vm-1", "key")
        _run_for(self.site, 1_000)
        self.assertFalse(self._outcome_of(repeat).repeated)
        self.assertEqual(self.site.runs["key"], 1)

    def test_paused_owner_grants_no_claim_when_it_resumes(self) -> None:
        key = next(key for key in _keys() if self._owner_of(key) == "vm-1")
        first = self.site.order("vm-0", key)
        self.site.network.pause("vm-1", 3_000)
        _run_for(self.site, 2_000)
        self.assertIsInstance(self._outcome_of(first), requests.OrderDone)
        _run_for(self.site, 2_000)
        repeat = self.site.order("vm-1", key)
        _run_for(self.site, 1_000)
        self._assert_repeated(first, repeat)
        self.assertEqual(self.site.runs[key], 1)

    def test_unreachable_owner_is_replaced(self) -> None:
        key = next(key for key in _keys() if self._owner_of(key) == "vm-1")
        self.site.network.crash("vm-1")
        first = self.site.order("vm-0", key)
        _run_for(self.site, 1_000)
        self.assertIsInstance(self._outcome_of(first), requests.OrderDone)

    def _owner_of(self, key: str) -> str:
        state = self.site.network.daemons["vm-0"].state
        return state.members.owner_of(claim_submission.owner_key(_index_of(key))).name


def _index_of(key: str) -> int:
    request = requests.OrderRequest("", order_site.CUSTOMER, "", key, "")
    return claims.range_of(order_lifecycle.claim_key(request))


def _keys() -> list[str]:
    return [f"key-{number}" for number in range(100)]


class RetentionTest(unittest.TestCase):
    """The time for which idempotency keys are retained."""

    RETENTION_MS = 600_000

    def setUp(self) -> None:
        limits = daemon.Limits(order_retention_ms=self.RETENTION_MS)
        self.site = order_site.OrderSite(seed=1, limits=limits)

    def _repeat_after(self, time_ms: int) -> requests.Outcome:
        first = self.site.order("vm-0", "key")
        _run_for(self.site, time_ms)
        self.assertIsInstance(self.site.outcomes[first], requests.OrderDone)
        repeat = self.site.order("vm-1", "key")
        _run_for(self.site, 1_000)
        return self.site.outcomes[repeat]

    def test_repeat_within_the_retention_gets_the_first_outcome(self) -> None:
        self.assertTrue(self._repeat_after(self.RETENTION_MS - 1_000).repeated)
        self.assertEqual(self.site.runs["key"], 1)

    def test_repeat_after_the_retention_is_a_new_order(self) -> None:
        self.assertFalse(self._repeat_after(self.RETENTION_MS + 1_000).repeated)
        self.assertEqual(self.site.runs["key"], 2)

    def test_new_owner_knows_the_keys_within_the_retention(self) -> None:
        first = self.site.order("vm-0", "key")
        _run_for(self.site, 1_000)
        for name in ("vm-0", "vm-1", "vm-2"):
            self.site.restart(name)
        _run_for(self.site, 1_000)
        repeat = self.site.order("vm-1", "key")
        _run_for(self.site, 1_000)
        done = self.site.outcomes[first]
        self.assertEqual(self.site.outcomes[repeat], done._replace(repeated=True))


class SegmentTest(unittest.TestCase):
    """Ranges whose claims fill several segments."""

    def test_new_owner_knows_the_keys_of_sealed_segments(self) -> None:
        site = order_site.OrderSite(seed=1, slots=1_000)
        payload = "x" * (claim_commit.SEAL_THRESHOLD_BYTES // 4)
        keys = [f"key-{number}" for number in range(400)]
        for index, key in enumerate(keys):
            site.network.after(
                index * 20, lambda key=key: site.order("vm-0", key, payload)
            )
        _run_for(site, 20_000)
        segments = site.segment_keys()
        self.assertGreater(len(segments), 2 * claims.RANGE_COUNT)
        for name in ("vm-0", "vm-1", "vm-2"):
            site.restart(name)
        _run_for(site, 2_000)
        for key in keys:
            site.order("vm-1", key, payload)
        _run_for(site, 20_000)
        self.assertEqual(set(site.runs.values()), {1})
        sizes = [site.segment_bytes(key) for key in segments]
        self.assertLess(max(sizes), 1_000_000)

    def test_old_segments_are_deleted_when_newer_ones_are_sealed(self) -> None:
        limits = daemon.Limits(
            order_retention_ms=600_000, order_record_retention_ms=1_200_000
        )
        site = order_site.OrderSite(seed=1, slots=1_000, limits=limits)
        counts = []
        for _ in range(4):
            self._fill(site)
            counts.append(len(site.segment_keys()))
            _run_for(site, 700_000)
        self.assertGreater(counts[1], counts[0])
        # The store keeps the segments of two rounds and the open segment of each range.
        self.assertLessEqual(counts[3], counts[1] + 2 * claims.RANGE_COUNT)
        self.assertLess(counts[3], 3 * counts[0])

    def _fill(self, site: order_site.OrderSite) -> None:
        payload = "x" * (claim_commit.SEAL_THRESHOLD_BYTES // 2)
        for number in range(400):
            key = f"key-{site.network.now_ms}-{number}"
            site.network.after(
                number * 10, lambda key=key: site.order("vm-0", key, payload)
            )
        _run_for(site, 10_000)


class RecordTest(unittest.TestCase):
    """The journal record of an order is stored in its claim."""

    def test_record_is_in_the_store_before_the_send(self) -> None:
        site = order_site.OrderSite(seed=1)
        _set_leaf_faults(site, standin_leaf.LeafFaults(delay_ms=500))
        request_id = site.order("vm-0", "key")
        _run_for(site, 200)
        [claim] = site.stored_claims()
        self.assertEqual(claim.record.request_id, request_id)
        self.assertEqual((claim.record.key, claim.record.outcome), ("key", ""))
        _run_for(site, 1_000)
        [claim] = site.stored_claims()
        self.assertEqual(
            (claim.record.outcome, claim.record.attempts), ("OrderDone", 1)
        )


class DrainTest(unittest.TestCase):
    """A daemon that drains before it exits."""

    def test_drain_waits_for_the_record_of_a_late_receipt(self) -> None:
        site = order_site.OrderSite(seed=1)
        _set_leaf_faults(site, standin_leaf.LeafFaults(delay_ms=3_000))
        site.order("vm-0", "key")
        _run_for(site, 500)
        site.network.feed(site.network.daemons["vm-0"], events.DrainRequested())
        _run_for(site, 20_000)
        self.assertEqual(site.network.daemons["vm-0"].exit_code, 0)
        [claim] = site.stored_claims()
        self.assertEqual(claim.status, STATUS.DONE)
