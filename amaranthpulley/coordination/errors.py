"""Errors of the coordination layer."""


class CoordinationError(Exception):
    """A decision cannot be made; a fault of the program, not of its surroundings.

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
    """A value read from the store is not what the daemons write there."""

    code = "corrupt_store_value"
