"""Codec of the platform's store API over HTTP: JSON operations and results.

Each operation is a ``POST /v1/<operation>``; values are encoded in base64.
"""

from typing import Final

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.state import store

_OPERATIONS: Final = {
    "get": (store.Get, store.Value),
    "list": (store.ListKeys, store.Keys),
    "swap": (store.Swap, store.Swapped),
    "watch": (store.Watch, store.Changes),
    "lease/grant": (store.GrantLease, store.LeaseState),
    "lease/renew": (store.RenewLease, store.LeaseState),
    "lease/revoke": (store.RevokeLease, store.LeaseState),
}
_NAMES: Final = {operation: name for name, (operation, _) in _OPERATIONS.items()}

PATH_PREFIX: Final = "/v1/"
OPERATION_NAMES: Final = tuple(_OPERATIONS)


def path_of(operation: store.Operation) -> str:
    """Return the path to which an operation is posted."""
    return PATH_PREFIX + _NAMES[type(operation)]


def encode(message: store.Operation | store.Result) -> bytes:
    """Return the body of an operation or a result."""
    return msgspec.json.encode(message)


def decode_operation(path: str, body: bytes) -> store.Operation:
    """Return the decoded operation that was posted to a path."""
    kinds = _OPERATIONS.get(path.removeprefix(PATH_PREFIX))
    if kinds is None:
        raise errors.MalformedMessageError(f"the store has no operation {path}")
    return _decode(body, kinds[0])


def decode_result(operation: store.Operation, body: bytes) -> store.Result:
    """Return the decoded result of an operation."""
    return _decode(body, _OPERATIONS[_NAMES[type(operation)]][1])


def _decode(body: bytes, kind: type) -> tuple:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(f"store: {error}") from error
