"""The configuration in force: each entry as its highest-numbered ticket set it."""

import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple

from amaranthpulley.state.control import topology

Entry = topology.Service | topology.FailureDomain | topology.Target | topology.Customer


BUCKETS: Final = 512
_CHECKSUM_MASK: Final = 0xFFFFFFFF
_MAXIMUM_RECORDED_NUMBERS: Final = 1_000


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
    topology.Customer: "customer",
}


def scope_of(entry: Entry) -> Scope:
    """Return the scope that an entry configures."""
    return Scope(_KINDS[type(entry)], entry.name)


def as_tickets(entries: Iterable[NumberedEntry]) -> tuple[topology.ChangeTicket, ...]:
    """Return entries grouped into one ticket for each number, in ascending order."""
    by_number: dict[int, dict[type, list[Entry]]] = {}
    for number, entry in entries:
        by_number.setdefault(number, {}).setdefault(type(entry), []).append(entry)
    return tuple(
        topology.ChangeTicket(
            number,
            services=tuple(kinds.get(topology.Service, ())),
            failure_domains=tuple(kinds.get(topology.FailureDomain, ())),
            targets=tuple(kinds.get(topology.Target, ())),
            customers=tuple(kinds.get(topology.Customer, ())),
        )
        for number, kinds in sorted(by_number.items())
    )


def entries_of(ticket: topology.ChangeTicket) -> tuple[Entry, ...]:
    """Return all entries that a ticket sets."""
    return (
        *ticket.services,
        *ticket.failure_domains,
        *ticket.targets,
        *ticket.customers,
    )


def bucket_of(scope: Scope, buckets: int = BUCKETS) -> int:
    """Return the bucket of a scope, for checksums and for the stored chunks."""
    return _hash(f"{scope.kind}/{scope.name}") % buckets


class Configuration:
    """Merges change tickets; the result does not depend on their order.

    Attributes
    ----------
    suspended : bool
        The configuration may be outdated: no target accepts work until it is
        confirmed.
    in_force_since_ms : dict
        When each of the latest numbers came into force, in milliseconds since the
        Unix epoch.
    """

    def __init__(self) -> None:
        self.suspended = False
        self.in_force_since_ms: dict[int, int] = {}
        self._checksums = [0] * BUCKETS
        self._checksum = 0
        self._buckets: list[dict[Scope, None]] = [{} for _ in range(BUCKETS)]
        self._unsent: dict[Scope, None] = {}
        self._entries: dict[Scope, NumberedEntry] = {}
        self._shards: dict[str, dict[str, dict[str, topology.Target]]] = {}
        self._highest_number = 0

    @property
    def highest_number(self) -> int:
        """The highest ticket number merged so far, 0 when there is none."""
        return self._highest_number

    @property
    def entries(self) -> dict[Scope, NumberedEntry]:
        """All entries by scope; not to be changed."""
        return self._entries

    @property
    def checksum(self) -> int:
        """A checksum that is equal for equal configurations."""
        return self._checksum

    @property
    def bucket_checksums(self) -> tuple[int, ...]:
        """The checksum of each bucket."""
        return tuple(self._checksums)

    @property
    def has_unsent(self) -> bool:
        """Whether there are changed entries that were not sent to a peer."""
        return bool(self._unsent)

    def pop_unsent(self) -> list[NumberedEntry]:
        """Return the entries that were not sent to a peer, and count them as sent."""
        taken = [self._entries[scope] for scope in self._unsent]
        self._unsent.clear()
        return taken

    def differing(
        self, checksums: tuple[int, ...], limit: int
    ) -> tuple[list[NumberedEntry], bool]:
        """Return entries of the buckets in which a peer differs.

        The second item is True if these are all of them. Only whole buckets are
        returned, so that a peer makes progress with each call.
        """
        found: list[NumberedEntry] = []
        for index, checksum in enumerate(self._checksums):
            if checksum == checksums[index]:
                continue
            entries = [self._entries[scope] for scope in self._buckets[index]]
            if found and len(found) + len(entries) > limit:
                return found, False
            found += entries
        return found, True

    def record_in_force(self, number: int, wall_ms: int) -> bool:
        """Record when a number came into force; return False if it was recorded."""
        if number in self.in_force_since_ms:
            return False
        self.in_force_since_ms[number] = wall_ms
        if len(self.in_force_since_ms) > _MAXIMUM_RECORDED_NUMBERS:
            del self.in_force_since_ms[next(iter(self.in_force_since_ms))]
        return True

    def apply(self, ticket: topology.ChangeTicket) -> list[Scope]:
        """Merge a ticket and return the scopes that it changed."""
        self._highest_number = max(self._highest_number, ticket.number)
        return self.merge(
            NumberedEntry(ticket.number, entry) for entry in entries_of(ticket)
        )

    def merge(self, numbered_entries: Iterable[NumberedEntry]) -> list[Scope]:
        """Keep the higher-numbered state of each entry; return the changed scopes."""
        changed = []
        for numbered in numbered_entries:
            scope = scope_of(numbered.entry)
            known = self._entries.get(scope)
            if known is not None and known.number >= numbered.number:
                continue
            self._add_checksum(scope, known, numbered)
            self._entries[scope] = numbered
            self._unsent[scope] = None
            self._highest_number = max(self._highest_number, numbered.number)
            self._index(numbered.entry, known)
            changed.append(scope)
        return changed

    def service(self, name: str) -> topology.Service | None:
        """Return a service's settings, or None when it is not configured."""
        numbered = self._entries.get(Scope("service", name))
        return numbered.entry if numbered else None

    def customers(self) -> list[topology.Customer]:
        """Return the customers that have their own settings."""
        return [
            numbered.entry
            for numbered in self._entries.values()
            if isinstance(numbered.entry, topology.Customer)
        ]

    def target(self, name: str) -> topology.Target | None:
        """Return a target's settings, or None when it is not configured."""
        numbered = self._entries.get(Scope("target", name))
        return numbered.entry if numbered else None

    def shards(self, service: str) -> dict[str, dict[str, topology.Target]]:
        """Return a service's targets by shard and name; not to be changed."""
        return self._shards.get(service, {})

    def accepts_work(self, target: topology.Target) -> bool:
        """Return whether the configuration lets a target get new work."""
        return not self.suspended and self.is_in_service(target)

    def is_in_service(self, target: topology.Target) -> bool:
        """Return whether the operators let a target get new work."""
        numbered = self._entries.get(Scope("failure_domain", target.failure_domain))
        domain_serves = numbered is None or numbered.entry.in_service
        return domain_serves and target.status is topology.TargetStatus.SERVING

    def _add_checksum(
        self, scope: Scope, known: NumberedEntry | None, numbered: NumberedEntry
    ) -> None:
        change = _hash(f"{scope.kind}/{scope.name}/{numbered.number}")
        if known is not None:
            change ^= _hash(f"{scope.kind}/{scope.name}/{known.number}")
        self._checksum ^= change
        bucket = bucket_of(scope)
        self._buckets[bucket][scope] = None
        self._checksums[bucket] ^= change & _CHECKSUM_MASK

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


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
