"""Runs a daemon whose leaves are lost while they run a request."""

from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import crashes, requests

LEAVES = 6


def begin(slots: int = 40) -> gateway_site.GatewaySite:
    """Return a daemon with the leaves of one service."""
    site = gateway_site.GatewaySite()
    entries = [
        gateway_site.entry(f"l{n}", "visits", slots=slots) for n in range(LEAVES)
    ]
    site.begin(gateway_site.configuration(gateway_site.single()), *entries)
    return site


def lose_all(site: gateway_site.GatewaySite) -> list[str]:
    """Send the same request and lose every leaf that runs it; return the leaves."""
    key = site.request("/visit/1", fingerprints=(7,))
    lost = 0
    while lost < len(site.sends_of(key)):
        site.fail(site.sends_of(key)[lost], requests.AttemptEnd.LOST)
        lost += 1
    return [sent.command.leaf_id for sent in site.sends_of(key)]


def published(site: gateway_site.GatewaySite) -> list[crashes.Loss]:
    """Return the losses that a daemon has published."""
    return [
        loss
        for command in site.others
        if isinstance(command, commands.PublishLosses)
        for loss in command.losses
    ]


def withdrawn(site: gateway_site.GatewaySite) -> list[crashes.Loss]:
    """Return the losses that a daemon has withdrawn."""
    return [
        loss
        for command in site.others
        if isinstance(command, commands.WithdrawLosses)
        for loss in command.losses
    ]


def is_refused(
    site: gateway_site.GatewaySite, fingerprints: tuple[int, ...] = (7,)
) -> bool:
    """Return whether a daemon sends a request to no leaf."""
    key = site.request("/visit/1", fingerprints=fingerprints)
    return not site.sends_of(key)
