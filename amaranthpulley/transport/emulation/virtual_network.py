"""A simulated front end: daemons, targets and the platform under virtual time.

The simulation runs in one process without sockets and calls the same `engine.step` as
the daemon's real transport. It serves tests and measurements with many daemons, and
is deterministic for a given seed.

>>> network = VirtualNetwork(seed=1)  # doctest: +SKIP
>>> network.add_leaf(target, leaf)  # doctest: +SKIP
>>> network.start_daemon(identity)  # doctest: +SKIP
>>> network.search("vm-1", request)  # doctest: +SKIP
>>> network.run_until(1_000)  # doctest: +SKIP
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from amaranthpulley.coordination import commands, engine, events
from amaranthpulley.coordination.control import peer_messages
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import requests, standin_leaf, standin_store
from amaranthpulley.state.control import members, topology
from amaranthpulley.transport.emulation import virtual_platform, virtual_targets

DEFAULT_DELAY_MS = 1
MAXIMUM_HAND_OVERS = 3

Delay = Callable[[str, str], int | None]
Observe = Callable[["VirtualDaemon", events.Event], None]


class ReceivedAnswer(NamedTuple):
    """An answer that a caller received, and when."""

    at_ms: int
    daemon: str
    command: commands.AnswerCaller


class VirtualDaemon:
    """A simulated daemon: its state and the state of its process."""

    def __init__(
        self, identity: daemon_state.Identity, limits: daemon_state.Limits
    ) -> None:
        self.state = daemon_state.Daemon(identity, limits)
        self.alive = True
        self.listening = True
        self.paused_until_ms = 0
        self.exit_code: int | None = None


class VirtualNetwork:
    """Simulates daemons, targets, store and VM list on one virtual clock.

    Parameters
    ----------
    seed : int
        Seeds all random choices.

    Attributes
    ----------
    delay : callable
        Given the addresses of sender and receiver, returns the one-way delay in
        milliseconds, or None if the message is lost. Replace it to cut or slow links.
    vms : tuple of Vm
        The content of the VM list.
    lists_new_vms : bool
        Whether a daemon is added to the VM list when it starts.
    observe : callable
        Called with each event before a daemon handles it.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = clock_state.VirtualClock()
        self.daemons: dict[str, VirtualDaemon] = {}
        self._by_address: dict[str, VirtualDaemon] = {}
        self.answers: list[ReceivedAnswer] = []
        self.logs: list[tuple[int, str, commands.Log]] = []
        self.vms: tuple[members.Vm, ...] = ()
        self.lists_new_vms = True
        self.delay: Delay = lambda sender, receiver: DEFAULT_DELAY_MS
        self.observe: Observe = lambda daemon, event: None
        self.platform = virtual_platform.VirtualPlatform(self)
        self.targets = virtual_targets.VirtualTargets(self)
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._reply_callbacks: dict[str, Callable[[tuple], None]] = {}

    @property
    def now_ms(self) -> int:
        """The virtual time, in milliseconds."""
        return self.clock.now_ms

    @property
    def store(self) -> standin_store.StandInStore:
        """The stand-in store."""
        return self.platform.store

    def at(self, due_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._scheduled, (due_ms, next(self._sequence), action))

    def after(self, wait_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now_ms + wait_ms, action)

    def run_until(self, end_ms: int) -> None:
        """Run all actions that are due up to and including a time."""
        while self._scheduled and self._scheduled[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._scheduled)
            self.clock.advance_to(due_ms)
            action()
        self.clock.advance_to(end_ms)

    def add_leaf(self, address: str, leaf: standin_leaf.StandInLeaf) -> None:
        """Register a stand-in target under an address."""
        self.targets.leaves[address] = leaf

    def start_daemon(
        self,
        identity: daemon_state.Identity,
        limits: daemon_state.Limits | None = None,
    ) -> VirtualDaemon:
        """Start a daemon; any earlier daemon of that name must have ended."""
        daemon = VirtualDaemon(identity, limits or daemon_state.Limits())
        self.daemons[identity.name] = daemon
        self._by_address[identity.address] = daemon
        if self.lists_new_vms:
            self._add_to_vm_list(identity)
        clock = self.clock.as_clock()
        wall_offset_ms = clock.wall_ms() - clock.monotonic_ms()
        self.feed(daemon, events.Started(wall_offset_ms))
        return daemon

    def _add_to_vm_list(self, identity: daemon_state.Identity) -> None:
        vm = members.Vm(*identity[:4])
        others = (other for other in self.vms if other.name != vm.name)
        self.vms = (*others, vm)

    def crash(self, name: str) -> None:
        """End a daemon immediately; its callers get no answer."""
        self.daemons[name].alive = False

    def pause(self, name: str, for_ms: int) -> None:
        """Pause a daemon; events that arrive during the pause are delayed."""
        self.daemons[name].paused_until_ms = self.now_ms + for_ms

    def search(self, name: str, request: requests.SearchRequest) -> None:
        """Send a search to a daemon; it is lost if the daemon does not listen."""
        self._feed_request(self.daemons[name], events.SearchReceived(request))

    def order(self, name: str, request: requests.OrderRequest) -> None:
        """Send an order to a daemon; it is lost if the daemon does not listen."""
        self._feed_request(self.daemons[name], events.OrderReceived(request))

    def _feed_request(self, daemon: VirtualDaemon, event: events.Event) -> None:
        if daemon.listening:
            self.feed(daemon, event)

    def hand_over(self, ticket: topology.ChangeTicket) -> None:
        """Send an accepted ticket to some daemons, as the operators' command does."""
        count = min(len(self.vms), MAXIMUM_HAND_OVERS)
        for vm in self.random.sample(self.vms, count):
            peer = self._daemon_at(vm.address)
            delay_ms = self.delay(virtual_platform.OPERATOR_ADDRESS, vm.address)
            if peer is None or delay_ms is None:
                continue
            call_id = f"call-{next(self._sequence)}"
            self._reply_callbacks[call_id] = lambda reply: None
            message = peer_messages.TicketHandedOver(ticket)
            called = events.PeerCalled(call_id, vm.ip, message)
            self.after(delay_ms, functools.partial(self.feed, peer, called))

    def feed(self, daemon: VirtualDaemon, event: events.Event) -> None:
        """Deliver an event to a daemon: after its pause, or never if it is dead."""
        if not daemon.alive:
            return
        if daemon.paused_until_ms > self.now_ms:
            self.at(daemon.paused_until_ms, lambda: self.feed(daemon, event))
            return
        self.observe(daemon, event)
        decided = engine.step(daemon.state, event, self.now_ms, self.random.random)
        for command in decided:
            self.carry_out(daemon, command)

    def carry_out(self, daemon: VirtualDaemon, command: commands.Command) -> None:
        """Carry out a command that a daemon has decided on."""
        name = daemon.state.identity.name
        match command:
            case commands.SendAttempt():
                self.targets.send(daemon, command)
            case commands.CancelAttempt():
                self.targets.cancel(daemon, command)
            case commands.AnswerCaller():
                self.answers.append(ReceivedAnswer(self.now_ms, name, command))
            case commands.SetTimer():
                due = events.TimerDue(command.purpose, command.due_ms)
                self.at(command.due_ms, lambda: self.feed(daemon, due))
            case commands.CallStore():
                self.platform.call_store(daemon, command)
            case commands.ListVms():
                self.platform.list_vms(daemon, command)
            case commands.CallPeer():
                self._call_peer(daemon, command)
            case commands.ReplyPeer():
                self._reply_callbacks.pop(command.call_id)(command.reply)
            case commands.RejectPeer():
                self._reply_callbacks.pop(command.call_id)(events.PeerFailure.REJECTED)
            case commands.Log():
                self.logs.append((self.now_ms, name, command))
            case commands.StopListening():
                daemon.listening = False
            case commands.Exit():
                daemon.alive = False
                daemon.exit_code = command.code

    def _call_peer(self, caller: VirtualDaemon, command: commands.CallPeer) -> None:
        caller_address = caller.state.identity.address
        ended = False

        def end(reply: tuple | events.PeerFailure) -> None:
            nonlocal ended
            if not ended:
                ended = True
                replied = events.PeerReplied(command.purpose, command.address, reply)
                self.feed(caller, replied)

        def arrive() -> None:
            peer = self._daemon_at(command.address)
            if peer is None:
                self.after(1, lambda: end(events.PeerFailure.UNREACHABLE))
                return
            call_id = f"call-{next(self._sequence)}"
            self._reply_callbacks[call_id] = send_back
            sender_ip = caller_address.rsplit(":", 1)[0]
            self.feed(peer, events.PeerCalled(call_id, sender_ip, command.message))

        def send_back(reply: tuple) -> None:
            reply_delay_ms = self.delay(command.address, caller_address)
            if reply_delay_ms is not None:
                self.after(reply_delay_ms, lambda: end(reply))

        request_delay_ms = self.delay(caller_address, command.address)
        if request_delay_ms is not None:
            self.after(request_delay_ms, arrive)
        self.after(command.timeout_ms, lambda: end(events.PeerFailure.TIMED_OUT))

    def _daemon_at(self, address: str) -> VirtualDaemon | None:
        daemon = self._by_address.get(address)
        return daemon if daemon is not None and daemon.alive else None
