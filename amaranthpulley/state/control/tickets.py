"""What the store keeps of the operators' change tickets.

One key, the head, is written for each accepted ticket, so that the store's
compare-and-swap puts the tickets in one order. The head carries the latest tickets
whole; older ones are folded into chunks of entries by scope.
"""

from typing import Final, NamedTuple

from amaranthpulley.state.control import topology

HEAD_KEY: Final = "config/head"
_CHUNK_PREFIX: Final = "config/chunks/"


class AcceptedTicket(NamedTuple):
    """A ticket with the run of the command that brought it in.

    Attributes
    ----------
    ticket : ChangeTicket
        What it changes.
    apply_id : str
        Unique for each run, by which a run recognises its own write.
    digest : str
        Equal for equal contents.
    accepted_ms : int
        When it was handed in, in milliseconds since the Unix epoch.
    """

    ticket: topology.ChangeTicket
    apply_id: str
    digest: str
    accepted_ms: int


class UsedNumber(NamedTuple):
    """A number that an accepted ticket has, with what tells its content."""

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
        The latest of them, in the order of acceptance.
    used : tuple of UsedNumber
        The numbers of older ones that are still known.
    floor : int
        Numbers up to this one may have been used and are refused.
    chunk_count : int
        Number of chunks that hold what was folded; 0 before the first fold.
    """

    sequence: int = 0
    tail: tuple[AcceptedTicket, ...] = ()
    used: tuple[UsedNumber, ...] = ()
    highest_closed_number: int = 0
    chunk_count: int = 0

    @property
    def folded(self) -> int:
        """Number of tickets that only the chunks still hold."""
        return self.sequence - len(self.tail)


def chunk_key(index: int, chunk_count: int) -> str:
    """Return the store key of a chunk."""
    return f"{_CHUNK_PREFIX}{chunk_count}/{index}"
