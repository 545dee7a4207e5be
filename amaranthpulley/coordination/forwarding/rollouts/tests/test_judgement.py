"""Tests of the judgement on a version."""

import random
import unittest

from amaranthpulley.coordination.forwarding.rollouts import judgement
from amaranthpulley.state.forwarding import rollouts

ROUTES = ("visit", "other")
# Answers of the old version for one of the new one.
OLD_ANSWERS = 9
PLAYS = 150
STEPS = 5


def _play(new_share: float, old_share: float, answers: int, seed: int) -> str:
    """Return the verdict on a version whose answers come one after the other."""
    chance = random.Random(seed)
    total = rollouts.Pair()

    def answer(share: float) -> rollouts.Tally:
        return rollouts.Tally(1, int(chance.random() < share), 0)

    verdict = rollouts.Verdict.OPEN
    for _ in range(STEPS):
        found = dict.fromkeys(ROUTES, rollouts.Pair())
        for _ in range(answers // STEPS):
            pair = rollouts.Pair(answer(new_share))
            for _ in range(OLD_ANSWERS):
                pair = pair.plus(rollouts.Pair(rollouts.Tally(), answer(old_share)))
            route = chance.choice(ROUTES)
            found[route] = found[route].plus(pair)
            total = total.plus(pair)
            verdict, _ = judgement.judge(rollouts.Evidence(1, found, total))
            if verdict is rollouts.Verdict.BAD:
                return verdict.value
    return verdict.value


def _share_of(verdict: str, new: float, old: float, answers: int) -> float:
    plays = [_play(new, old, answers, seed) for seed in range(PLAYS)]
    return plays.count(verdict) / PLAYS


def _evidence(new: tuple, old: tuple, route: str = "visit") -> rollouts.Evidence:
    pair = rollouts.Pair(rollouts.Tally(*new), rollouts.Tally(*old))
    return rollouts.Evidence(1, {route: pair}, pair)


class JudgementTest(unittest.TestCase):
    """Error rates that are other than stated."""

    def test_good_versions_are_not_condemned(self) -> None:
        for share in (0.0, 0.01, 0.05, 0.3):
            with self.subTest(share=share):
                self.assertEqual(_share_of("bad", share, share, 100), 0.0)

    def test_bad_versions_are_condemned(self) -> None:
        for new, old in ((0.1, 0.0), (0.2, 0.0), (0.3, 0.05)):
            with self.subTest(new=new, old=old):
                self.assertGreater(_share_of("bad", new, old, 200), 0.95)

    def test_bad_versions_are_hardly_ever_judged_good(self) -> None:
        for new, answers in ((0.1, 60), (0.2, 60), (0.2, 35)):
            with self.subTest(new=new, answers=answers):
                self.assertLess(_share_of("good", new, 0.0, answers), 0.05)

    def test_a_few_bad_answers_are_no_proof(self) -> None:
        found = _evidence((4, 2, 0), (40, 0, 0))
        self.assertIs(judgement.judge(found)[0], rollouts.Verdict.OPEN)

    def test_a_wide_slowdown_is_no_fault_of_the_version(self) -> None:
        found = _evidence((100, 0, 60), (900, 0, 540))
        self.assertIs(judgement.judge(found)[0], rollouts.Verdict.GOOD)

    def test_no_answers_are_no_judgement(self) -> None:
        found = rollouts.Evidence(1, {}, rollouts.Pair())
        self.assertIs(judgement.judge(found)[0], rollouts.Verdict.OPEN)

    def test_a_reason_names_the_kind_and_the_route(self) -> None:
        verdict, reason = judgement.judge(_evidence((20, 0, 12), (180, 0, 0)))
        self.assertIs(verdict, rollouts.Verdict.BAD)
        self.assertEqual(reason, "slow answers on route visit")

    def test_rare_bad_answers_condemn_a_version_near_the_bound(self) -> None:
        # Below what the test of a period tells from the tolerated share.
        found = _evidence((2_000, 40, 0), (18_000, 18, 0))
        self.assertIs(judgement.judge(found)[0], rollouts.Verdict.BAD)
