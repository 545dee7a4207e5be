"""Finds the client account of a request.

The daemon that accepts a request finds its account by the digest of the client's key. A
delegate gets the account's name from that daemon and no key; what it can't apply it
hands back, so that clients are turned away by the daemon that they asked.
"""

from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests, routes
from amaranthpulley.state.forwarding.client_accounts import accounts


def identify(
    configuration: routes.Configuration,
    route: routes.Route,
    incoming: requests.IncomingRequest,
) -> accounts.Account | commands.Refusal | None:
    """Return the account of a request, or why it is refused; None if it needs none."""
    table = configuration.accounts
    if table is None or route.anonymous:
        return None
    if incoming.origin is not None:
        named = table.by_name.get(incoming.origin.account)
        return commands.Refusal.OTHER_VERSION if named is None else named
    holder = table.holder_of(incoming.key_digest)
    return commands.Refusal.UNAUTHORIZED if holder is None else holder


def leaf_name(account: accounts.Account | None) -> str:
    """Return the account name that leaves get; empty for none."""
    return "" if account is None else account.name


def count_refused(
    gateway: gateway_state.Gateway, incoming: requests.IncomingRequest
) -> None:
    """Count a client's request that no account was found for."""
    if incoming.origin is None:
        cause = "no_key" if incoming.key_digest is None else "unknown_key"
        gateway.counters.add("forward_unauthorized_total", cause=cause)
