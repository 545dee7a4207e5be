"""The bound of a quota, over all daemons, while they and their network fail."""

import random
import unittest
from collections.abc import Callable

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding.client_accounts.tests import quota_fleet
from amaranthpulley.state.forwarding import gateway

# Without slack, a fourth owner or a second full bucket shows at once.
TIGHT = gateway.Limits(quota_slack=0.0)
ASK_EVERY_MS = 40


def flood(fleet: quota_fleet.QuotaFleet, name: str, for_ms: int) -> None:
    """Send far more than the quota to every daemon."""
    end_ms = fleet.now_ms + for_ms
    while fleet.now_ms < end_ms:
        for number in range(len(fleet.daemons)):
            fleet.ask(number, name)
        fleet.advance(ASK_EVERY_MS)


def owner_numbers(fleet: quota_fleet.QuotaFleet) -> list[int]:
    """Return the numbers of the account's owners."""
    names = [daemon.name for daemon in fleet.daemons]
    return [names.index(owner) for owner in fleet.owners(fleet.accounts[0])]


def many_ask_at_once(fleet: quota_fleet.QuotaFleet, name: str) -> None:
    for _ in range(3):
        fleet.advance(5_000)
        flood(fleet, name, 4_000)


def owners_cut_off_while_others_take_over(
    fleet: quota_fleet.QuotaFleet, name: str
) -> None:
    for number in owner_numbers(fleet)[:2]:
        fleet.daemons[number].cut = True
    flood(fleet, name, 45_000)
    for daemon in fleet.daemons:
        daemon.cut = False
    flood(fleet, name, 8_000)


def owners_restart_after_a_full_burst(fleet: quota_fleet.QuotaFleet, name: str) -> None:
    fleet.advance(5_000)
    flood(fleet, name, 400)
    for _ in range(3):
        for number in owner_numbers(fleet):
            fleet.start(number)
        flood(fleet, name, 1_200)


def all_restart_four_times_in_a_window(
    fleet: quota_fleet.QuotaFleet, name: str
) -> None:
    fleet.advance(5_000)
    flood(fleet, name, 1_000)
    for _ in range(4):
        for number, daemon in enumerate(fleet.daemons):
            if daemon.gateway is not None:
                fleet.start(number)
        flood(fleet, name, 900)
    flood(fleet, name, 3_000)


def owner_cut_off_while_the_others_restart(
    fleet: quota_fleet.QuotaFleet, name: str
) -> None:
    fleet.advance(5_000)
    away = owner_numbers(fleet)[0]
    fleet.daemons[away].cut = True
    for _ in range(8):
        for number, daemon in enumerate(fleet.daemons):
            if daemon.gateway is not None and number != away:
                fleet.start(number)
        flood(fleet, name, 5_000)


def all_restart_after_their_registrations_have_lapsed(
    fleet: quota_fleet.QuotaFleet, name: str
) -> None:
    fleet.advance(5_000)
    owners = owner_numbers(fleet)
    fleet.daemons[owners[0]].cut = True
    running = [n for n, daemon in enumerate(fleet.daemons) if daemon.gateway]
    for number in running:
        if number != owners[0]:
            fleet.stop(number)
    flood(fleet, name, 22_000)
    # Some find their registration, some do not any more.
    for number in running:
        if number != owners[0]:
            fleet.start(number)
            flood(fleet, name, 2_000)
    flood(fleet, name, 6_000)


def daemons_join_while_owners_are_cut_off(
    fleet: quota_fleet.QuotaFleet, name: str
) -> None:
    owners = owner_numbers(fleet)
    for number in owners:
        fleet.daemons[number].cut = True
    for number, daemon in enumerate(fleet.daemons):
        if daemon.gateway is not None and number not in owners:
            fleet.stop(number)
        elif daemon.gateway is None:
            fleet.start(number)
    flood(fleet, name, 20_000)


