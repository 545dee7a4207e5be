"""Tests of an owner whose cached state of a range may be stale."""

import unittest
from typing import Final

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.orders import claim_commit, claim_segments
from amaranthpulley.state import daemon, store
from amaranthpulley.state.accounts import journal
from amaranthpulley.state.orders import claims

RECORD: Final = journal.JournalRecord("r", "c", "booking", "order", 0, "p", "k", "vm-1")
STATUS: Final = claims.ClaimStatus
NOW_MS: Final = 1_000


def _operation(claim_id: str, status: claims.ClaimStatus) -> claims.Operation:
    return claims.Operation("key", claim_id, "print", status, RECORD, wait_ms=1_000)


def _stale_owner(status: claims.ClaimStatus) -> daemon.Daemon:
    identity = daemon.Identity("vm-1", "10.0.0.1:1", "Recife", "Recife", "a")
    state = daemon.Daemon(identity, daemon.Limits())
    claim_range = state.claims.of(claims.range_of("key"))
    claim_range.loaded = True
    claim_range.claims["key"] = claims.Claim(
        "key", "old", "print", status, "", 0, RECORD
    )
    claim_range.open_keys.add("key")
    claim_range.open_revision = 1
    return state


def _commit(state: daemon.Daemon, operation: claims.Operation) -> list:
    claim_commit.enqueue(state, operation, "call", NOW_MS)
    due = events.TimerDue(claim_commit.CommitDue(claims.range_of("key")))
    due_ms = NOW_MS + claim_commit.BATCH_DELAY_MS
    return claim_commit.commit_when_due(state, due, due_ms, lambda: 0.0)


class StaleOwnerTest(unittest.TestCase):
    def _assert_refreshes(self, decided: list) -> None:
        [command] = decided
        self.assertIsInstance(command, commands.CallStore)
        self.assertIsInstance(command.purpose, claim_segments.SegmentRefreshed)
        self.assertIsInstance(command.operation, store.Get)

    def test_outcome_is_not_dropped_because_of_a_stale_claim(self) -> None:
        state = _stale_owner(STATUS.NOT_RUN)
        self._assert_refreshes(_commit(state, _operation("new", STATUS.DONE)))

    def test_unsettled_claim_is_not_answered_from_the_cache(self) -> None:
        state = _stale_owner(STATUS.CLAIMED)
        self._assert_refreshes(_commit(state, _operation("new", STATUS.CLAIMED)))

    def test_settled_claim_is_answered_from_the_cache(self) -> None:
        state = _stale_owner(STATUS.DONE)
        [command] = _commit(state, _operation("new", STATUS.CLAIMED))
        self.assertIsInstance(command, commands.ReplyPeer)
        self.assertEqual(command.reply.status, STATUS.DONE)
