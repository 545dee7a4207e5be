"""Erasure of expired journal records, by one daemon on behalf of all.

The daemon that owns `DUTY` sweeps the journal at intervals. A sweep marks the lives of
removed VMs as lapsed, deletes the time buckets that have expired for every customer,
and in the other buckets erases the segments of the customers whose records have
expired. It also erases expired records from the claims of orders. Sweeps may be
repeated, or overlap after the duty has moved: every write expects the revision that was
read.
"""

from collections.abc import Callable, Generator
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events, store_calls, stored_values
from amaranthpulley.coordination.accounts import journal_writes, request_journal
from amaranthpulley.coordination.orders import claim_erasure, claim_segments
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, store
from amaranthpulley.state.accounts import journal
from amaranthpulley.state.control import topology

Random = Callable[[], float]
Commands = list[commands.Command]
Steps = Generator[store.Operation, store.Result, None]

DUTY: Final = "journal-retention"
HORIZON_KEY: Final = "journal/horizon"
SWEEP_INTERVAL_MS: Final = 600_000
UNLISTED_VM_GRACE_MS: Final = 600_000
DAY_MS: Final = 86_400_000
LIST_LIMIT: Final = 1_000
MINIMUM_CALL_INTERVAL_MS: Final = 5
# Pause between two store calls of a sweep, divided by the number of daemons.
SHARED_CALL_INTERVAL_MS: Final = 400
# Represents every customer without an entry in the configuration.
OTHERS: Final = ""


class SweepDue(NamedTuple):
    """Purpose of the timer that starts a sweep."""


class NextCallDue(NamedTuple):
    """Purpose of the timer that makes the next store call of a sweep.

    `result` is the result of the previous call.
    """

    result: store.Result


class SweepCall(NamedTuple):
    """Purpose of the store calls of a sweep."""


class Cutoffs(NamedTuple):
    """Time buckets before which records are erased, by customer and for all others."""

    by_customer: dict[str, int]
    others_ms: int

    @property
    def horizon_ms(self) -> int:
        """The time bucket before which no customer's records are kept."""
        return min(self.all().values())

    def of(self, customer: str) -> int:
        """Return the first time bucket in which a customer's records are kept."""
        return self.by_customer.get(customer, self.others_ms)

    def all(self) -> dict[str, int]:
        """Return the cutoffs by customer, with an entry for `OTHERS`."""
        return {**self.by_customer, OTHERS: self.others_ms}


def cutoffs_at(wall_ms: int, customers: list[topology.Customer]) -> Cutoffs:
    """Return the cutoffs in effect at a time.

    Parameters
    ----------
    wall_ms : int
        The current time, in milliseconds since the Unix epoch.
    customers : list of Customer
        The customers that have an entry in the configuration.
    """
    by_customer = {
        customer.name: wall_ms
        if customer.erased
        else _bucket_before(wall_ms, customer.retention_days)
        for customer in customers
    }
    default_days = topology.Customer(OTHERS).retention_days
    return Cutoffs(by_customer, _bucket_before(wall_ms, default_days))


def schedule_first_sweep(
    daemon: daemon_state.Daemon, event: events.Started, now_ms: int, random: Random
) -> Commands:
    """Set the timer of the first sweep, at a random time so that daemons differ."""
    wait_ms = int(random() * SWEEP_INTERVAL_MS)
    return [commands.SetTimer(SweepDue(), now_ms + wait_ms)]


def update_listed_vms(
    daemon: daemon_state.Daemon, event: events.VmsListed, now_ms: int, random: Random
) -> Commands:
    """Remember the VMs on the platform's list."""
    if event.vms is not None:
        daemon.journal.sweep_state.listed_vms = frozenset(vm.name for vm in event.vms)
    return []


