"""Writes change tickets directly into a stand-in store, without validating them."""

from amaranthpulley.coordination import stored_values
from amaranthpulley.state import standin_store, store
from amaranthpulley.state.control import tickets, topology


def put(
    platform_store: standin_store.StandInStore,
    ticket: topology.ChangeTicket,
    now_ms: int = 0,
) -> None:
    """Record a ticket as accepted, as if an operator had applied it."""
    present = platform_store.call(store.Get(tickets.HEAD_KEY), now_ms)
    head = tickets.Head()
    if present.value is not None:
        head = stored_values.decode_head(present.value)
    accepted = tickets.AcceptedTicket(
        ticket, f"put-{ticket.number}", stored_values.digest_of(ticket), now_ms
    )
    updated = head._replace(sequence=head.sequence + 1, tail=(*head.tail, accepted))
    value = stored_values.encode_head(updated)
    platform_store.call(store.Swap(tickets.HEAD_KEY, present.revision, value), now_ms)
