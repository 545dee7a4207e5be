"""Tests of which requests are suspected when a target dies."""

import unittest
from typing import Final

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.searches import crash_attribution
from amaranthpulley.state import crashes, daemon, targets
from amaranthpulley.state.control import facts, topology
from amaranthpulley.state.searches import searches

TARGET: Final = topology.Target("leaf", "stock", 0, "s0", "Pokhara", "10.0.0.9:1")
PART: Final = searches.SearchPart(1, (), ())
LOST: Final = events.Failure.CONNECTION_LOST


def _daemon() -> daemon.Daemon:
    identity = daemon.Identity("vm-1", "10.0.0.1:1", "Pokhara", "Pokhara", "a")
    return daemon.Daemon(identity, daemon.Limits())


def _send(state: daemon.Daemon, query: str) -> None:
    call = commands.SearchCall(query, None, None)
    command = commands.SendAttempt(query, "request", TARGET, call, 1_000)
    crash_attribution.record_sent(state, [command], 0)


def _answer(state: daemon.Daemon, query: str, boot_id: str) -> None:
    load = targets.TargetLoad(boot_id, 0, ())
    answered = events.AttemptAnswered(query, PART, load)
    crash_attribution.handle_answer(state, answered, 10, lambda: 0.0)


def _lose(state: daemon.Daemon, query: str) -> None:
    failed = events.AttemptFailed(query, LOST)
    crash_attribution.handle_failure(state, failed, 10, lambda: 0.0)


def _suspects(state: daemon.Daemon) -> set[str]:
    fingerprints = {
        crash_attribution.fingerprint_of(
            crashes.RequestContent("stock", query, "")
        ): query
        for query in ("first", "lost", "running", "second")
    }
    return {
        fingerprints[fact.subject.partition("@")[0]]
        for fact, _ in state.facts.current(20)
        if fact.kind is facts.FactKind.CRASH_COUNT
        and fact.value == crash_attribution.SUSPECTED
    }


class SuspectsTest(unittest.TestCase):
    """Suspects of a target's death, and the facts that report them."""

    def _after(self, boot_id: str) -> daemon.Daemon:
        state = _daemon()
        for query in ("first", "lost", "running", "second"):
            _send(state, query)
        _answer(state, "first", "boot-1")
        _lose(state, "lost")
        _answer(state, "second", boot_id)
        return state

    def test_lost_and_running_requests_are_suspects(self) -> None:
        state = self._after("boot-2")
        self.assertEqual(_suspects(state), {"lost", "running"})
        self.assertEqual(state.counters.total("target_deaths_total"), 1)

    def test_same_boot_id_means_that_only_the_connection_was_lost(self) -> None:
        state = self._after("boot-1")
        self.assertEqual(_suspects(state), set())
        self.assertEqual(state.counters.total("target_deaths_total"), 0)

    def test_answer_clears(self) -> None:
        state = self._after("boot-2")
        _answer(state, "running", "boot-2")
        self.assertEqual(_suspects(state), {"lost"})

    def test_suspicion_of_another_daemon_adds_what_was_lost_here(self) -> None:
        state = _daemon()
        _send(state, "lost")
        _lose(state, "lost")
        subject = f"another@{TARGET.name}@boot-2"
        suspicion = facts.Fact(
            facts.FactKind.CRASH_COUNT, subject, crash_attribution.SUSPECTED
        )
        state.facts.publish(suspicion, 100 + crash_attribution.FACT_VALID_MS)
        due = events.TimerDue(crash_attribution.ReviewDue())
        crash_attribution.review(state, due, 100, lambda: 0.0)
        fingerprint = crash_attribution.fingerprint_of(
            crashes.RequestContent("stock", "lost", "")
        )
        found = state.facts.get(
            facts.FactKind.CRASH_COUNT, f"{fingerprint}@{TARGET.name}@boot-2", 100
        )
        self.assertIsNotNone(found)

    def test_facts_are_bounded_when_many_targets_die(self) -> None:
        state = _daemon()
        for number in range(2 * crash_attribution.FACTS_PER_WINDOW):
            _send(state, f"before-{number}")
            _answer(state, f"before-{number}", f"boot-{number}")
            _send(state, f"lost-{number}")
            _lose(state, f"lost-{number}")
        self.assertLessEqual(
            len(state.facts.current(20)), crash_attribution.FACTS_PER_WINDOW
        )
