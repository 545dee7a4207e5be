"""The stored form of the operators' change tickets.

One key, the head, is written for each accepted ticket, so that the store's
compare-and-swap puts the tickets in one order. The head contains the latest tickets in
full; older ones are folded into chunks, which hold the entries by scope.
"""

from typing import Final, NamedTuple

from amaranthpulley.state.control import topology

HEAD_KEY: Final = "config/head"
_CHUNK_PREFIX: Final = "config/chunks/"


class AcceptedTicket(NamedTuple):
    """A ticket with the run of the command that wrote it.

    Attributes
    ----------
    ticket : ChangeTicket
        The ticket.
    apply_id : str
        Unique for each run, by which a run recognises its own write.
    digest : str
        Hash of the ticket, equal for equal contents.
    accepted_ms : int
        When the run started, in milliseconds since the Unix epoch.
    """

    ticket: topology.ChangeTicket
    apply_id: str
    digest: str
    accepted_ms: int


class UsedNumber(NamedTuple):
    """The number of an accepted ticket, with the digest of its content."""

    number: int
    digest: str
    apply_id: str


class Head(NamedTuple):
    """The value of the head.

    Attributes
    ----------
    sequence : int
        Number of tickets accepted so far.
    tail : tuple of AcceptedTicket
        The latest accepted tickets, in the order of acceptance.
    used : tuple of UsedNumber
        The latest numbers of folded tickets.
    highest_closed_number : int
        Numbers up to this one may have been used and are refused.
    chunk_count : int
        Number of chunks that hold the folded entries; 0 before the first fold.
    """

    sequence: int = 0
    tail: tuple[AcceptedTicket, ...] = ()
    used: tuple[UsedNumber, ...] = ()
    highest_closed_number: int = 0
    chunk_count: int = 0

    @property
    def folded(self) -> int:
        """Number of tickets that are folded into the chunks."""
        return self.sequence - len(self.tail)


def chunk_key(index: int, chunk_count: int) -> str:
    """Return the store key of a chunk."""
    return f"{_CHUNK_PREFIX}{chunk_count}/{index}"
