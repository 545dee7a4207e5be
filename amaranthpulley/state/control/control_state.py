"""State of a daemon's control work: peer exchanges, store reads and the drain."""

from typing import NamedTuple


class HeadPosition(NamedTuple):
    """How far the store's tickets have been read.

    Attributes
    ----------
    sequence : int
        Number of accepted tickets that have been read.
    revision : int
        The store's revision after which the watch continues.
    """

    sequence: int = 0
    revision: int = 0


class ControlState:
    """The state of one daemon's control work.

    Attributes
    ----------
    started : bool
        The process runs; False for tables that a test fills directly.
    incarnation : int
        The daemon's own incarnation, which it raises to refute a suspicion.
    last_event_ms : int or None
        When the last event was handled; a gap shows that the process was paused.
    suspended_since_ms : int
        When the configuration was suspended.
    confirmations : set of str
        Addresses of the peers that have confirmed the configuration since then.
    push_pending : bool
        The timer that pushes new facts and entries to peers is set.
    sync_in_flight : bool
        A request to a peer for the entries that differ is in flight.
    incomplete_tickets : set of int
        Numbers of tickets of which only a part has arrived from peers.
    probe_order : list of str
        Names of the peers still to be probed in this round.
    indirect_probes : dict
        For each peer that did not answer, the number of reports still expected on it.
    position : HeadPosition
        How far the store's tickets have been read.
    chunks_left : set of int
        Chunks of the stored configuration that are still to be read.
    read_in_flight, watch_in_flight : bool
        A read, or a watch, of the store is in flight.
    watcher_version : int
        Version of the member table from which `is_watcher` was computed.
    is_watcher : bool
        This daemon watches the store for its failure domain.
    next_list_ms, last_list_ms : int
        When the VM list is requested next, and when it was requested last.
    peer_replied : bool
        A peer has replied since the start, or all calls to peers have failed.
    failed_peer_calls : int
        Calls to peers that failed before the first reply.
    store_confirmed : bool
        The store has confirmed the configuration before a peer has replied.
    confirmation_requested : bool
        A first confirmation of the configuration has been requested.
    leave_announced : bool
        This daemon has announced to its peers that it leaves.
    drain_end_ms : int
        When the process ends even if work is unfinished.
    """

    def __init__(self) -> None:
        self.started = False
        self.incarnation = 0
        self.last_event_ms: int | None = None
        self.suspended_since_ms = 0
        self.confirmations: set[str] = set()
        self.push_pending = False
        self.sync_in_flight = False
        self.incomplete_tickets: set[int] = set()
        self.probe_order: list[str] = []
        self.indirect_probes: dict[str, int] = {}
        self.position = HeadPosition()
        self.chunks_left: set[int] = set()
        self.read_in_flight = False
        self.watch_in_flight = False
        self.watcher_version = -1
        self.is_watcher = False
        self.next_list_ms = 0
        self.last_list_ms = 0
        self.leave_announced = False
        self.drain_end_ms = 0
        self.peer_replied = False
        self.failed_peer_calls = 0
        self.store_confirmed = False
        self.confirmation_requested = False
