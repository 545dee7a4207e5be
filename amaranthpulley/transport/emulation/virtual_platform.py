"""Simulation of the platform's store and VM list, including their faults."""

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
    """Faults that the store injects into calls.

    Attributes
    ----------
    down : bool
        Whether every call is refused before it takes effect.
    lost_reply_share : float
        Share of the replies, from 0.0 to 1.0, that are lost after the call has taken
        effect.
    delay_ms : int
        Extra delay of each call, in milliseconds.
    """

    down: bool = False
    lost_reply_share: float = 0.0
    delay_ms: int = 0


class VirtualPlatform:
    """The stand-in store and VM list of a `VirtualNetwork`."""

    def __init__(self, network: virtual_network.VirtualNetwork) -> None:
        self.store = standin_store.StandInStore()
        self.faults = StoreFaults()
        self.vm_list_down = False
        self._applied_tickets = 0
        self._network = network
        self._watches: list[tuple[store.Watch, Callable[[store.Result], None]]] = []

    def call_store(
        self, daemon: virtual_network.VirtualDaemon, command: commands.CallStore
    ) -> None:
        """Carry out a daemon's store call."""

        def end(result: store.Result) -> None:
            self._network.feed(
                daemon, events.StoreReplied(command.purpose, command.operation, result)
            )

        caller_address = daemon.state.identity.address
        self.call(caller_address, command.operation, command.timeout_ms, end)

    def call(
        self,
        caller_address: str,
        operation: store.Operation,
        timeout_ms: int,
        done: Callable[[store.Result], None],
    ) -> None:
        """Carry out a store call of an address and pass its result on exactly once."""
        network = self._network
        ended = False

        def end(result: store.Result) -> None:
            nonlocal ended
            if not ended:
                ended = True
                done(result)

        def send_back(result: store.Result) -> None:
            reply_delay_ms = network.delay(STORE_ADDRESS, caller_address)
            lost = network.random.random() < self.faults.lost_reply_share
            if reply_delay_ms is not None and not lost:
                network.after(reply_delay_ms, lambda: end(result))

        request_delay_ms = network.delay(caller_address, STORE_ADDRESS)
        if request_delay_ms is not None:
            wait_ms = request_delay_ms + self.faults.delay_ms
            network.after(wait_ms, lambda: self._receive_call(operation, send_back))
        timed_out = store.StoreFailed("timed out", unknown=True)
        network.after(timeout_ms, lambda: end(timed_out))

    def apply_ticket(
        self,
        ticket: topology.ChangeTicket,
        done: Callable[[ticket_store.ApplyResult], None],
        operator: str = OPERATOR_ADDRESS,
        timeout_ms: int = 1_000,
    ) -> None:
        """Apply a ticket as an operator does, over the network and with its faults."""
        self._applied_tickets += 1
        apply_id = f"{operator}-{self._applied_tickets}"
        steps = ticket_store.apply(
            ticket, apply_id, self._network.clock.as_clock().wall_ms()
        )

        def resume(result: store.Result | None) -> None:
            try:
                operation = steps.send(result)
            except StopIteration as stop:
                if stop.value.status.is_accepted:
                    self._network.hand_over(ticket)
                done(stop.value)
                return
            self.call(operator, operation, timeout_ms, resume)

        resume(None)

    def list_vms(
        self, daemon: virtual_network.VirtualDaemon, command: commands.ListVms
    ) -> None:
        """Read the VM list for a daemon."""
        vms = None if self.vm_list_down else self._network.vms
        self._network.after(
            1, lambda: self._network.feed(daemon, events.VmsListed(vms))
        )

    def drop_watches(self) -> None:
        """Drop all pending watches without a reply."""
        self._watches.clear()

    def _receive_call(
        self, operation: store.Operation, reply: Callable[[store.Result], None]
    ) -> None:
        if self.faults.down:
            reply(store.StoreFailed("the store is down", unknown=False))
            return
        result = self.store.call(operation, self._network.now_ms)
        if isinstance(operation, store.Watch) and not result.changes:
            self._add_watch(operation, reply)
            return
        reply(result)
        self._wake_watches()

    def _add_watch(
        self, watch: store.Watch, reply: Callable[[store.Result], None]
    ) -> None:
        entry = (watch, reply)
        self._watches.append(entry)

        def time_out() -> None:
            if entry in self._watches:
                self._watches.remove(entry)
                reply(self.store.changes(watch))

        self._network.after(watch.wait_ms, time_out)

    def _wake_watches(self) -> None:
        waiting, self._watches = self._watches, []
        for watch, reply in waiting:
            changes = self.store.changes(watch)
            if changes.changes:
                reply(changes)
            else:
                self._watches.append((watch, reply))
