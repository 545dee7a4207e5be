"""Targets under virtual time, with their faults."""

from __future__ import annotations

import typing
from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination import commands, events
from amaranthpulley.state import standin_leaf
from amaranthpulley.state.searches import searches

if typing.TYPE_CHECKING:
    from amaranthpulley.transport.emulation import virtual_network

# Time for a target to confirm a cancellation.
CANCEL_GRACE_MS: Final = 200

ServiceTime = Callable[[standin_leaf.StandInLeaf, commands.SendAttempt], int]
Reply = Callable[[events.Event], None]


class Link:
    """The open connections between a daemon and a leaf.

    Attributes
    ----------
    boot_id : str
        The leaf's boot id when they were opened; empty until something arrives.
    """

    def __init__(self) -> None:
        self.boot_id = ""


class VirtualTargets:
    """The stand-in leaves of a `VirtualNetwork`, by address.

    A daemon's connection to a leaf breaks when the leaf restarts: the first attempt
    over it afterwards is lost before it reaches the leaf, the next one uses a fresh
    connection.

    Attributes
    ----------
    service_ms : callable
        Given a leaf and the attempt returns the time that the leaf works on it, in
        milliseconds, on top of the leaf's own faults.
    duplicates : float
        Share of the answers, from 0.0 to 1.0, that arrive twice, the second time also
        when the attempt is over.
    reached : set of str
        The requests of which some leaf ran a part.
    """

    def __init__(self, network: virtual_network.VirtualNetwork) -> None:
        self.leaves: dict[str, standin_leaf.StandInLeaf] = {}
        self.service_ms: ServiceTime = lambda leaf, command: 5
        self.duplicates = 0.0
        self.reached: set[str] = set()
        self._network = network
        self._links: dict[tuple[str, str, str], Link] = {}
        self._running: dict[str, Callable[[], None]] = {}
        self._replies: dict[str, Reply] = {}
        self._cancelled_ms: dict[str, int] = {}

    def send(
        self, daemon: virtual_network.VirtualDaemon, command: commands.SendAttempt
    ) -> None:
        """Carry an attempt to its target and its end back."""
        network = self._network
        own = daemon.state.identity.address
        address = command.target.address
        ended = False
        link = self._links.setdefault(_ends(daemon, address), Link())

        def end(event: events.Event) -> None:
            nonlocal ended
            if not ended:
                ended = True
                self._cancelled_ms.pop(command.attempt_id, None)
                network.feed(daemon, event)
                self._drop_link(daemon, address, link, event)

        def send_back(event: events.Event) -> None:
            back_ms = network.delay(address, own)
            if back_ms is None:
                return
            network.after(back_ms, lambda: end(event))
            if network.random.random() < self.duplicates:
                network.after(back_ms + 1, lambda: network.feed(daemon, event))

        def time_out() -> None:
            grace_ms = self._grace_ms(command.attempt_id)
            if grace_ms > 0:
                network.after(grace_ms, time_out)
                return
            timed_out = events.Failure.TIMED_OUT
            end(events.AttemptFailed(command.attempt_id, timed_out))

        there_ms = network.delay(own, address)
        if there_ms is not None:
            network.after(
                there_ms, lambda: self._arrive(daemon, command, link, send_back)
            )
        network.after(command.timeout_ms, time_out)

    def _grace_ms(self, attempt_id: str) -> int:
        """Return the time that a cancelled attempt's target still has to confirm."""
        cancelled_ms = self._cancelled_ms.get(attempt_id)
        if cancelled_ms is None:
            return 0
        return cancelled_ms + CANCEL_GRACE_MS - self._network.now_ms

    def connect(self, daemon: virtual_network.VirtualDaemon, address: str) -> None:
        """Open a daemon's connection to a leaf."""
        link = self._links.setdefault(_ends(daemon, address), Link())
        link.boot_id = self.leaves[address].boot_id

    def break_connections(self, address: str) -> None:
        """Let all connections to a leaf be lost without the leaf's doing."""
        for ends, link in self._links.items():
            if ends[2] == address:
                link.boot_id = "broken"

    def cancel(
        self, daemon: virtual_network.VirtualDaemon, command: commands.CancelAttempt
    ) -> None:
        """Tell a target that nobody waits for an attempt."""
        self._cancelled_ms[command.attempt_id] = self._network.now_ms
        own = daemon.state.identity.address
        there_ms = self._network.delay(own, command.target.address)
        if there_ms is not None:
            self._network.after(there_ms, lambda: self._cancel(command.attempt_id))

    def _arrive(
        self,
        daemon: virtual_network.VirtualDaemon,
        command: commands.SendAttempt,
        link: Link,
        reply: Reply,
    ) -> None:
        leaf = self.leaves.get(command.target.address)
        failures = events.Failure
        if leaf is None:
            reply(events.AttemptFailed(command.attempt_id, failures.UNREACHABLE))
            return
        link.boot_id = link.boot_id or leaf.boot_id
        if link.boot_id != leaf.boot_id:
            # It was sent over a connection to the leaf before its restart.
            reply(events.AttemptFailed(command.attempt_id, failures.CONNECTION_LOST))
            return
        if leaf.faults.lost:
            return
        verdict = leaf.begin()
        if verdict is standin_leaf.AdmissionResult.SHEDS:
            refused = failures.REFUSED
            reply(events.AttemptFailed(command.attempt_id, refused, leaf.load))
        elif verdict is standin_leaf.AdmissionResult.FALLS_OVER:
            reply(events.AttemptFailed(command.attempt_id, failures.CONNECTION_LOST))
        else:
            self._work(leaf, command, reply)

    def _drop_link(
        self,
        daemon: virtual_network.VirtualDaemon,
        address: str,
        link: Link,
        event: events.Event,
    ) -> None:
        failure = getattr(event, "failure", None)
        if failure not in (events.Failure.CONNECTION_LOST, events.Failure.TIMED_OUT):
            return
        ends = _ends(daemon, address)

        def drop() -> None:
            if self._links.get(ends) is link:
                del self._links[ends]

        # A paused daemon notices the loss, and opens another one, once it goes on.
        self._network.at(max(self._network.now_ms, daemon.paused_until_ms), drop)

    def _work(
        self,
        leaf: standin_leaf.StandInLeaf,
        command: commands.SendAttempt,
        reply: Reply,
    ) -> None:
        boot_id = leaf.boot_id
        attempt_id = command.attempt_id
        # A leaf pins the version when it begins.
        part = _search(leaf, command)
        if part is not None:
            self.reached.add(command.request_id)

        def finish() -> None:
            if self._running.pop(attempt_id, None) is None:
                return
            del self._replies[attempt_id]
            if leaf.boot_id == boot_id:
                leaf.crash_on(_text_of(command.call))
            if leaf.end(boot_id, finished=True):
                reply(_end_of(leaf, command, part))
                return
            lost = events.Failure.CONNECTION_LOST
            reply(events.AttemptFailed(attempt_id, lost))

        self._replies[attempt_id] = reply
        self._running[attempt_id] = lambda: leaf.end(boot_id, finished=False)
        work_ms = leaf.work_ms(self.service_ms(leaf, command))
        self._network.after(work_ms, finish)
        # A target stops working on a request whose deadline has passed.
        self._network.after(command.timeout_ms, lambda: self._stop(attempt_id))

    def _cancel(self, attempt_id: str) -> None:
        reply = self._replies.get(attempt_id)
        if reply is not None:
            self._stop(attempt_id)
            cancelled = events.Failure.CANCELLED
            reply(events.AttemptFailed(attempt_id, cancelled))

    def _stop(self, attempt_id: str) -> None:
        self._replies.pop(attempt_id, None)
        stop = self._running.pop(attempt_id, None)
        if stop is not None:
            stop()


def _ends(daemon: virtual_network.VirtualDaemon, address: str) -> tuple[str, str, str]:
    identity = daemon.state.identity
    return identity.name, identity.life, address


def _text_of(call: commands.SearchCall | commands.OrderCall) -> str:
    return call.payload if isinstance(call, commands.OrderCall) else call.query


def _search(
    leaf: standin_leaf.StandInLeaf, command: commands.SendAttempt
) -> searches.SearchPart | None:
    call = command.call
    if isinstance(call, commands.OrderCall):
        return None
    return leaf.search(call.query, call.key, call.version)


def _end_of(
    leaf: standin_leaf.StandInLeaf,
    command: commands.SendAttempt,
    part: searches.SearchPart | None,
) -> events.AttemptAnswered | events.AttemptFailed:
    call = command.call
    if isinstance(call, commands.OrderCall):
        receipt = leaf.order(call.idempotency_key, call.payload)
        answer = events.OrderReceipt(receipt)
        return events.AttemptAnswered(command.attempt_id, answer, leaf.load)
    if part is None:
        gone = events.Failure.VERSION_GONE
        return events.AttemptFailed(command.attempt_id, gone, leaf.load)
    return events.AttemptAnswered(command.attempt_id, part, leaf.load)
