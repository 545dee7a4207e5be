"""Tests of writing change tickets to the store, under virtual time."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination import stored_values
from amaranthpulley.coordination.control import ticket_store
from amaranthpulley.state import standin_store, store
from amaranthpulley.state.control import tickets, topology
from amaranthpulley.transport.emulation import virtual_network, virtual_platform
from amaranthpulley.transport.tests import control_site

DOMAINS = control_site.DOMAINS
STATUSES = ticket_store.ApplyStatus
FAULTS = virtual_platform.StoreFaults


def _target(name: str, **fields: object) -> topology.Target:
    target = topology.Target(name, "stock", 0, "s0", DOMAINS[0], name)
    return target._replace(**fields)


def _removed(name: str) -> topology.Target:
    shard = f"s{name[-1]}"
    return _target(name, shard=shard, status=topology.TargetStatus.REMOVED)


class Operators:
    """Operators that apply tickets to a store, with their verdicts in order."""

    def __init__(self, seed: int = 1) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        self.verdicts: list[tuple[topology.ChangeTicket, ticket_store.ApplyResult]] = []

    def apply(self, ticket: topology.ChangeTicket) -> None:
        """Start to apply a ticket."""
        self.network.platform.apply_ticket(
            ticket, lambda verdict: self.verdicts.append((ticket, verdict))
        )

    def status_of(self, ticket: topology.ChangeTicket) -> ticket_store.ApplyStatus:
        """Apply a ticket and return the status of its verdict."""
        self.apply(ticket)
        self.network.run_until(self.network.now_ms + 30_000)
        return self.verdicts[-1][1].status

    def stored(self) -> ticket_store.Stored:
        """Return the configuration that the store holds."""
        call = self.network.store.call
        now_ms = self.network.now_ms
        return ticket_store.run(
            ticket_store.read(), lambda operation: call(operation, now_ms)
        )


def _service_ticket(**fields: object) -> topology.ChangeTicket:
    service = topology.Service("a", topology.ServiceKind.SEARCH)._replace(**fields)
    return topology.ChangeTicket(2, services=(service,))


def _target_ticket(
    *targets: topology.Target, **fields: object
) -> topology.ChangeTicket:
    return topology.ChangeTicket(2, targets=targets or (_target("x", **fields),))


INVALID_TICKETS = (
    ("$.number", control_site.domain_ticket(0, DOMAINS[0], True)),
    ("$", topology.ChangeTicket(2)),
    ("$.targets[1].name", _target_ticket(_target("x"), _target("x", address="y"))),
    ("$.targets[1].address", _target_ticket(_target("x"), _target("y", address="x"))),
    ("$.targets[0].service", _target_ticket(service="none")),
    ("$.targets[0].failure_domain", _target_ticket(failure_domain="none")),
    ("$.targets[0].slots", _target_ticket(slots=0)),
    ("$.targets[0].connections", _target_ticket(connections=0)),
    ("$.targets[0].shard", _target_ticket(shard="")),
    ("$.services[0].deadline_ms", _service_ticket(deadline_ms=0)),
    ("$.services[0].minimum_coverage", _service_ticket(minimum_coverage=1.5)),
    ("$.services[0].hedge_budget", _service_ticket(hedge_budget=-0.1)),
    ("$.services[0].hard_deadline_ms", _service_ticket(hard_deadline_ms=1)),
    ("$.targets[0]", _target_ticket(*(_removed(f"leaf-{n}-0") for n in range(3)))),
    ("$", _target_ticket(*(_target(f"x{n}") for n in range(9_000)))),
)


class TicketingTest(unittest.TestCase):
    """A ticket is accepted only if its compare-and-swap is known to have succeeded."""

    def test_invalid_tickets_are_refused_with_the_path_and_not_written(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        before = operators.network.store.revision
        for path, ticket in INVALID_TICKETS:
            with self.subTest(path=path):
                self.assertEqual(operators.status_of(ticket), STATUSES.INVALID)
                self.assertIn(f"at `{path}`", operators.verdicts[-1][1].message)
        self.assertEqual(operators.network.store.revision, before)

    def test_new_shard_map_of_a_whole_service_is_accepted(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        removed = tuple(_removed(f"leaf-{n}-{s}") for n in range(3) for s in range(2))
        new = tuple(_target(f"new-{n}", shard=f"t{n}") for n in range(3))
        ticket = topology.ChangeTicket(2, targets=(*removed, *new))
        self.assertEqual(operators.status_of(ticket), STATUSES.ACCEPTED)

    def test_number_with_the_same_content_is_stored_once(self) -> None:
        operators = Operators()
        ticket = control_site.first_ticket()
        self.assertEqual(operators.status_of(ticket), STATUSES.ACCEPTED)
        self.assertEqual(operators.status_of(ticket), STATUSES.ALREADY_ACCEPTED)
        self.assertEqual(operators.stored().head.sequence, 1)

    def test_number_with_other_content_is_refused(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        other = control_site.domain_ticket(1, DOMAINS[0], False)
        self.assertEqual(operators.status_of(other), STATUSES.NUMBER_USED)

    def test_ticket_with_only_newer_entries_in_force_is_superseded(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        operators.status_of(control_site.domain_ticket(9, DOMAINS[0], False))
        lower = control_site.domain_ticket(5, DOMAINS[0], True)
        self.assertEqual(operators.status_of(lower), STATUSES.SUPERSEDED)
        elsewhere = control_site.domain_ticket(5, DOMAINS[1], False)
        self.assertEqual(operators.status_of(elsewhere), STATUSES.ACCEPTED)

    def test_race_for_one_number_has_one_winner(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        operators.verdicts.clear()
        for name in DOMAINS:
            operators.apply(control_site.domain_ticket(2, name, False))
        operators.network.run_until(100_000)
        statuses = sorted(verdict.status for _, verdict in operators.verdicts)
        self.assertEqual(statuses, [STATUSES.ACCEPTED, *[STATUSES.NUMBER_USED] * 2])

    def test_concurrent_tickets_cannot_remove_all_targets_of_a_shard(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        operators.verdicts.clear()
        for number in range(3):
            removed = _removed(f"leaf-{number}-0")
            operators.apply(topology.ChangeTicket(number + 2, targets=(removed,)))
        operators.network.run_until(100_000)
        statuses = [verdict.status for _, verdict in operators.verdicts]
        self.assertEqual(statuses.count(STATUSES.INVALID), 1)
        self.assertIn("s0", operators.stored().configuration.shards("stock"))

    def test_store_down_refuses_and_writes_nothing(self) -> None:
        operators = Operators()
        operators.network.platform.faults = FAULTS(down=True)
        status = operators.status_of(control_site.first_ticket())
        self.assertEqual(status, STATUSES.STORE_UNAVAILABLE)
        self.assertEqual(operators.network.store.revision, 0)

    def test_store_down_between_the_chunks_and_the_head_applies_nothing(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        for number in range(2, ticket_store.MAXIMUM_TAIL_TICKETS + 1):
            operators.status_of(control_site.domain_ticket(number, DOMAINS[0], False))
        before = operators.stored()
        last = control_site.domain_ticket(100, DOMAINS[1], False)
        calls = operators.network.store.calls
        operators.apply(last)
        while operators.network.store.calls < calls + 3:
            operators.network.run_until(operators.network.now_ms + 1)
        operators.network.platform.faults = FAULTS(down=True)
        operators.network.run_until(operators.network.now_ms + 30_000)
        self.assertEqual(operators.verdicts[-1][1].status, STATUSES.STORE_UNAVAILABLE)
        after = operators.stored()
        self.assertEqual(after.head, before.head)
        self.assertEqual(after.configuration.entries, before.configuration.entries)

    def test_lost_reply_after_the_write_is_resolved(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        ticket = control_site.domain_ticket(2, DOMAINS[0], False)
        operators.apply(ticket)
        operators.network.run_until(operators.network.now_ms + 2)
        operators.network.platform.faults = FAULTS(lost_reply_share=1.0)
        operators.network.run_until(operators.network.now_ms + 500)
        operators.network.platform.faults = FAULTS()
        operators.network.run_until(operators.network.now_ms + 30_000)
        self.assertEqual(operators.verdicts[-1][1].status, STATUSES.ACCEPTED)
        self.assertEqual(operators.stored().head.sequence, 2)

    def test_head_stays_small_and_folded_numbers_stay_known(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        for number in range(2, 120):
            name = DOMAINS[number % 3]
            operators.status_of(control_site.domain_ticket(number, name, False))
        head = operators.stored().head
        self.assertEqual(head.sequence, 119)
        self.assertLessEqual(len(head.tail), ticket_store.MAXIMUM_TAIL_TICKETS)
        used = control_site.domain_ticket(2, DOMAINS[0], True)
        self.assertEqual(operators.status_of(used), STATUSES.NUMBER_USED)
        again = control_site.domain_ticket(4, DOMAINS[1], False)
        self.assertEqual(operators.status_of(again), STATUSES.ALREADY_ACCEPTED)

    def test_closed_numbers_are_refused(self) -> None:
        operators = Operators()
        operators.status_of(control_site.first_ticket())
        value = operators.network.store.call(store.Get(tickets.HEAD_KEY), 0)
        head = stored_values.decode_head(value.value)._replace(highest_closed_number=50)
        swap = store.Swap(
            tickets.HEAD_KEY, value.revision, stored_values.encode_head(head)
        )
        operators.network.store.call(swap, 0)
        late = control_site.domain_ticket(50, DOMAINS[0], False)
        self.assertEqual(operators.status_of(late), STATUSES.NUMBER_TOO_OLD)

    def test_many_entries_are_split_into_chunks(self) -> None:
        target = standin_store.StandInStore()

        def call(operation: store.Operation) -> store.Result:
            if isinstance(operation, store.Swap):
                self.assertLess(len(operation.value), 1024 * 1024)
            return target.call(operation, 0)

        ticket_store.run(ticket_store.apply(control_site.first_ticket(), "a", 0), call)
        for number in range(2, 10):
            many = tuple(_target(f"x-{number}-{n}") for n in range(2_000))
            ticket = topology.ChangeTicket(number, targets=many)
            verdict = ticket_store.run(ticket_store.apply(ticket, str(number), 0), call)
            self.assertEqual(verdict.status, STATUSES.ACCEPTED, verdict.message)
        stored = ticket_store.run(ticket_store.read(), call)
        self.assertGreater(stored.head.chunk_count, 4)
        self.assertEqual(len(stored.configuration.entries), 10 + 16_000)

    @hypothesis.settings(max_examples=60, **control_site.HYPOTHESIS_SETTINGS)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(2, 9),
                strategies.integers(0, 2),
                strategies.booleans(),
                strategies.sampled_from(["none", "lossy", "slow", "down", "lost"]),
                strategies.integers(0, 900),
            ),
            min_size=1,
            max_size=10,
        ),
        strategies.integers(0, 99),
    )
    def test_verdict_agrees_with_the_store(self, runs: list, seed: int) -> None:
        operators = Operators(seed)
        operators.status_of(control_site.first_ticket())
        operators.verdicts.clear()
        faults = {
            "none": FAULTS(),
            "lossy": FAULTS(lost_reply_share=0.4),
            "slow": FAULTS(delay_ms=700),
            "down": FAULTS(down=True),
            "lost": FAULTS(lost_reply_share=1.0),
        }
        for number, domain_index, in_service, fault, wait_ms in runs:
            operators.network.platform.faults = faults[fault]
            name = DOMAINS[domain_index]
            operators.apply(control_site.domain_ticket(number, name, in_service))
            operators.network.run_until(operators.network.now_ms + wait_ms)
        operators.network.run_until(operators.network.now_ms + 60_000)
        self.assertEqual(len(operators.verdicts), len(runs))
        head = operators.stored().head
        kept = {one.ticket.number: one.ticket for one in head.tail}
        self.assertEqual(len(kept), len(head.tail), "a number is stored twice")
        for ticket, verdict in operators.verdicts:
            if verdict.status.is_accepted:
                self.assertEqual(kept.get(ticket.number), ticket)
            elif verdict.status is STATUSES.NUMBER_USED:
                self.assertNotEqual(kept[ticket.number], ticket)
            elif verdict.status is not STATUSES.UNKNOWN:
                same = [v for t, v in operators.verdicts if t == ticket]
                if len(same) == 1:
                    self.assertNotEqual(kept.get(ticket.number), ticket)
