"""The platform's store and VM list under virtual time, with their faults."""

from __future__ import annotations

import typing
from collections.abc import Callable
from typing import NamedTuple

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.control import ticket_store
from amaranthpulley.state import standin_store, store
from amaranthpulley.state.control import topology

if typing.TYPE_CHECKING:
    from amaranthpulley.transport.emulation import virtual_network

STORE_ADDRESS = "store"
OPERATOR_ADDRESS = "operator"


class StoreFaults(NamedTuple):
    """What the store does wrong.

    Attributes
    ----------
    down : bool
        Refuses every call, before any effect.
    lost_replies : float
        Share of the replies, from 0.0 to 1.0, that are lost after the effect.
    delay_ms : int
        Added to each call.
    """

    down: bool = False
    lost_replies: float = 0.0
    delay_ms: int = 0


class VirtualPlatform:
    """The stand-in store and VM list of a `VirtualNetwork`."""

    def __init__(self, network: virtual_network.VirtualNetwork) -> None:
        self.store = standin_store.StandInStore()
        self.faults = StoreFaults()
        self.vm_list_down = False
        self._operators = 0
        self._network = network
        self._watches: list[tuple[store.Watch, Callable[[store.Result], None]]] = []

    def call_store(
        self, daemon: virtual_network.VirtualDaemon, command: commands.CallStore
    ) -> None:
        """Carry out a store call of a daemon."""

        def end(result: store.Result) -> None:
            self._network.feed(
                daemon, events.StoreReplied(command.purpose, command.operation, result)
            )

        own = daemon.state.identity.address
        self.call(own, command.operation, command.timeout_ms, end)

    def call(
        self,
        own: str,
        operation: store.Operation,
        timeout_ms: int,
        done: Callable[[store.Result], None],
    ) -> None:
        """Carry out a store call of an address and hand over its result once."""
        network = self._network
        ended = False

        def end(result: store.Result) -> None:
            nonlocal ended
            if not ended:
                ended = True
                done(result)

        def send_back(result: store.Result) -> None:
            back_ms = network.delay(STORE_ADDRESS, own)
            lost = network.random.random() < self.faults.lost_replies
            if back_ms is not None and not lost:
                network.after(back_ms, lambda: end(result))

        there_ms = network.delay(own, STORE_ADDRESS)
        if there_ms is not None:
            wait_ms = there_ms + self.faults.delay_ms
            network.after(wait_ms, lambda: self._arrive(operation, send_back))
        timed_out = store.StoreFailed("timed out", unknown=True)
        network.after(timeout_ms, lambda: end(timed_out))

    def apply_ticket(
        self,
        ticket: topology.ChangeTicket,
        done: Callable[[ticket_store.ApplyResult], None],
        operator: str = OPERATOR_ADDRESS,
        timeout_ms: int = 1_000,
    ) -> None:
        """Let an operator bring a ticket in, over the network and with its faults."""
        self._operators += 1
        apply_id = f"{operator}-{self._operators}"
        steps = ticket_store.apply(
            ticket, apply_id, self._network.clock.as_clock().wall_ms()
        )

        def go_on(result: store.Result | None) -> None:
            try:
                operation = steps.send(result)
            except StopIteration as stop:
                if stop.value.status.is_accepted:
                    self._network.hand_over(ticket)
                done(stop.value)
                return
            self.call(operator, operation, timeout_ms, go_on)

        go_on(None)

    def list_vms(
        self, daemon: virtual_network.VirtualDaemon, command: commands.ListVms
    ) -> None:
        """Read the VM list for a daemon."""
        vms = None if self.vm_list_down else self._network.vms
        self._network.after(
            1, lambda: self._network.feed(daemon, events.VmsListed(vms))
        )

    def forget_watches(self) -> None:
        """Lose all waiting watches in silence."""
        self._watches.clear()

    def _arrive(
        self, operation: store.Operation, reply: Callable[[store.Result], None]
    ) -> None:
        if self.faults.down:
            reply(store.StoreFailed("the store is down", unknown=False))
            return
        result = self.store.call(operation, self._network.now_ms)
        if isinstance(operation, store.Watch) and not result.changes:
            self._wait(operation, reply)
            return
        reply(result)
        self._wake_watches()

    def _wait(self, watch: store.Watch, reply: Callable[[store.Result], None]) -> None:
        entry = (watch, reply)
        self._watches.append(entry)

        def give_up() -> None:
            if entry in self._watches:
                self._watches.remove(entry)
                reply(self.store.changes(watch))

        self._network.after(watch.wait_ms, give_up)

    def _wake_watches(self) -> None:
        waiting, self._watches = self._watches, []
        for watch, reply in waiting:
            changes = self.store.changes(watch)
            if changes.changes:
                reply(changes)
            else:
                self._watches.append((watch, reply))
