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
KEYS: Final = 4
NEW_KEY_MS: Final = 150
SLOTS: Final = 4
ROUNDS: Final = 40
CHAOS_END_MS: Final = 6_000
SETTLED_MS: Final = 60_000

PROFILE: Final = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=EXAMPLES
)

Fault = Callable[[order_site.OrderSite, random.Random], None]


def _cut_links(site: order_site.OrderSite, chance: random.Random) -> None:
    loss = chance.choice((0.0, 0.02, 0.1, 0.3))
    slowest_ms = chance.choice((1, 5, 50, 300))
    draw = site.network.random

    def delay(sender: str, receiver: str) -> int | None:
        return None if draw.random() < loss else draw.randint(1, slowest_ms)

    site.network.delay = delay


def _disturb_store(site: order_site.OrderSite, chance: random.Random) -> None:
    site.network.platform.faults = virtual_platform.StoreFaults(
        down=chance.random() < 0.3,
        lost_replies=chance.choice((0.0, 0.1, 0.5)),
        delay_ms=chance.choice((0, 0, 20, 400, 700)),
    )


def _pause(site: order_site.OrderSite, chance: random.Random) -> None:
    site.network.pause(_any_vm(site, chance), chance.choice((50, 500, 3_000)))


def _restart(site: order_site.OrderSite, chance: random.Random) -> None:
    site.restart(_any_vm(site, chance))


def _split_view(site: order_site.OrderSite, chance: random.Random) -> None:
    seen = [vm for vm in site.vms if chance.random() < 0.7]
    site.network.daemons[_any_vm(site, chance)].state.members.replace(seen)


def _disturb_targets(site: order_site.OrderSite, chance: random.Random) -> None:
    site.network.targets.duplicates = chance.choice((0.0, 0.3))
    for leaf in site.network.targets.leaves.values():
        delay_ms = chance.choice((0, 0, 30, 900, 2_000))
        leaf.faults = standin_leaf.LeafFaults(delay_ms, lost=chance.random() < 0.1)


def _fill_slots(site: order_site.OrderSite, chance: random.Random) -> None:
    for leaf in site.network.targets.leaves.values():
        leaf.slots = chance.choice((0, 0, 1, SLOTS))


def _order(site: order_site.OrderSite, chance: random.Random) -> None:
    newest = site.network.now_ms // NEW_KEY_MS
    for _ in range(chance.choice((1, 2, 4))):
        key = f"key-{newest - chance.randrange(KEYS)}"
        site.order(_any_vm(site, chance), key)


def _heal(site: order_site.OrderSite, chance: random.Random) -> None:
    site.network.delay = lambda sender, receiver: 1
    site.network.platform.faults = virtual_platform.StoreFaults()
    site.network.targets.duplicates = 0.0
    for leaf in site.network.targets.leaves.values():
        leaf.faults = standin_leaf.LeafFaults()
        leaf.slots = SLOTS


FAULTS: Final[tuple[Fault, ...]] = (
    _cut_links,
    _disturb_store,
    _pause,
    _restart,
    _split_view,
    _disturb_targets,
    _fill_slots,
    _heal,
)


def _any_vm(site: order_site.OrderSite, chance: random.Random) -> str:
    return chance.choice(site.vms).name


def _run_chaos(
    seed: int, order: Fault = _order, faults: tuple[Fault, ...] = FAULTS
) -> order_site.OrderSite:
    chance = random.Random(seed)
    site = order_site.OrderSite(seed)
    for _ in range(ROUNDS):
        due_ms = chance.randrange(order_site.START_MS, CHAOS_END_MS)
        action = order if chance.random() < 0.5 else chance.choice(faults)
        site.network.at(due_ms, lambda action=action: action(site, chance))
    site.network.run_until(CHAOS_END_MS)
    _heal(site, chance)
    site.network.run_until(SETTLED_MS)
    return site


SEEDS: Final = strategies.integers(0, 1 << 32)


class OrderTest(unittest.TestCase):
    """What holds for orders whatever happens."""

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_each_key_runs_at_most_once(self, seed: int) -> None:
        site = _run_chaos(seed)
        for key in {entry.key for entry in site.sent_orders.values()}:
            site.order(_any_vm(site, random.Random(seed)), key)
        site.network.run_until(SETTLED_MS + 10_000)
        self.assertLessEqual(max(site.runs.values(), default=0), 1)

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_not_run_is_true_of_each_request(self, seed: int) -> None:
        site = _run_chaos(seed)
        for request_id, outcome in site.outcomes.items():
            if isinstance(outcome, requests.Refusal) and outcome.not_run:
                self.assertNotIn(request_id, site.network.targets.reached)

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_not_run_is_true_of_each_key(self, seed: int) -> None:
        # Each order has a key of its own: a run belongs to the one request.
        def order_once(site: order_site.OrderSite, chance: random.Random) -> None:
            site.order(_any_vm(site, chance), f"once-{len(site.sent_orders)}")

        site = _run_chaos(seed, order_once)
        for request_id, outcome in site.outcomes.items():
            if isinstance(outcome, requests.Refusal) and outcome.not_run:
                key = site.sent_orders[request_id].key
                self.assertEqual(site.runs[key], 0, outcome)

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_outcomes_agree(self, seed: int) -> None:
        site = _run_chaos(seed)
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
        site = _run_chaos(seed)
        before = dict(site.outcomes)
        done = {
            site.sent_orders[request_id].key: outcome.result
            for request_id, outcome in before.items()
            if isinstance(outcome, requests.OrderDone)
        }
        repeats = [(key, site.order(vm.name, key)) for key in done for vm in site.vms]
        site.network.run_until(SETTLED_MS + 10_000)
        for key, request_id in repeats:
            outcome = site.outcomes[request_id]
            if isinstance(outcome, requests.OrderDone):
                self.assertEqual((outcome.result, outcome.repeated), (done[key], True))
            else:
                # Only a daemon that died before it recorded the outcome loses it.
                self.assertIsInstance(outcome, requests.OrderUnknown)
                self.assertTrue(_was_restarted(site))

    @PROFILE
    @hypothesis.given(SEEDS)
    def test_each_request_is_answered_once_in_time(self, seed: int) -> None:
        site = _run_chaos(seed, faults=(_cut_links, _disturb_store, _fill_slots))
        answered = [found.command.request.request_id for found in site.network.answers]
        self.assertEqual(sorted(answered), sorted(site.sent_orders))
        for found in site.network.answers:
            began_ms = site.sent_orders[found.command.request.request_id].at_ms
            self.assertLessEqual(found.at_ms - began_ms, order_site.DEADLINE_MS)


def _was_restarted(site: order_site.OrderSite) -> bool:
    return any(
        int(daemon.state.identity.life.removeprefix("life")) > len(site.vms)
        for daemon in site.network.daemons.values()
    )
