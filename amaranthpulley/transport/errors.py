"""Errors of the transport layer."""


class TransportError(Exception):
    """A message could not be carried.

    Attributes
    ----------
    code : str
        Stable name of the error, in lower case with underscores.
    """

    code = "transport_error"


class AddressInUse(TransportError):
    """A listening address is taken or not one of this machine's."""

    code = "address_in_use"


class LogFileUnwritable(TransportError):
    """The log file cannot be opened."""

    code = "log_file_unwritable"


class BodyTooLarge(TransportError):
    """A request body is over the size limit."""

    code = "body_too_large"


class BodyTooSlow(TransportError):
    """A request body did not arrive in time."""

    code = "body_too_slow"


class PlatformUnreachable(TransportError):
    """The platform's store or VM list gave no answer."""

    code = "platform_unreachable"


class PeerUnreachable(TransportError):
    """A peer could not be reached; the message was not delivered."""

    code = "peer_unreachable"


class PeerTimedOut(TransportError):
    """A peer did not reply in time; it may have taken the message."""

    code = "peer_timed_out"


class PeerRejected(TransportError):
    """A peer refused a message."""

    code = "peer_rejected"
