"""A daemon with leaves of two versions, for tests of what an ordered version gets."""

from typing import Final

from amaranthpulley.coordination.forwarding import events, leaf_permits
from amaranthpulley.coordination.forwarding.rollouts import rollout_events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, leaves, rollouts

LIMITS: Final = gateway.Limits()
ORDER_REVISION: Final = 11
DURATION_MS: Final = 60_000


def _step(phase: rollouts.Phase, number: int = 1, **changes: object) -> rollouts.Step:
    usual = rollouts.Step(
        ORDER_REVISION, "v2", number, phase, 0.06, 0, 10_000_000, 2, (), "test"
    )
    return usual._replace(**changes)


class Site:
    """A daemon with two leaves of each version for a service and for a shard."""

    def __init__(self, members: int = 2, name: str = "vm-1") -> None:
        self.site = gateway_site.GatewaySite(LIMITS, name)
        found = gateway_site.configuration(gateway_site.route(), gateway_site.single())
        self.entries = [
            gateway_site.entry(
                f"{service}-{version}-{n}", service, slots=50, version=version
            )
            for service in (*gateway_site.SHARDS, "visits")
            for version in ("v1", "v2")
            for n in (1, 2)
        ]
        self.site.begin(found, *self.entries)
        self.set_members(members)
        self.revision = ORDER_REVISION

    def set_members(self, count: int) -> None:
        """Register so many daemons, and no others."""
        for name in list(self.site.gateway.members):
            self.site.feed(events.MemberChanged(name, None))
        for number in range(count):
            member = gateway.Member("a1", f"vm-{number + 1}:1")
            self.site.feed(events.MemberChanged(f"vm-{number + 1}", member))

    def order(self, service: str = "visits", target: str = "v2") -> None:
        """Feed an order."""
        order = rollouts.Order(target, DURATION_MS)
        self.site.feed(rollout_events.RolloutOrdered(service, order, self.revision))

    def step(
        self, phase: rollouts.Phase, service: str = "visits", **changes: object
    ) -> None:
        """Feed a step."""
        self.revision += 1
        number = self.revision - ORDER_REVISION
        step = _step(phase, number, **changes)
        self.site.feed(rollout_events.RolloutStepRead(service, step, self.revision))

    def may_get(self, leaf_id: str) -> bool:
        """Return whether a leaf may get a request now."""
        site = self.site
        leaf = site.gateway.directory.get(leaf_id)
        route = gateway_site.single()
        return leaf_permits.hold_of(site.gateway, leaf, route, site.now_ms) is None

    def rollout(self, service: str = "visits") -> rollouts.Rollout:
        """Return the daemon's view of a roll-out."""
        return self.site.gateway.rollouts.of_service(service)

    def serve(self, count: int, path: str = "/visit/1") -> None:
        """Send requests that are all answered."""
        for _ in range(count):
            key = self.site.request(path)
            for sent in self.site.sends_of(key):
                self.site.reply(sent, gateway_site.answer())
            self.site.advance(2)

    def leaf(self, leaf_id: str) -> leaves.LeafEntry:
        """Return the entry of a leaf."""
        return next(entry for entry in self.entries if entry.leaf_id == leaf_id)