def begin_sweep(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Start a sweep if this daemon owns the duty and its configuration is confirmed."""
    again = commands.SetTimer(SweepDue(), now_ms + SWEEP_INTERVAL_MS)
    sweep_state = daemon.journal.sweep_state
    # The retention periods of customers are part of the configuration.
    has_configuration = (
        daemon.configuration.entries and not daemon.configuration.suspended
    )
    if (
        sweep_state.steps is not None
        or not has_configuration
        or not daemon.members.is_owner(DUTY)
    ):
        return [again]
    wall_ms = daemon.wall_ms(now_ms)
    cutoffs = cutoffs_at(wall_ms, daemon.configuration.customers())
    sweep_state.steps = sweep(sweep_state, cutoffs, wall_ms, daemon.identity.name)
    return [again, *_send_next_call(daemon, None)]


def schedule_next_call(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Continue the sweep after a pause that limits its load on the store."""
    daemons = len(daemon.members.live)
    pace_ms = max(MINIMUM_CALL_INTERVAL_MS, SHARED_CALL_INTERVAL_MS // daemons)
    return [commands.SetTimer(NextCallDue(event.result), now_ms + pace_ms)]


def continue_sweep(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Make the next store call of the sweep, or end the sweep after a failed call."""
    sweep_state = daemon.journal.sweep_state
    if isinstance(event.purpose.result, store.StoreFailed):
        sweep_state.steps = None
        return [commands.log(log_events.JOURNAL_SWEPT, whole=False)]
    return _send_next_call(daemon, event.purpose.result)


def sweep(
    sweep_state: journal.SweepState, cutoffs: Cutoffs, wall_ms: int, own_vm: str
) -> Steps:
    """Yield the store operations of one sweep; each result is sent back.

    Parameters
    ----------
    sweep_state : SweepState
        The state kept between sweeps; changed in place.
    cutoffs : Cutoffs
        The time buckets before which records are erased.
    wall_ms : int
        The current time, in milliseconds since the Unix epoch.
    own_vm : str
        The VM of this daemon, whose life never lapses even if the VM is not listed.
    """
    yield from _advance_horizon(cutoffs.horizon_ms)
    for key in (yield from _list_keys(journal_writes.LIFE_PREFIX, "")):
        yield from _sweep_life(sweep_state, key, cutoffs.horizon_ms, wall_ms, own_vm)
    end_ms = max(cutoffs.all().values())
    last_key = f"{journal_writes.BATCH_PREFIX}{end_ms:014d}/"
    for key in (yield from _list_keys(journal_writes.BATCH_PREFIX, "", last_key)):
        bucket_ms = _bucket_of_key(key)
        if bucket_ms < cutoffs.horizon_ms:
            found = yield store.Get(key)
            yield store.Swap(key, found.revision, None)
        elif _has_newly_expired(sweep_state, cutoffs, bucket_ms):
            yield from _erase_from_batch(key, bucket_ms, cutoffs)
    yield from _erase_from_claims(sweep_state, cutoffs)
    # Requests that are still running may add records to an older bucket.
    sweep_state.erased_before_ms = {
        customer: cutoff_ms - request_journal.LONGEST_REQUEST_MS
        for customer, cutoff_ms in cutoffs.all().items()
    }


def _send_next_call(
    daemon: daemon_state.Daemon, result: store.Result | None
) -> Commands:
    sweep_state = daemon.journal.sweep_state
    try:
        operation = sweep_state.steps.send(result)
    except StopIteration:
        sweep_state.steps = None
        return [commands.log(log_events.JOURNAL_SWEPT, whole=True)]
    return [store_calls.call(daemon, SweepCall(), operation)]


def _advance_horizon(horizon_ms: int) -> Steps:
    found = yield store.Get(HORIZON_KEY)
    if found.value is None or int(found.value) < horizon_ms:
        yield store.Swap(HORIZON_KEY, found.revision, str(horizon_ms).encode())


def _list_keys(
    prefix: str, after: str, before: str | None = None
) -> Generator[store.Operation, store.Result, list[str]]:
    found: list[str] = []
    while True:
        keys = (yield store.ListKeys(prefix, after, LIST_LIMIT)).keys
        found += [key for key in keys if before is None or key < before]
        if len(keys) < LIST_LIMIT or len(found) % LIST_LIMIT:
            return found
        after = keys[-1]


def _sweep_life(
    sweep_state: journal.SweepState,
    key: str,
    horizon_ms: int,
    wall_ms: int,
    own_vm: str,
) -> Steps:
    found = yield store.Get(key)
    if found.value is None:
        return
    life = stored_values.decode_life(found.value)
    if 0 < life.ended_ms < horizon_ms:
        yield store.Swap(key, found.revision, None)
        return
    listed = sweep_state.listed_vms
    if listed is None or life.vm in listed or life.vm == own_vm:
        sweep_state.unlisted_since_ms.pop(life.vm, None)
        return
    since_ms = sweep_state.unlisted_since_ms.setdefault(life.vm, wall_ms)
    if (
        life.status is journal.LifeStatus.OPEN
        and wall_ms - since_ms >= UNLISTED_VM_GRACE_MS
    ):
        lapsed = life._replace(status=journal.LifeStatus.LAPSED, ended_ms=wall_ms)
        yield store.Swap(key, found.revision, stored_values.encode_life(lapsed))


def _has_newly_expired(
    sweep_state: journal.SweepState, cutoffs: Cutoffs, bucket_ms: int
) -> bool:
    return any(
        sweep_state.erased_before_ms.get(customer, 0) <= bucket_ms < cutoff_ms
        for customer, cutoff_ms in cutoffs.all().items()
    )


def _erase_from_claims(sweep_state: journal.SweepState, cutoffs: Cutoffs) -> Steps:
    # Claims are not sorted by time, so an erasure must read all of them. It is due
    # only when a cutoff has advanced by a day.
    before_ms = sweep_state.claims_erased_before_ms
    cutoffs_ms = cutoffs.all()
    if all(ms - before_ms.get(c, 0) < DAY_MS for c, ms in cutoffs_ms.items()):
        return
    keys = yield from _list_keys(claim_segments.PREFIX, "")
    yield from claim_erasure.erase_all(keys, cutoffs.of)
    sweep_state.claims_erased_before_ms = cutoffs_ms


def _erase_from_batch(key: str, bucket_ms: int, cutoffs: Cutoffs) -> Steps:
    found = yield store.Get(key)
    if found.value is None:
        return
    batch = stored_values.decode_batch(found.value)
    chunks = tuple(
        chunk._replace(
            segments=tuple(
                _erase_if_expired(segment, bucket_ms, cutoffs)
                for segment in chunk.segments
            )
        )
        for chunk in batch.chunks
    )
    if chunks != batch.chunks:
        erased = stored_values.encode_batch(batch._replace(chunks=chunks))
        yield store.Swap(key, found.revision, erased)


def _erase_if_expired(
    segment: journal.Segment, bucket_ms: int, cutoffs: Cutoffs
) -> journal.Segment:
    if not segment.data or bucket_ms >= cutoffs.of(segment.customer):
        return segment
    # The count stays, so that the life's numbers show no gap.
    return journal.Segment("", segment.count, b"")


def _bucket_before(wall_ms: int, days: int) -> int:
    return max(0, journal_writes.bucket_of(wall_ms - days * DAY_MS))


def _bucket_of_key(key: str) -> int:
    return int(key.removeprefix(journal_writes.BATCH_PREFIX).partition("/")[0])


HANDLERS: Final = {
    events.Started: schedule_first_sweep,
    events.VmsListed: update_listed_vms,
    SweepDue: begin_sweep,
    NextCallDue: continue_sweep,
    SweepCall: schedule_next_call,
}