def joined_daemons_restart_while_owners_are_cut_off(
    fleet: quota_fleet.QuotaFleet, name: str
) -> None:
    # Their claims are not confirmed: what they find in the store gives them no right.
    owners = owner_numbers(fleet)
    for number in owners:
        fleet.daemons[number].cut = True
    others = [n for n in range(len(fleet.daemons)) if n not in owners]
    for number in others:
        fleet.stop(number)
    for _ in range(4):
        for number in others:
            fleet.start(number)
        flood(fleet, name, 4_000)


def many_join_at_once(fleet: quota_fleet.QuotaFleet, name: str) -> None:
    for number, daemon in enumerate(fleet.daemons):
        if daemon.gateway is None:
            fleet.start(number)
    flood(fleet, name, 8_000)


def datagrams_doubled(fleet: quota_fleet.QuotaFleet, name: str) -> None:
    fleet.links = quota_fleet.Links(doubled=0.9)
    fleet.advance(5_000)
    flood(fleet, name, 8_000)


def datagrams_late_and_lost(fleet: quota_fleet.QuotaFleet, name: str) -> None:
    fleet.links = quota_fleet.Links(lost=0.1, doubled=0.4, late=0.6, late_ms=900)
    for _ in range(3):
        flood(fleet, name, 300)
        fleet.advance(1_000)
        flood(fleet, name, 3_000)


def owner_paused_past_its_registration(
    fleet: quota_fleet.QuotaFleet, name: str
) -> None:
    for number in owner_numbers(fleet):
        fleet.pause(number, 36_000)
    flood(fleet, name, 42_000)


def owners_leave_one_after_the_other(fleet: quota_fleet.QuotaFleet, name: str) -> None:
    for _ in range(3):
        fleet.leave(owner_numbers(fleet)[0])
        flood(fleet, name, 2_500)


def daemons_that_hold_tokens_pause(fleet: quota_fleet.QuotaFleet, name: str) -> None:
    for _ in range(4):
        flood(fleet, name, 1_000)
        for number in range(0, len(fleet.daemons), 2):
            fleet.pause(number, 700)


SCENARIOS: tuple[Callable[[quota_fleet.QuotaFleet, str], None], ...] = (
    many_ask_at_once,
    owners_cut_off_while_others_take_over,
    owners_restart_after_a_full_burst,
    all_restart_four_times_in_a_window,
    owner_cut_off_while_the_others_restart,
    all_restart_after_their_registrations_have_lapsed,
    daemons_join_while_owners_are_cut_off,
    joined_daemons_restart_while_owners_are_cut_off,
    many_join_at_once,
    datagrams_doubled,
    datagrams_late_and_lost,
    owner_paused_past_its_registration,
    owners_leave_one_after_the_other,
    daemons_that_hold_tokens_pause,
)


