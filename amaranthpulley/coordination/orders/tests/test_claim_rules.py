"""Tests of the claim rules and of the stored form of segments."""

import unittest
from typing import Final, NamedTuple

from amaranthpulley.coordination import stored_values
from amaranthpulley.coordination.orders import claim_erasure, claim_rules
from amaranthpulley.state.accounts import journal
from amaranthpulley.state.orders import claims

WALL_MS: Final = 1_700_000_000_000
RECORD: Final = journal.JournalRecord(
    "request", "customer", "booking", "order", WALL_MS, "payload", "key", "vm-1"
)
STATUS: Final = claims.ClaimStatus
KIND: Final = claims.VerdictKind


def _operation(
    claim_id: str, status: claims.ClaimStatus, result: str = ""
) -> claims.Operation:
    return claims.Operation("key", claim_id, "print", status, RECORD, result)


def _claim(
    claim_id: str,
    status: claims.ClaimStatus,
    result: str = "",
    released: tuple[str, ...] = (),
) -> claims.Claim:
    return claims.Claim(
        "key", claim_id, "print", status, result, WALL_MS, RECORD, released
    )


class _Case(NamedTuple):
    title: str
    claim: claims.Claim | None
    operation: claims.Operation
    changed: claims.Claim | None
    kind: claims.VerdictKind
    status: claims.ClaimStatus = STATUS.CLAIMED


_CASES: Final = (
    _Case(
        "free key",
        None,
        _operation("a", STATUS.CLAIMED),
        _claim("a", STATUS.CLAIMED),
        KIND.GRANTED,
    ),
    _Case(
        "own claim again",
        _claim("a", STATUS.CLAIMED),
        _operation("a", STATUS.CLAIMED),
        None,
        KIND.GRANTED,
    ),
    _Case(
        "claim of another holder",
        _claim("a", STATUS.CLAIMED),
        _operation("b", STATUS.CLAIMED),
        None,
        KIND.FOUND,
    ),
    _Case(
        "done by another holder",
        _claim("a", STATUS.DONE, "receipt"),
        _operation("b", STATUS.CLAIMED),
        None,
        KIND.FOUND,
        STATUS.DONE,
    ),
    _Case(
        "unknown stays with its holder",
        _claim("a", STATUS.UNKNOWN),
        _operation("b", STATUS.CLAIMED),
        None,
        KIND.FOUND,
        STATUS.UNKNOWN,
    ),
    _Case(
        "released key",
        _claim("a", STATUS.NOT_RUN, released=("a",)),
        _operation("b", STATUS.CLAIMED),
        _claim("b", STATUS.CLAIMED, released=("a",)),
        KIND.GRANTED,
    ),
    _Case(
        "late claim after its release",
        _claim("a", STATUS.NOT_RUN, released=("a",)),
        _operation("a", STATUS.CLAIMED),
        None,
        KIND.FOUND,
        STATUS.NOT_RUN,
    ),
    _Case(
        "late claim after its release and that of the next holder",
        _claim("b", STATUS.NOT_RUN, released=("a", "b")),
        _operation("a", STATUS.CLAIMED),
        None,
        KIND.FOUND,
        STATUS.NOT_RUN,
    ),
    _Case(
        "release before the claim",
        None,
        _operation("a", STATUS.NOT_RUN),
        _claim("a", STATUS.NOT_RUN, released=("a",)),
        KIND.GRANTED,
    ),
    _Case(
        "release by a requester that is not the holder",
        _claim("a", STATUS.CLAIMED),
        _operation("b", STATUS.NOT_RUN),
        _claim("a", STATUS.CLAIMED, released=("b",)),
        KIND.GRANTED,
    ),
    _Case(
        "done",
        _claim("a", STATUS.CLAIMED),
        _operation("a", STATUS.DONE, "receipt"),
        _claim("a", STATUS.DONE, "receipt"),
        KIND.GRANTED,
    ),
    _Case(
        "done after unknown",
        _claim("a", STATUS.UNKNOWN),
        _operation("a", STATUS.DONE, "receipt"),
        _claim("a", STATUS.DONE, "receipt"),
        KIND.GRANTED,
    ),
    _Case(
        "done again",
        _claim("a", STATUS.DONE, "receipt"),
        _operation("a", STATUS.DONE, "receipt"),
        None,
        KIND.GRANTED,
    ),
    _Case(
        "unknown after done",
        _claim("a", STATUS.DONE, "receipt"),
        _operation("a", STATUS.UNKNOWN),
        None,
        KIND.FOUND,
        STATUS.DONE,
    ),
    _Case(
        "outcome of a former holder is not recorded",
        _claim("b", STATUS.CLAIMED),
        _operation("a", STATUS.DONE, "receipt"),
        None,
        KIND.FOUND,
    ),
)


class ClaimRulesTest(unittest.TestCase):
    def test_cases(self) -> None:
        for case in _CASES:
            with self.subTest(case.title):
                decision = claim_rules.decide(case.claim, case.operation, WALL_MS)
                self.assertEqual(decision.changed, case.changed)
                self.assertEqual(decision.verdict.kind, case.kind)
                self.assertEqual(decision.verdict.status, case.status)

    def test_released_holders_are_bounded(self) -> None:
        claim = _claim("holder", STATUS.CLAIMED)
        for number in range(3 * claim_rules.MAXIMUM_RELEASED):
            operation = _operation(f"c{number}", STATUS.NOT_RUN)
            claim = claim_rules.decide(claim, operation, WALL_MS).changed
        self.assertEqual(len(claim.released), claim_rules.MAXIMUM_RELEASED)


class StoredSegmentTest(unittest.TestCase):
    def test_segment_is_read_as_written(self) -> None:
        segment = claims.Segment(True, (_claim("a", STATUS.DONE, "r", ("b",)),))
        value = stored_values.encode_segment(segment)
        self.assertEqual(stored_values.decode_segment(value), segment)

    def test_erasure_keeps_the_claim_without_its_data(self) -> None:
        other = _claim("b", STATUS.DONE, "r")
        other = other._replace(record=RECORD._replace(customer="other"))
        segment = claims.Segment(True, (_claim("a", STATUS.DONE, "r"), other))
        erased = claim_erasure.erase(
            segment, lambda customer: WALL_MS + (customer == RECORD.customer)
        )
        first, second = erased.claims
        self.assertEqual(second, other)
        self.assertEqual((first.claim_id, first.status), ("a", STATUS.DONE))
        value = stored_values.encode_segment(erased)
        self.assertNotIn(
            b"payload", stored_values.encode_segment(erased._replace(claims=(first,)))
        )
        self.assertEqual(stored_values.journal_records(value), [other.record])

    def test_records_of_a_segment(self) -> None:
        segment = claims.Segment(False, (_claim("a", STATUS.CLAIMED),))
        value = stored_values.encode_segment(segment)
        self.assertEqual(stored_values.journal_records(value), [RECORD])
