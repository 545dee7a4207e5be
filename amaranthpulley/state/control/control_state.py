"""What a daemon remembers of its own control work: peers, store reads, duties."""

from typing import NamedTuple


class HeadPosition(NamedTuple):
    """How far the store's tickets have been read.

    Attributes
    ----------
    sequence : int
        Number of accepted tickets up to which all are known.
    revision : int
        The store's revision after which the watch goes on.
    """

    sequence: int = 0
    revision: int = 0


class ControlState:
    """The running control work of one daemon.

    Attributes
    ----------
    started : bool
        The process runs, as opposed to tables that a test fills by hand.
    incarnation : int
        Number under which the daemon tells its peers that it lives.
    last_step_ms : int or None
        When the last event was handled; a gap shows that the process was paused.
    suspended_since_ms : int
        When the configuration was suspended.
    confirmations : set of str
        Addresses of the peers that have confirmed the configuration since then.
    push_pending : bool
        A timer runs that sends news to peers.
    syncing : bool
        A peer has been asked for the entries that differ.
    partly_known : set of int
        Numbers of tickets of which a part has come from peers so far.
    probe_order : list of str
        Names of the peers still to be probed in this round.
    indirect_probes : dict
        For each peer that did not answer, how many others have yet to report on it.
    position : HeadPosition
        How far the store's tickets have been read.
    chunks_left : set of int
        Chunks of the stored configuration that a read still waits for.
    reading, watching : bool
        A read, or a watch, of the store is in flight.
    watcher_version : int
        Version of the member table for which `is_watcher` was worked out.
    is_watcher : bool
        This daemon watches the store for its failure domain.
    next_list_ms, last_list_ms : int
        When the VM list is read again, and when it was asked for last.
    heard_peer : bool
        A peer has told what it knows since the start, or there is none to hear.
    failed_calls : int
        Calls to peers that failed before one was heard.
    store_reached : bool
        The store has confirmed the configuration while no peer had been heard.
    asked : bool
        A first confirmation of the configuration has been asked for.
    left : bool
        The peers have been told that this daemon leaves.
    drain_end_ms : int
        When the process ends whatever is left.
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
