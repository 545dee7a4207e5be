"""Errors of the state layer."""


class StateError(Exception):
    """An operation is not valid for the state; base class of the layer's errors.

    Attributes
    ----------
    code : str
        Stable name of the error, in lower case with underscores.
    """

    code = "state_error"


class InvalidKeyRangeError(StateError):
    """A key range is empty, reversed or outside the key space."""

    code = "invalid_key_range"
