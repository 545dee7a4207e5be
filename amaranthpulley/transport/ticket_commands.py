"""The operator commands that apply and show change tickets."""

import random
import secrets
from collections.abc import Callable, Sequence
from typing import Final

from amaranthpulley.coordination.control import peer_messages, ticket_store
from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import peer_codec, ticket_file, ticket_status_api
from amaranthpulley.state import store
from amaranthpulley.state.control import configuration, topology
from amaranthpulley.transport import (
    errors,
    iso_times,
    peers,
    store_client,
    system_clock,
    timeline,
    vm_list_client,
)

STORE_TIMEOUT_MS: Final = 2_000
PEER_TIMEOUT_MS: Final = 1_000
MAXIMUM_HAND_OVERS: Final = 3
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_REFUSED: Final = 2

_FAILURE_STATUSES: Final = (
    ticket_store.ApplyStatus.STORE_UNAVAILABLE,
    ticket_store.ApplyStatus.CONTENDED,
    ticket_store.ApplyStatus.UNKNOWN,
)

Show = Callable[[str], None]


def apply(
    path: str, store_address: str, show: Show, vm_list_address: str | None = None
) -> int:
    """Apply the change ticket in a file, and return the exit code.

    Parameters
    ----------
    path : str
        Path of the ticket file.
    store_address : str
        ``IP:port`` of the store.
    show : callable
        Prints a line.
    vm_list_address : str or None
        ``IP:port`` of the VM list. An accepted ticket is also sent directly to some of
        the listed daemons, in case the store fails before they have read it. None
        sends it to no daemon.
    """
    ticket = ticket_file.read(path)
    wall_ms = system_clock.system_clock().wall_ms()
    steps = ticket_store.apply(ticket, secrets.token_hex(8), wall_ms)
    result = _run(steps, store_address)
    show(f"{result.status.value}: {result.message}")
    if result.status.is_accepted:
        if vm_list_address is not None:
            _hand_over(ticket, vm_list_address, show)
        return EXIT_OK
    return EXIT_FAILED if result.status in _FAILURE_STATUSES else EXIT_REFUSED


def show_all(store_address: str, show: Show) -> int:
    """Print the configuration as tickets, one per line, in ascending order."""
    stored = _read_stored(store_address)
    for ticket in configuration.as_tickets(stored.configuration.entries.values()):
        show(ticket_file.encode(ticket).decode())
    return EXIT_OK


def show_status(
    number: int, store_address: str, admin_addresses: Sequence[str], show: Show
) -> int:
    """Print whether a ticket is accepted, and in which daemons it is in force.

    The exit code is `EXIT_FAILED` unless it is accepted and in force in all of them.
    """
    stored = _read_stored(store_address)
    accepted = ticket_store.find(stored.head, number)
    if accepted is None:
        state = (
            "not known any more"
            if number <= stored.head.highest_closed_number
            else "not accepted"
        )
        show(f"ticket {number}: {state}")
        return EXIT_FAILED
    show(f"ticket {number}: accepted{_acceptance_time(stored, number)}")
    for line in _scope_lines(stored, number):
        show(line)
    daemons_without_ticket = [
        address
        for address in admin_addresses
        if not _show_daemon(address, number, show)
    ]
    return EXIT_FAILED if daemons_without_ticket else EXIT_OK


def _hand_over(ticket: topology.ChangeTicket, vm_list_address: str, show: Show) -> None:
    vm_list = vm_list_client.VmListClient(vm_list_address)
    listed = vm_list.read(STORE_TIMEOUT_MS) or ()
    vm_list.close()
    message = peer_codec.encode(peer_messages.TicketHandedOver(ticket))
    channels = peers.PeerChannels()
    receivers = random.sample(listed, min(len(listed), MAXIMUM_HAND_OVERS))
    for vm in receivers:
        try:
            channels.call(vm.address, message, PEER_TIMEOUT_MS)
            show(f"handed over to {vm.name}")
        except errors.TransportError as error:
            show(f"not handed over to {vm.name}: {type(error).__name__}")
    channels.close()


def _acceptance_time(stored: ticket_store.Stored, number: int) -> str:
    for accepted in stored.head.tail:
        if accepted.ticket.number == number:
            return f" at {iso_times.format_time(accepted.accepted_ms)}"
    return ""


def _scope_lines(stored: ticket_store.Stored, number: int) -> list[str]:
    current = [
        f"  {scope.kind} {scope.name}"
        for scope, numbered in sorted(stored.configuration.entries.items())
        if numbered.number == number
    ]
    return current or ["  higher numbers have set all that it touched"]


def _show_daemon(address: str, number: int, show: Show) -> bool:
    try:
        body = ticket_status_api.decode(
            timeline.read_admin(address, ticket_status_api.PATH)
        )
    except (errors.TransportError, protocol_errors.ProtocolError) as error:
        show(f"{address}: no answer ({error})")
        return False
    since_ms = body["in_force_since_ms"].get(number)
    where = f"{body['vm']} in {body['failure_domain']}"
    if since_ms is not None:
        show(f"{where}: in force since {iso_times.format_time(since_ms)}")
        return True
    show(f"{where}: not seen in force, highest number {body['highest_number']}")
    return False


def _read_stored(store_address: str) -> ticket_store.Stored:
    stored = _run(ticket_store.read(), store_address)
    if isinstance(stored, store.StoreFailed):
        raise errors.PlatformUnreachableError(
            f"the store at {store_address} gave no answer ({stored.reason}); try later"
        )
    return stored


def _run(steps: ticket_store.Steps, store_address: str) -> object:
    client = store_client.StoreClient(store_address)
    try:
        return ticket_store.run(
            steps, lambda operation: client.call(operation, STORE_TIMEOUT_MS)
        )
    finally:
        client.close()
