"""Writes the losses of leaves under requests to the store, and removes them."""

from collections.abc import Callable
from typing import Final, NamedTuple

import eventlet
import eventlet.event

from amaranthpulley.coordination.forwarding import (
    commands,
    crash_attribution,
    events,
)
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state.forwarding import crashes
from amaranthpulley.transport import errors

# Time after a call in which further losses are collected for the next one.
COLLECTION_MS: Final = 20
# Pause after a failed call. Losses of an outage are known to all daemons soon after it.
RETRY_MS: Final = 1_000
# Entries of one call to the store.
MAXIMUM_ENTRIES: Final = 32
# Losses that wait for a store that cannot be reached, and for how long they wait; and
# how long published ones are remembered for a store that loses them.
MAXIMUM_WAITING: Final = 1_000
LONGEST_WAIT_MS: Final = 300_000

Losses = tuple[crashes.Loss, ...]


class LossCalls(NamedTuple):
    """Calls to the store; each raises `PlatformUnreachableError` when it fails.

    Attributes
    ----------
    grant_lease : callable
        Takes a lifetime in milliseconds; returns a lease.
    write : callable
        Takes the losses to publish, those to withdraw and a lease for the former, 0 if
        there are none; returns False, and writes nothing, when the lease has ended.
    """

    grant_lease: Callable[[int], int]
    write: Callable[[Losses, Losses, int], bool]


class LossPublisher:
    """Losses that wait to be written, in the order of their arrival.

    Parameters
    ----------
    calls : LossCalls
        Calls to the store.
    handle_event : callable
        Called with the event of a failed call.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        calls: LossCalls,
        handle_event: Callable[[events.Event], None],
        clock: clock_state.Clock,
    ) -> None:
        self._calls = calls
        self._lease: int | None = None
        # When losses get another lease.
        self._lease_until_ms = 0
        self._handle_event = handle_event
        self._now_ms = clock.monotonic_ms
        # By loss, whether it is published or withdrawn, and since when it waits.
        self._waiting: dict[crashes.Loss, tuple[bool, int]] = {}
        # When each published loss was added; the store has them under a lease.
        self._published_ms: dict[crashes.Loss, int] = {}
        self._added = eventlet.event.Event()

    def start(self) -> None:
        """Start to write the losses that are added."""
        eventlet.spawn_n(self._run)

    def publish(self, command: commands.PublishLosses) -> None:
        """Write losses to the store soon."""
        self._add(command.losses, True)

    def withdraw(self, command: commands.WithdrawLosses) -> None:
        """Remove losses from the store soon."""
        self._add(command.losses, False)

    def publish_again(self) -> None:
        """Write the losses of this daemon to a store that may have lost them."""
        oldest_ms = self._now_ms() - LONGEST_WAIT_MS
        recent = {
            loss: at_ms
            for loss, at_ms in self._published_ms.items()
            if at_ms > oldest_ms
        }
        self._published_ms = recent
        # The store may have lost the lease, or have given it to another daemon.
        self._lease = None
        self._add(tuple(recent), True)

    def _add(self, losses: tuple[crashes.Loss, ...], published: bool) -> None:
        for loss in losses:
            self._waiting.pop(loss, None)
            self._waiting[loss] = (published, self._now_ms())
            if published:
                self._published_ms.setdefault(loss, self._now_ms())
            else:
                self._published_ms.pop(loss, None)
        while len(self._waiting) > MAXIMUM_WAITING:
            self._waiting.pop(next(iter(self._waiting)))
        while len(self._published_ms) > MAXIMUM_WAITING:
            self._published_ms.pop(next(iter(self._published_ms)))
        if not self._added.ready():
            self._added.send()

    def _run(self) -> None:
        while True:
            self._added.wait()
            self._drop_expired()
            batch = dict(list(self._waiting.items())[:MAXIMUM_ENTRIES])
            if not batch:
                self._added = eventlet.event.Event()
                continue
            started_ms = self._now_ms()
            try:
                self._write(batch)
            except errors.PlatformUnreachableError as error:
                waited_ms = self._now_ms() - started_ms
                self._handle_event(
                    events.LossWriteFailed(str(error), len(batch), waited_ms, RETRY_MS)
                )
                eventlet.sleep(RETRY_MS / 1000)
                continue
            for loss, entry in batch.items():
                if self._waiting.get(loss) == entry:
                    del self._waiting[loss]
            eventlet.sleep(COLLECTION_MS / 1000)

    def _write(self, batch: dict[crashes.Loss, tuple[bool, int]]) -> None:
        published = tuple(loss for loss, (present, _) in batch.items() if present)
        withdrawn = tuple(loss for loss, (present, _) in batch.items() if not present)
        lease = self._usable_lease() if published else 0
        if not self._calls.write(published, withdrawn, lease):
            self._lease = None
            raise errors.PlatformUnreachableError("the lease of the losses has ended")

    def _usable_lease(self) -> int:
        """Return a lease that does not end for half of its time."""
        now_ms = self._now_ms()
        if self._lease is None or now_ms >= self._lease_until_ms:
            lifetime_ms = crash_attribution.LIFETIME_MS
            self._lease = self._calls.grant_lease(lifetime_ms)
            self._lease_until_ms = now_ms + lifetime_ms // 2
        return self._lease

    def _drop_expired(self) -> None:
        oldest_ms = self._now_ms() - LONGEST_WAIT_MS
        self._waiting = {
            loss: entry for loss, entry in self._waiting.items() if entry[1] > oldest_ms
        }
