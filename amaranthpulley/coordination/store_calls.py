"""Calls to the platform's store with the daemon's configured timeout."""

from amaranthpulley.coordination import commands
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import store


def call(
    daemon: daemon_state.Daemon, purpose: tuple, operation: store.Operation
) -> commands.CallStore:
    """Return the command that calls the store.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    purpose : NamedTuple
        Returned with the reply; its type selects the handler.
    operation : Operation
        The operation of the store.
    """
    return commands.CallStore(purpose, operation, daemon.limits.store_timeout_ms)
