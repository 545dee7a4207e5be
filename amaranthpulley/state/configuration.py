"""The configuration in force: for each entry the state of its highest ticket."""

from collections.abc import Iterable
from typing import NamedTuple

from amaranthpulley.state import topology

Entry = topology.Service | topology.FailureDomain | topology.Target


class Scope(NamedTuple):
    """Identifies one configured entry, for example ``("target", "dispatch-3-1")``."""

    kind: str
    name: str


class NumberedEntry(NamedTuple):
    """An entry with the number of the change ticket that set it."""

    number: int
    entry: Entry


_KINDS = {
    topology.Service: "service",
    topology.FailureDomain: "failure_domain",
    topology.Target: "target",
}


def scope_of(entry: Entry) -> Scope:
    """Return the scope that an entry configures."""
    return Scope(_KINDS[type(entry)], entry.name)


class Configuration:
    """Merges change tickets; the outcome does not depend on their order."""

    def __init__(self) -> None:
        self._entries: dict[Scope, NumberedEntry] = {}
        self._shards: dict[str, dict[str, dict[str, topology.Target]]] = {}
        self._highest_number = 0

    @property
    def highest_number(self) -> int:
        """The highest ticket number seen, 0 when there is none."""
        return self._highest_number

    @property
    def entries(self) -> dict[Scope, NumberedEntry]:
        """All entries by scope; not to be changed."""
        return self._entries

    def apply(self, ticket: topology.ChangeTicket) -> list[Scope]:
        """Merge a ticket and return the scopes that it changed."""
        self._highest_number = max(self._highest_number, ticket.number)
        everything = (*ticket.services, *ticket.failure_domains, *ticket.targets)
        return self.merge(NumberedEntry(ticket.number, entry) for entry in everything)

    def merge(self, numbered_entries: Iterable[NumberedEntry]) -> list[Scope]:
        """Keep the higher number of each entry and return the scopes that changed."""
        changed = []
        for numbered in numbered_entries:
            scope = scope_of(numbered.entry)
            known = self._entries.get(scope)
            if known is not None and known.number >= numbered.number:
                continue
            self._entries[scope] = numbered
            self._highest_number = max(self._highest_number, numbered.number)
            self._index(numbered.entry, known)
            changed.append(scope)
        return changed

    def service(self, name: str) -> topology.Service | None:
        """Return a service's settings, or None when it is not configured."""
        numbered = self._entries.get(Scope("service", name))
        return numbered.entry if numbered else None

    def target(self, name: str) -> topology.Target | None:
        """Return a target's settings, or None when it is not configured."""
        numbered = self._entries.get(Scope("target", name))
        return numbered.entry if numbered else None

    def shards(self, service: str) -> dict[str, dict[str, topology.Target]]:
        """Return a service's targets by shard and name; not to be changed."""
        return self._shards.get(service, {})

    def takes_work(self, target: topology.Target) -> bool:
        """Tell whether the operators let a target get new work."""
        numbered = self._entries.get(Scope("failure_domain", target.failure_domain))
        domain_serves = numbered is None or numbered.entry.in_service
        return domain_serves and target.status is topology.TargetStatus.SERVING

    def _index(self, entry: Entry, known: NumberedEntry | None) -> None:
        if not isinstance(entry, topology.Target):
            return
        if known is not None:
            old = known.entry
            self._shards[old.service][old.shard].pop(old.name, None)
            if not self._shards[old.service][old.shard]:
                del self._shards[old.service][old.shard]
        if entry.status is not topology.TargetStatus.REMOVED:
            shards = self._shards.setdefault(entry.service, {})
            shards.setdefault(entry.shard, {})[entry.name] = entry
