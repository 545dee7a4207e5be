"""Errors of the protocol layer."""


class ProtocolError(Exception):
    """A message violates its protocol.

    Attributes
    ----------
    code : str
        Stable name of the error, in lower case with underscores.
    """

    code = "protocol_error"


class MalformedMessageError(ProtocolError):
    """A message cannot be decoded; the text names the path of the fault."""

    code = "malformed_message"


class UnknownVersionError(MalformedMessageError):
    """A peer's message has an unsupported protocol version."""

    code = "unknown_version"


class InvalidSettingsError(ProtocolError):
    """The settings file is invalid; the text names the path of the fault."""

    code = "invalid_settings"


class InvalidTicketError(ProtocolError):
    """A change ticket is invalid; the text names the path of the fault."""

    code = "invalid_ticket"
