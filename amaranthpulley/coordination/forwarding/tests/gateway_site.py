"""Runs the decisions of one daemon under virtual time with scripted leaves."""

import random
from typing import NamedTuple

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import commands, engine, events
from amaranthpulley.state import clock, log_events
from amaranthpulley.state.forwarding import gateway, leaves, requests, routes

HOST = "search.example"
SHARDS = ("shard-0", "shard-1", "shard-2")
TICK_MS = 100


def route(**changes: object) -> routes.Route:
    """Return a route over all shards; arguments replace its fields."""
    usual = routes.Route(
        name="wide",
        host=HOST,
        prefix="/wide/",
        idempotent=True,
        timeout_ms=800,
        objective_ms=130,
        priority=1,
        maximum_leaves=2,
        services=(),
        shards=SHARDS,
        top_records=3,
        minimum_coverage=0.6,
        regions=frozenset(),
    )
    return usual._replace(**changes)


def single(**changes: object) -> routes.Route:
    """Return a route to one service; arguments replace its fields."""
    services = (routes.WeightedService("visits", 1.0),)
    usual = route(name="visit", prefix="/visit/", services=services, shards=())
    return usual._replace(**changes)


def configuration(*found: routes.Route, version: int = 1) -> routes.Configuration:
    """Return a configuration of these routes."""
    table: dict[str, dict[str, routes.Route]] = {}
    for one in found:
        table.setdefault(one.host, {})[one.prefix] = one
    names = {*SHARDS, "visits", "others"}
    services = {name: routes.ServiceLimits("/health", 40, 0.0) for name in names}
    return routes.Configuration(version, table, services, routes.ClientLimits())


def entry(leaf_id: str, service: str, domain: str = "a1", **changes: object):  # noqa: ANN201
    """Return a leaf's entry; arguments replace its fields."""
    usual = leaves.LeafEntry(
        leaf_id, service, f"{leaf_id}:1", domain, 2, False, 0, 1_000
    )
    return usual._replace(**changes)


def answer(
    status: int = 200, body: bytes = b"", signature: bytes = b"s", **changes: object
) -> requests.LeafAnswer:
    """Return a leaf's answer; arguments replace its fields."""
    usual = requests.LeafAnswer(status, (), body, signature, False, False, None)
    return usual._replace(**changes)


REJECTED = answer(503, signature=b"", not_run=True)


class Sent(NamedTuple):
    """A sent attempt and the time of the send."""

    at_ms: int
    command: commands.SendAttempt


class GatewaySite:
    """The state of one daemon and the commands that it returned.

    Parameters
    ----------
    limits : Limits
        Limits of the daemon.
    name : str
        Name of the daemon.
    """

    def __init__(
        self, limits: gateway.Limits | None = None, name: str = "vm-1"
    ) -> None:
        self.clock = clock.VirtualClock(1_000_000)
        regions = {"a1": "a", "b1": "b"}
        place = gateway.Place(name, "a1", "a", regions)
        # The daemon has run for longer than a retry window and has its full slack.
        started_ms = self.clock.now_ms - 60_000
        self.gateway = gateway.Gateway(place, limits or gateway.Limits(), started_ms)
        self.random = random.Random(1)
        self.sent: list[Sent] = []
        self.answers: dict[int, object] = {}
        self.others: list[commands.Command] = []
        self._wakes: dict[int, int] = {}
        self._next_key = 0
        self._next_tick_ms = self.clock.now_ms + TICK_MS

    @property
    def now_ms(self) -> int:
        """Current virtual time."""
        return self.clock.now_ms

    def begin(self, found: routes.Configuration, *entries: leaves.LeafEntry) -> None:
        """Feed the configuration, the leaves and this daemon's registration."""
        self.feed(events.ConfigurationRead(found))
        for one in entries:
            self.feed(events.LeafWritten(one))
        self.feed(events.DirectoryListed())
        name = self.gateway.place.name
        member = gateway.Member("a1", f"{name}:1")
        self.feed(events.MemberChanged(name, member))

    def request(
        self,
        path: str = "/wide/1",
        deadline_ms: int | None = 800,
        fingerprints: tuple[int, ...] = (),
        key_digest: bytes | None = None,
    ) -> int:
        """Feed a request and return its key."""
        self._next_key += 1
        key = self._next_key
        incoming = requests.IncomingRequest(
            key, f"r{key}", HOST, path, fingerprints or (key,), deadline_ms
        )._replace(key_digest=key_digest)
        self.feed(events.RequestArrived(incoming))
        return key

    def feed(self, event: events.Event) -> None:
        """Feed an event and record the returned commands."""
        decided = engine.step(
            self.gateway, event, self.clock.now_ms, self.random.random
        )
        for command in decided:
            self._record(command)

    def sends_of(self, key: int) -> list[Sent]:
        """Return the sent attempts of a request."""
        return [sent for sent in self.sent if sent.command.request_key == key]

    def logs_of(self, event: log_events.LogEvent) -> list[dict[str, object]]:
        """Return the fields of the log lines of an event."""
        return [
            dict(command.fields)
            for command in self.others
            if isinstance(command, common.Log) and command.event == event
        ]

    def reply(self, sent: Sent, given: requests.LeafAnswer) -> None:
        """Feed a leaf's answer to an attempt."""
        self.feed(events.AttemptAnswered(sent.command.attempt, given))

    def fail(self, sent: Sent, end: requests.AttemptEnd) -> None:
        """Feed the end of an attempt without an answer."""
        self.feed(events.AttemptFailed(sent.command.attempt, end))

    def advance(self, by_ms: int) -> None:
        """Advance the clock and feed the wake-ups and ticks that become due."""
        end_ms = self.clock.now_ms + by_ms
        while True:
            key = min(self._wakes, key=lambda k: self._wakes[k], default=None)
            due_ms = self._wakes[key] if key is not None else end_ms + 1
            if min(due_ms, self._next_tick_ms) > end_ms:
                break
            if due_ms <= self._next_tick_ms:
                del self._wakes[key]
                self.clock.advance_to(due_ms)
                self.feed(events.WakeDue(key))
            else:
                self.clock.advance_to(self._next_tick_ms)
                self._next_tick_ms += TICK_MS
                self.feed(events.TickDue())
        self.clock.advance_to(end_ms)

    def _record(self, command: commands.Command) -> None:
        if isinstance(command, commands.SendAttempt):
            self.sent.append(Sent(self.clock.now_ms, command))
        elif isinstance(command, commands.WakeAt):
            self._wakes[command.request_key] = command.due_ms
        elif isinstance(
            command, commands.PassAnswer | commands.SendMerged | commands.Refuse
        ):
            if command.request_key in self.answers:
                raise AssertionError(f"second answer: {command}")
            self.answers[command.request_key] = command
            self._wakes.pop(command.request_key, None)
        else:
            self.others.append(command)
