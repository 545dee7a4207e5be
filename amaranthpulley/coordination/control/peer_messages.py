"""Messages between daemons."""

from typing import NamedTuple

from amaranthpulley.state.control import facts, topology
from amaranthpulley.state.orders import claims


class Exchange(NamedTuple):
    """Carries new facts and entries and the sender's checksums to a peer.

    The reply is `Exchanged`.

    Attributes
    ----------
    sender : str
        ``IP:port`` of the sender.
    facts : tuple of SpreadFact
        Facts that the peer may lack.
    tickets : tuple of ChangeTicket
        Configured entries that the peer may lack, grouped by ticket number.
    facts_digest : tuple of int
        Checksums of all facts of the sender, one for each bucket.
    checksum : int
        Checksum of the sender's configuration.
    fresh : bool
        Whether the sender's configuration is confirmed.
    """

    sender: str
    facts: tuple[facts.SpreadFact, ...]
    tickets: tuple[topology.ChangeTicket, ...]
    facts_digest: tuple[int, ...]
    checksum: int
    fresh: bool


class Exchanged(NamedTuple):
    """Reply to `Exchange`; `facts` holds those of the buckets that differ."""

    facts: tuple[facts.SpreadFact, ...]
    facts_digest: tuple[int, ...]
    checksum: int
    fresh: bool


class SyncAsked(NamedTuple):
    """Requests the configured entries that differ; the reply is `Synced`."""

    sender: str
    checksums: tuple[int, ...]


class Synced(NamedTuple):
    """Reply to `SyncAsked`; the peer asks again when it is not complete."""

    tickets: tuple[topology.ChangeTicket, ...]
    complete: bool
    fresh: bool


class ProbeAsked(NamedTuple):
    """Asks a peer to probe the daemon at `address`; the reply is `Probed`."""

    sender: str
    address: str


class Probed(NamedTuple):
    """Reply to `ProbeAsked`: whether the daemon answered."""

    reached: bool


class TicketHandedOver(NamedTuple):
    """Carries an accepted ticket from an operator's command.

    The reply is `TicketTaken`.
    """

    ticket: topology.ChangeTicket


class TicketTaken(NamedTuple):
    """Reply to `TicketHandedOver`: the ticket is in force in the daemon on `vm`."""

    vm: str


CALLS = (Exchange, SyncAsked, ProbeAsked, TicketHandedOver, claims.Operation)
REPLIES = (Exchanged, Synced, Probed, TicketTaken, claims.Verdict)
