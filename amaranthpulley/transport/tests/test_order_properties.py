"""Properties of orders over random interleavings of faults, with several daemons."""

import random
import unittest
from collections.abc import Callable
from typing import Final

import hypothesis
from hypothesis import strategies

from amaranthpulley.state import requests, standin_leaf
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import order_site

EXAMPLES: Final = 40
RECENT_KEYS: Final = 4
NEW_KEY_INTERVAL_MS: Final = 150
SLOTS: Final = 4
ACTION_COUNT: Final = 40
FAULTS_END_MS: Final = 6_000
RECOVERY_END_MS: Final = 60_000

PROFILE: Final = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=EXAMPLES
)

Fault = Callable[[order_site.OrderSite, random.Random], None]


def _impair_links(site: order_site.OrderSite, chance: random.Random) -> None:
    loss = chance.choice((0.0, 0.02, 0.1, 0.3))
    slowest_ms = chance.choice((1, 5, 50, 300))
    network_random = site.network.random

    def delay(sender: str, receiver: str) -> int | None:
        return (
            None
            if network_random.random() < loss
            else network_random.randint(1, slowest_ms)
        )

    site.network.delay = delay


def _impair_store(site: order_site.OrderSite, chance: random.Random) -> None:
    site.network.platform.faults = virtual_platform.StoreFaults(
        down=chance.random() < 0.3,
        lost_reply_share=chance.choice((0.0, 0.1, 0.5)),
        delay_ms=chance.choice((0, 0, 20, 400, 700)),
    )


def _pause(site: order_site.OrderSite, chance: random.Random) -> None:
    site.network.pause(_any_vm(site, chance), chance.choice((50, 500, 3_000)))


def _restart(site: order_site.OrderSite, chance: random.Random) -> None:
    site.restart(_any_vm(site, chance))


def _hide_members(site: order_site.OrderSite, chance: random.Random) -> None:
    known_vms = [vm for vm in site.vms if chance.random() < 0.7]
    site.network.daemons[_any_vm(site, chance)].state.members.replace(known_vms)


def _impair_targets(site: order_site.OrderSite, chance: random.Random) -> None:
    site.network.targets.duplicate_share = chance.choice((0.0, 0.3))
    for leaf in site.network.targets.leaves.values():
        delay_ms = chance.choice((0, 0, 30, 900, 2_000))
        leaf.faults = standin_leaf.LeafFaults(delay_ms, lost=chance.random() < 0.1)


def _limit_slots(site: order_site.OrderSite, chance: random.Random) -> None:
    for leaf in site.network.targets.leaves.values():
        leaf.slots = chance.choice((0, 0, 1, SLOTS))


def _order(site: order_site.OrderSite, chance: random.Random) -> None:
    newest_key = site.network.now_ms // NEW_KEY_INTERVAL_MS
    for _ in range(chance.choice((1, 2, 4))):
        key = f"key-{newest_key - chance.randrange(RECENT_KEYS)}"
        site.order(_any_vm(site, chance), key)


def _clear_faults(site: order_site.OrderSite, chance: random.Random) -> None:
    site.network.delay = lambda sender, receiver: 1
    site.network.platform.faults = virtual_platform.StoreFaults()
    site.network.targets.duplicate_share = 0.0
    for leaf in site.network.targets.leaves.values():
        leaf.faults = standin_leaf.LeafFaults()
        leaf.slots = SLOTS


FAULTS: Final[tuple[Fault, ...]] = (
    _impair_links,
    _impair_store,
    _pause,
    _restart,
    _hide_members,
    _impair_targets,
    _limit_slots,
    _clear_faults,
)


def _any_vm(site: order_site.OrderSite, chance: random.Random) -> str:
    return chance.choice(site.vms).name


