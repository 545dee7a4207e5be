"""Errors of the transport layer."""


class TransportError(Exception):
    """A message could not be carried.

    Attributes
    ----------
    code : str
        Stable name of the error, in lower case with underscores.
    """

    code = "transport_error"


class AddressInUseError(TransportError):
    """A listening address is taken or not one of this machine's."""

    code = "address_in_use"


class LogFileUnwritableError(TransportError):
    """The log file cannot be opened."""

    code = "log_file_unwritable"


class BodyTooLargeError(TransportError):
    """A request body is over the size limit."""

    code = "body_too_large"


class BodyTooSlowError(TransportError):
    """A request body did not arrive in time."""

    code = "body_too_slow"


class PlatformUnreachableError(TransportError):
    """The platform's store or VM list gave no answer."""

    code = "platform_unreachable"


class PeerUnreachableError(TransportError):
    """A peer could not be reached; the message was not delivered."""

    code = "peer_unreachable"


class PeerTimedOutError(TransportError):
    """A peer did not reply in time; it may have taken the message."""

    code = "peer_timed_out"


class PeerRejectedError(TransportError):
    """A peer refused a message."""

    code = "peer_rejected"


class UnknownExperimentError(TransportError):
    """There is no experiment of this name."""

    code = "unknown_experiment"


class ExportUnwritableError(TransportError):
    """The file of an export cannot be written."""

    code = "export_unwritable"


class InvalidTimeError(TransportError):
    """A time given on the command line cannot be read."""

    code = "invalid_time"


class NoLeavesError(TransportError):
    """The stand-in leaves that an experiment asks are not there."""

    code = "no_leaves"


class EventsUnreadableError(TransportError):
    """A log file or an admin port cannot be read."""

    code = "events_unreadable"


class PictureUnwritableError(TransportError):
    """The file of a picture cannot be written."""

    code = "picture_unwritable"
