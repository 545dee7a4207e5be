"""Validation of a change ticket against the current configuration."""

import collections
from collections.abc import Iterator
from typing import Final

from amaranthpulley.state.control import configuration, topology

MAXIMUM_NUMBER: Final = 2**53
MAXIMUM_RETENTION_DAYS: Final = 3_650


def first_violation(
    known: configuration.Configuration, ticket: topology.ChangeTicket
) -> str | None:
    """Return the message and path of the first violated rule, or None.

    Parameters
    ----------
    known : Configuration
        The configuration without the ticket.
    ticket : ChangeTicket
        The ticket to validate.
    """
    for rule in _RULES:
        for path, message in rule(known, ticket):
            return f"{message} - at `{path}`"
    return None


def superseded(
    known: configuration.Configuration, ticket: topology.ChangeTicket
) -> list[configuration.Scope]:
    """Return the scopes of a ticket that a ticket with a higher number has set."""
    scopes = [
        configuration.scope_of(entry) for entry in configuration.entries_of(ticket)
    ]
    return [
        scope
        for scope in scopes
        if scope in known.entries and known.entries[scope].number > ticket.number
    ]


_Violations = Iterator[tuple[str, str]]


def _number(
    known: configuration.Configuration, ticket: topology.ChangeTicket
) -> _Violations:
    if not 1 <= ticket.number <= MAXIMUM_NUMBER:
        yield "$.number", f"the number must be from 1 to {MAXIMUM_NUMBER}"
    if not configuration.entries_of(ticket):
        yield "$", "the ticket touches nothing"


def _names(
    known: configuration.Configuration, ticket: topology.ChangeTicket
) -> _Violations:
    for field in ("services", "failure_domains", "targets", "customers"):
        seen: set[str] = set()
        for index, entry in enumerate(getattr(ticket, field)):
            path = f"$.{field}[{index}].name"
            if not entry.name:
                yield path, "the name is empty"
            if entry.name in seen:
                yield path, f"{entry.name!r} stands twice in the ticket"
            seen.add(entry.name)


def _services(
    known: configuration.Configuration, ticket: topology.ChangeTicket
) -> _Violations:
    for index, service in enumerate(ticket.services):
        path = f"$.services[{index}]"
        if service.deadline_ms < 1:
            yield f"{path}.deadline_ms", "the deadline must be at least 1 ms"
        if service.hard_deadline_ms < service.deadline_ms:
            yield (
                f"{path}.hard_deadline_ms",
                "it must not be below the deadline",
            )
        if not 0.0 <= service.minimum_coverage <= 1.0:
            yield f"{path}.minimum_coverage", "it must be from 0.0 to 1.0"
        if not 0.0 <= service.hedge_budget <= 1.0:
            yield f"{path}.hedge_budget", "it must be from 0.0 to 1.0"


def _customers(
    known: configuration.Configuration, ticket: topology.ChangeTicket
) -> _Violations:
    for index, customer in enumerate(ticket.customers):
        if not 1 <= customer.retention_days <= MAXIMUM_RETENTION_DAYS:
            path = f"$.customers[{index}].retention_days"
            yield path, f"it must be from 1 to {MAXIMUM_RETENTION_DAYS}"


def _targets(
    known: configuration.Configuration, ticket: topology.ChangeTicket
) -> _Violations:
    services = {service.name for service in ticket.services}
    domains = {domain.name for domain in ticket.failure_domains}
    for index, target in enumerate(ticket.targets):
        path = f"$.targets[{index}]"
        if target.service not in services and known.service(target.service) is None:
            yield f"{path}.service", f"no service {target.service!r} is configured"
        domain = configuration.Scope("failure_domain", target.failure_domain)
        if target.failure_domain not in domains and domain not in known.entries:
            message = f"no failure domain {target.failure_domain!r} is configured"
            yield f"{path}.failure_domain", message
        if target.slots < 1:
            yield f"{path}.slots", "a target has at least 1 slot"
        if target.connections < 1:
            yield f"{path}.connections", "a target takes at least 1 connection"
        if not target.shard:
            yield f"{path}.shard", "the shard is empty"


def _addresses(
    known: configuration.Configuration, ticket: topology.ChangeTicket
) -> _Violations:
    seen: dict[str, str] = {}
    for index, target in enumerate(ticket.targets):
        if target.status is topology.TargetStatus.REMOVED:
            continue
        if target.address in seen:
            other = seen[target.address]
            yield f"$.targets[{index}].address", f"{other!r} has the same address"
        seen[target.address] = target.name


def _shard_map(
    known: configuration.Configuration, ticket: topology.ChangeTicket
) -> _Violations:
    """Refuse to leave a shard without a target.

    A ticket that changes every current target of a service may also drop shards.
    """
    touched = {
        target.name: index
        for index, target in enumerate(ticket.targets)
        if _is_newer(known, target.name, ticket.number)
    }
    remaining: collections.Counter[tuple[str, str]] = collections.Counter(
        (target.service, target.shard)
        for target in ticket.targets
        if target.name in touched and target.status is not topology.TargetStatus.REMOVED
    )
    for service in sorted({_service_of(known, name) for name in touched} - {""}):
        shards = known.shards(service)
        names = {name for replicas in shards.values() for name in replicas}
        if names <= set(touched):
            continue
        for shard, replicas in shards.items():
            if set(replicas) <= set(touched) and not remaining[service, shard]:
                index = min(touched[name] for name in replicas)
                yield (
                    f"$.targets[{index}]",
                    f"shard {shard!r} of service {service!r} would have no target",
                )


def _is_newer(known: configuration.Configuration, name: str, number: int) -> bool:
    numbered = known.entries.get(configuration.Scope("target", name))
    return numbered is None or numbered.number < number


def _service_of(known: configuration.Configuration, name: str) -> str:
    target = known.target(name)
    return target.service if target is not None else ""


_RULES: Final = (
    _number,
    _names,
    _services,
    _customers,
    _targets,
    _addresses,
    _shard_map,
)