def _run_with_faults(
    seed: int, order: Fault = _order, faults: tuple[Fault, ...] = FAULTS
) -> order_site.OrderSite:
    chance = random.Random(seed)
    site = order_site.OrderSite(seed)
    for _ in range(ACTION_COUNT):
        due_ms = chance.randrange(order_site.START_MS, FAULTS_END_MS)
        action = order if chance.random() < 0.5 else chance.choice(faults)
        site.network.at(due_ms, lambda action=action: action(site, chance))
    site.network.run_until(FAULTS_END_MS)
    _clear_faults(site, chance)
    site.network.run_until(RECOVERY_END_MS)
    return site


SEEDS: Final = strategies.integers(0, 1 << 32)


class OrderPropertyTest(unittest.TestCase):
    """Invariants of orders under any interleaving of faults."""

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_each_key_runs_at_most_once(self, seed: int) -> None:
        site = _run_with_faults(seed)
        for key in {entry.key for entry in site.sent_orders.values()}:
            site.order(_any_vm(site, random.Random(seed)), key)
        site.network.run_until(RECOVERY_END_MS + 10_000)
        self.assertLessEqual(max(site.runs.values(), default=0), 1)

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_request_refused_as_not_run_reached_no_target(self, seed: int) -> None:
        site = _run_with_faults(seed)
        for request_id, outcome in site.outcomes.items():
            if isinstance(outcome, requests.Refusal) and outcome.not_run:
                self.assertNotIn(request_id, site.network.targets.started_requests)

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_key_refused_as_not_run_did_not_run(self, seed: int) -> None:
        # Each request has its own key, so a run of the key is a run of the request.
        def order_once(site: order_site.OrderSite, chance: random.Random) -> None:
            site.order(_any_vm(site, chance), f"once-{len(site.sent_orders)}")

        site = _run_with_faults(seed, order_once)
        for request_id, outcome in site.outcomes.items():
            if isinstance(outcome, requests.Refusal) and outcome.not_run:
                key = site.sent_orders[request_id].key
                self.assertEqual(site.runs[key], 0, outcome)

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_all_outcomes_of_a_key_agree(self, seed: int) -> None:
        site = _run_with_faults(seed)
        results: dict[str, set[str]] = {}
        for request_id, outcome in site.outcomes.items():
            if isinstance(outcome, requests.OrderDone):
                key = site.sent_orders[request_id].key
                results.setdefault(key, set()).add(outcome.result)
        for key, found in results.items():
            self.assertEqual(len(found), 1, found)
            self.assertEqual(site.runs[key], 1)

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_repeat_gets_the_first_outcome(self, seed: int) -> None:
        site = _run_with_faults(seed)
        before = dict(site.outcomes)
        done = {
            site.sent_orders[request_id].key: outcome.result
            for request_id, outcome in before.items()
            if isinstance(outcome, requests.OrderDone)
        }
        repeats = [(key, site.order(vm.name, key)) for key in done for vm in site.vms]
        site.network.run_until(RECOVERY_END_MS + 10_000)
        for key, request_id in repeats:
            outcome = site.outcomes[request_id]
            if isinstance(outcome, requests.OrderDone):
                self.assertEqual((outcome.result, outcome.repeated), (done[key], True))
            else:
                # An outcome is lost only if its daemon crashes before recording it.
                self.assertIsInstance(outcome, requests.OrderUnknown)
                self.assertTrue(_any_daemon_restarted(site))

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_each_request_is_answered_once_in_time(self, seed: int) -> None:
        site = _run_with_faults(
            seed, faults=(_impair_links, _impair_store, _limit_slots)
        )
        answered = [found.command.request.request_id for found in site.network.answers]
        self.assertEqual(sorted(answered), sorted(site.sent_orders))
        for found in site.network.answers:
            sent_at_ms = site.sent_orders[found.command.request.request_id].at_ms
            self.assertLessEqual(found.at_ms - sent_at_ms, order_site.DEADLINE_MS)


def _any_daemon_restarted(site: order_site.OrderSite) -> bool:
    return any(
        int(daemon.state.identity.life.removeprefix("life")) > len(site.vms)
        for daemon in site.network.daemons.values()
    )
