"""UDP datagrams between daemons, on the same port as their TCP connections.

Lost datagrams are not sent again: one is a sample of a leaf's slowness, or tells losses
that come through the store as well.
"""

import logging
from collections.abc import Callable
from typing import Final

import eventlet.hubs
import eventlet.patcher

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol.forwarding import (
    loss_codec,
    peer_message_codec,
    slowness_codec,
)
from amaranthpulley.transport.forwarding import streams

_plain_socket: Final = eventlet.patcher.original("socket")
_MAXIMUM_BYTES: Final = 2_048
# Datagrams that are read before the event loop continues with other work.
_MAXIMUM_READS_PER_TURN: Final = 32
_LOGGER: Final = logging.getLogger("amaranthpulley.datagrams")


class DatagramSocket:
    """A UDP socket that exchanges datagrams with other daemons.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    handle_event : callable
        Called with the event of each datagram received.

    Raises
    ------
    AddressInUseError
        When the address cannot be bound.
    """

    def __init__(
        self, address: str, handle_event: Callable[[events.Event], None]
    ) -> None:
        host, port = address.rsplit(":", 1)
        kind = _plain_socket.SOCK_DGRAM
        self._socket = _plain_socket.socket(_plain_socket.AF_INET, kind)
        self._socket.setblocking(False)
        try:
            self._socket.bind((host, int(port)))
        except OSError as error:
            self._socket.close()
            raise streams.address_in_use(address, error) from error
        self._handle_event = handle_event
        hub = eventlet.hubs.get_hub()
        ignore = streams.ignore
        hub.add(hub.READ, self._socket.fileno(), self._read, ignore, ignore)

    @property
    def address(self) -> str:
        """The ``IP:port`` that it listens on."""
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def send_slowness(self, command: commands.ReportSlowness) -> None:
        """Send a leaf's slowness to each address of the command."""
        message = slowness_codec.SlownessMessage(command.leaf_id, command.slowness)
        self._send(slowness_codec.encode(message), command.addresses)

    def send_losses(self, command: commands.PublishLosses) -> None:
        """Send losses to each address of the command."""
        self._send(loss_codec.encode(command.losses), command.addresses)

    def send_message(self, command: commands.SendToPeers) -> None:
        """Send a message to each address of the command."""
        self._send(peer_message_codec.encode(command.message), command.addresses)

    def _send(self, data: bytes, addresses: tuple[str, ...]) -> None:
        for address in addresses:
            host, port = address.rsplit(":", 1)
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError as error:
                # Treated like a datagram that the network drops.
                _LOGGER.debug("cannot send a datagram to %s: %s", address, error)

    def _read(self, _fileno: int) -> None:
        for _ in range(_MAXIMUM_READS_PER_TURN):
            try:
                data, sender = self._socket.recvfrom(_MAXIMUM_BYTES)
            except OSError as error:
                if error.errno not in streams.WOULD_BLOCK_ERRNOS:
                    _LOGGER.warning("cannot receive datagrams: %s", error)
                return
            try:
                received = _events_of(data, sender)
            except protocol_errors.MalformedMessageError as error:
                _LOGGER.warning("malformed datagram from %s: %s", sender, error)
                continue
            for event in received:
                self._handle_event(event)


def _events_of(data: bytes, sender: tuple[str, int]) -> list[events.Event]:
    if data.startswith(peer_message_codec.PREFIX):
        message = peer_message_codec.decode(data)
        if message is None:
            return []
        return [events.PeerMessageReceived(message, f"{sender[0]}:{sender[1]}")]
    if data.startswith(loss_codec.PREFIX):
        return [events.LossTold(loss) for loss in loss_codec.decode(data)]
    message = slowness_codec.decode(data)
    return [events.SlownessReported(message.leaf_id, message.slowness)]