class QuotaBoundTest(unittest.TestCase):
    def check(self, fleet: quota_fleet.QuotaFleet, what: object) -> None:
        account = fleet.accounts[0]
        most = fleet.most_in_a_window(account.name)
        self.assertLessEqual(most, fleet.allowed(account), what)

    def begin(
        self, rate: float, burst: float, limits: gateway.Limits, count: int = 12
    ) -> quota_fleet.QuotaFleet:
        account = quota_fleet.account("acme", rate, burst)
        fleet = quota_fleet.QuotaFleet(count, (account,), limits)
        for number in range(count // 2):
            fleet.start(number)
        fleet.advance(6_000)
        return fleet

    def test_every_failure_stays_under_a_tight_bound(self) -> None:
        # Without slack: a fourth owner, a second bucket or a doubled grant is seen.
        for scenario in SCENARIOS:
            with self.subTest(scenario=scenario.__name__):
                fleet = self.begin(18, 18, TIGHT)
                scenario(fleet, "acme")
                self.check(fleet, scenario.__name__)

    def test_quotas_far_above_and_below_the_slack(self) -> None:
        for rate, burst in ((200, 200), (1, 1)):
            for scenario in (
                many_ask_at_once,
                owners_restart_after_a_full_burst,
                all_restart_four_times_in_a_window,
                datagrams_doubled,
            ):
                with self.subTest(rate=rate, scenario=scenario.__name__):
                    fleet = self.begin(rate, burst, gateway.Limits())
                    scenario(fleet, "acme")
                    self.check(fleet, scenario.__name__)

    def test_a_lower_limit_counts_one_window_after_it_is_in_force(self) -> None:
        # Guards against owners that go on with the level of the higher limit.
        fleet = self.begin(36, 36, TIGHT)
        flood(fleet, "acme", 2_000)
        lower = quota_fleet.account("acme", 6, 6)
        fleet.set_accounts(lower)
        in_force_ms = fleet.now_ms + fleet.limits.configuration_ms
        flood(fleet, "acme", 20_000)
        since_ms = in_force_ms + fleet.limits.quota_window_ms
        most = fleet.most_in_a_window("acme", since_ms)
        self.assertLessEqual(most, fleet.allowed(lower))
        self.assertGreater(most, 0)


OPERATIONS = (
    "restart",
    "restart_all",
    "stop",
    "leave",
    "join",
    "pause",
    "pause_long",
    "cut_owner",
    "cut",
    "heal",
    "bad_links",
    "good_links",
    "idle",
)


class QuotaInterleavingTest(unittest.TestCase):
    def apply(self, fleet: quota_fleet.QuotaFleet, operation: str, number: int) -> None:
        daemon = fleet.daemons[number]
        if operation == "restart":
            fleet.start(number)
        elif operation == "restart_all":
            for other, found in enumerate(fleet.daemons):
                if found.gateway is not None and not found.cut:
                    fleet.start(other)
        elif operation == "stop":
            fleet.stop(number)
        elif operation == "leave":
            fleet.leave(number)
        elif operation == "join":
            for other, found in enumerate(fleet.daemons):
                if found.gateway is None:
                    fleet.start(other)
        elif operation in ("pause", "pause_long"):
            fleet.pause(number, 300 if operation == "pause" else 34_000)
        elif operation == "cut_owner" and daemon.gateway is not None:
            for owner in owner_numbers(fleet)[:2]:
                fleet.daemons[owner].cut = True
        elif operation == "cut":
            daemon.cut = True
        elif operation == "heal":
            for found in fleet.daemons:
                found.cut = False
        elif operation == "bad_links":
            fleet.links = quota_fleet.Links(0.2, 0.4, 0.3)
        elif operation == "good_links":
            fleet.links = quota_fleet.Links()
        elif operation == "idle":
            fleet.advance(4_000)

    @hypothesis.settings(
        max_examples=25, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(OPERATIONS),
                strategies.integers(0, 6),
                strategies.sampled_from((100, 600, 3_000, 8_000)),
            ),
            min_size=2,
            max_size=9,
        ),
        seed=strategies.integers(0, 1_000),
        rate=strategies.sampled_from((5, 18, 60)),
    )
    def test_no_interleaving_exceeds_the_bound(
        self, steps: list[tuple[str, int, int]], seed: int, rate: int
    ) -> None:
        account = quota_fleet.account("acme", rate, rate)
        limits = TIGHT if rate >= 18 else gateway.Limits()
        fleet = quota_fleet.QuotaFleet(7, (account,), limits, seed)
        started = random.Random(seed)
        for number in range(7):
            if started.random() < 0.7:
                fleet.start(number)
        fleet.advance(3_000)
        for operation, number, load_ms in steps:
            self.apply(fleet, operation, number)
            flood(fleet, "acme", load_ms)
        most = fleet.most_in_a_window("acme")
        self.assertLessEqual(most, fleet.allowed(account))


if __name__ == "__main__":
    unittest.main()
