"""Targets under virtual time, with their faults."""

from __future__ import annotations

import typing
from collections.abc import Callable

from amaranthpulley.coordination import commands, events
from amaranthpulley.state import standin_leaf

if typing.TYPE_CHECKING:
    from amaranthpulley.transport import virtual_network

ServiceTime = Callable[[standin_leaf.StandInLeaf, commands.SendAttempt], int]


class VirtualTargets:
    """The stand-in leaves of a `VirtualNetwork`, by address.

    Attributes
    ----------
    service_ms : callable
        Given a leaf and the attempt returns the time that the leaf works on it, in
        milliseconds, on top of the leaf's own faults.
    duplicates : float
        Share of the answers, from 0.0 to 1.0, that arrive twice.
    """

    def __init__(self, network: virtual_network.VirtualNetwork) -> None:
        self.leaves: dict[str, standin_leaf.StandInLeaf] = {}
        self.service_ms: ServiceTime = lambda leaf, command: 5
        self.duplicates = 0.0
        self._network = network

    def send(
        self, daemon: virtual_network.VirtualDaemon, command: commands.SendAttempt
    ) -> None:
        """Carry an attempt to its target and its end back."""
        network = self._network
        own = daemon.state.identity.address
        address = command.target.address
        ended = False

        def end(event: events.Event) -> None:
            nonlocal ended
            if not ended:
                ended = True
                network.feed(daemon, event)

        def send_back(event: events.Event) -> None:
            back_ms = network.delay(address, own)
            if back_ms is None:
                return
            network.after(back_ms, lambda: end(event))
            if network.random.random() < self.duplicates:
                network.after(back_ms + 1, lambda: network.feed(daemon, event))

        there_ms = network.delay(own, address)
        if there_ms is not None:
            network.after(there_ms, lambda: self._arrive(command, send_back))
        timed_out = events.AttemptFailed(command.attempt_id, events.Failure.TIMED_OUT)
        network.after(command.timeout_ms, lambda: end(timed_out))

    def cancel(
        self, daemon: virtual_network.VirtualDaemon, command: commands.CancelAttempt
    ) -> None:
        """Tell a target that nobody waits for an attempt."""

    def _arrive(
        self, command: commands.SendAttempt, reply: Callable[[events.Event], None]
    ) -> None:
        leaf = self.leaves.get(command.target.address)
        if leaf is None:
            unreachable = events.Failure.UNREACHABLE
            reply(events.AttemptFailed(command.attempt_id, unreachable))
            return
        if leaf.faults.lost:
            return
        if leaf.busy_slots >= leaf.slots:
            refused = events.Failure.REFUSED
            reply(events.AttemptFailed(command.attempt_id, refused, leaf.load))
            return
        leaf.busy_slots += 1
        boot_id = leaf.boot_id
        work_ms = self.service_ms(leaf, command) + leaf.faults.delay_ms

        def finish() -> None:
            if leaf.boot_id != boot_id:
                lost = events.Failure.CONNECTION_LOST
                reply(events.AttemptFailed(command.attempt_id, lost))
                return
            leaf.busy_slots -= 1
            reply(_run(leaf, command))

        self._network.after(work_ms, finish)


def _run(
    leaf: standin_leaf.StandInLeaf, command: commands.SendAttempt
) -> events.AttemptAnswered | events.AttemptFailed:
    call = command.call
    if isinstance(call, commands.OrderCall):
        receipt = leaf.order(call.idempotency_key, call.payload)
        answer = events.OrderReceipt(receipt)
        return events.AttemptAnswered(command.attempt_id, answer, leaf.load)
    part = leaf.search(call.query, call.key, call.version)
    if part is None:
        gone = events.Failure.VERSION_GONE
        return events.AttemptFailed(command.attempt_id, gone, leaf.load)
    return events.AttemptAnswered(command.attempt_id, part, leaf.load)
