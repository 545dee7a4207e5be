"""Calls of the platform's store with the daemon's usual time to wait."""

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
        Comes back with the reply, and finds its handler.
    operation : Operation
        What the store is to do.
    """
    return commands.CallStore(purpose, operation, daemon.limits.store_timeout_ms)
