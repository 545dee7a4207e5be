"""Errors of the coordination layer."""


class CoordinationError(Exception):
    """Base class of errors that prevent a decision: program faults, not outages.

    Attributes
    ----------
    code : str
        Stable name of the error, in lower case with underscores.
    """

    code = "coordination_error"


class UnknownEventError(CoordinationError):
    """No handler is registered for an event."""

    code = "unknown_event"


class CorruptStoreValueError(CoordinationError):
    """A value read from the store is not in the format that the daemons write."""

    code = "corrupt_store_value"
