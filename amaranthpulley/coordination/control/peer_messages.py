"""Messages between daemons."""

from typing import NamedTuple

from amaranthpulley.state.control import facts, topology
from amaranthpulley.state.orders import claims


class Exchange(NamedTuple):
    """Tells a peer the news and what the sender knows; replied by `Exchanged`.

    Attributes
    ----------
    sender : str
        ``IP:port`` of the sender.
    facts : tuple of SpreadFact
        Facts that the peer may not know.
    tickets : tuple of ChangeTicket
        Configured entries that the peer may not know, by number.
    facts_digest : tuple of int
        Checksums of all facts of the sender.
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
    """Reply to `Exchange`; `facts` are those in which the digests differ."""

    facts: tuple[facts.SpreadFact, ...]
    facts_digest: tuple[int, ...]
    checksum: int
    fresh: bool


class SyncAsked(NamedTuple):
    """Asks for the configured entries that differ; replied by `Synced`."""

    sender: str
    checksums: tuple[int, ...]


class Synced(NamedTuple):
    """Reply to `SyncAsked`; ask again when it is not complete."""

    tickets: tuple[topology.ChangeTicket, ...]
    complete: bool
    fresh: bool


class ProbeAsked(NamedTuple):
    """Asks a peer to reach another one; replied by `Probed`."""

    sender: str
    address: str


class Probed(NamedTuple):
    """Reply to `ProbeAsked`."""

    reached: bool


class TicketHandedOver(NamedTuple):
    """An operator's command hands an accepted ticket over; replied by `TicketTaken`."""

    ticket: topology.ChangeTicket


class TicketTaken(NamedTuple):
    """Reply to `TicketHandedOver`: the ticket is in force here."""

    vm: str


CALLS = (Exchange, SyncAsked, ProbeAsked, TicketHandedOver, claims.Operation)
REPLIES = (Exchanged, Synced, Probed, TicketTaken, claims.Verdict)
