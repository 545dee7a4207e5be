"""Errors of the transport layer."""


class TransportError(Exception):
    """Base class of the errors of the transport layer.

    Attributes
    ----------
    code : str
        Stable name of the error, in lower case with underscores.
    """

    code = "transport_error"


class AddressInUseError(TransportError):
    """A listening address is in use or does not belong to this machine."""

    code = "address_in_use"


class LogFileUnwritableError(TransportError):
    """The log file cannot be opened."""

    code = "log_file_unwritable"


class BodyTooLargeError(TransportError):
    """A request body exceeds the size limit."""

    code = "body_too_large"


class BodyTooSlowError(TransportError):
    """A request body did not arrive in time."""

    code = "body_too_slow"


class BodyMemorySpentError(TransportError):
    """Too much is held for callers; the request has not run."""

    code = "overloaded"


class PlatformUnreachableError(TransportError):
    """The platform's store or VM list did not reply."""

    code = "platform_unreachable"


class PeerUnreachableError(TransportError):
    """No connection to a peer could be made; the message was not sent."""

    code = "peer_unreachable"


class PeerTimedOutError(TransportError):
    """A peer did not reply in time; it may have processed the message."""

    code = "peer_timed_out"


class PeerRejectedError(TransportError):
    """A peer rejected a message."""

    code = "peer_rejected"


class UnknownExperimentError(TransportError):
    """No experiment has the given name."""

    code = "unknown_experiment"


class ExportUnwritableError(TransportError):
    """The files of an export cannot be written."""

    code = "export_unwritable"


class InvalidTimeError(TransportError):
    """A time on the command line is not valid."""

    code = "invalid_time"


class NoLeavesError(TransportError):
    """The stand-in leaves that an experiment needs are not available."""

    code = "no_leaves"


class EventsUnreadableError(TransportError):
    """A log file or an admin port cannot be read."""

    code = "events_unreadable"


class PictureUnwritableError(TransportError):
    """The SVG file of a time line cannot be written."""

    code = "picture_unwritable"
