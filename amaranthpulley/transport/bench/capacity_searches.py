"""Processor time of the decisions of a search, by leaves asked and replicas."""

from typing import Final

from amaranthpulley.coordination import commands, engine, events
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import requests, targets
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import keyspace, searches
from amaranthpulley.transport.bench import capacity_tables, quantities

LEAVES_ASKED: Final = (3, 30, 81, 243)
TARGET_LEAVES_ASKED: Final = 81
REPLICAS: Final = (4, 12, 62, 309, 926)
TARGET_REPLICAS: Final = 926
INSTANCES: Final = 4
SEARCHES: Final = 20
SERVICE: Final = "stock"
LOAD: Final = targets.TargetLoad("boot-1", 0, (1,))
NOW_MS: Final = 1_000


class _DecisionHarness:
    """Runs the decisions of one daemon against leaves that never fail."""

    def __init__(self, shards: int, replicas: int) -> None:
        identity = daemon_state.Identity(
            "vm-1", "10.0.0.1:7000", "domain-0", "region-0", "1"
        )
        self._daemon = daemon_state.Daemon(identity, daemon_state.Limits())
        self._parts = {
            f"shard-{shard}": searches.SearchPart(1, (part,), ())
            for shard, part in enumerate(keyspace.split_evenly(shards))
        }
        targets_of_service = [
            capacity_tables.target(number, SERVICE, shards)
            for number in range(shards * replicas)
        ]
        service = topology.Service(SERVICE, topology.ServiceKind.SEARCH)
        self._daemon.configuration.apply(
            topology.ChangeTicket(1, (service,), (), tuple(targets_of_service))
        )
        for target in targets_of_service:
            self._daemon.targets.report(target.name, LOAD)
        self._searches = 0

    def search(self) -> None:
        """Run a search from its arrival to its answer."""
        self._searches += 1
        request = requests.SearchRequest(
            f"search-{self._searches}", "bench", SERVICE, query=""
        )
        decided_commands = self._step(events.SearchReceived(request))
        for command in decided_commands:
            if isinstance(command, commands.SendAttempt):
                self._step(
                    events.AttemptAnswered(
                        command.attempt_id, self._parts[command.target.shard], LOAD
                    )
                )

    def _step(self, event: events.Event) -> list[commands.Command]:
        return engine.step(self._daemon, event, NOW_MS, lambda: 0.5)


def _search_ms(shards: int, replicas: int) -> float:
    def prepare() -> _DecisionHarness:
        harness = _DecisionHarness(shards, replicas)
        harness.search()
        return harness

    def run_searches(harness: _DecisionHarness) -> None:
        for _ in range(SEARCHES):
            harness.search()

    return quantities.minimum_cpu_ms(prepare, run_searches) / SEARCHES


QUANTITIES: Final = (
    quantities.Quantity(
        "decisions of a search, 4 replicas of each shard",
        "cpu ms",
        "leaves asked",
        LEAVES_ASKED,
        TARGET_LEAVES_ASKED,
        lambda asked, seed: _search_ms(asked, INSTANCES),
    ),
    quantities.Quantity(
        "decisions of a search over 81 shards",
        "cpu ms",
        "replicas of each shard",
        REPLICAS,
        TARGET_REPLICAS,
        lambda replicas, seed: _search_ms(TARGET_LEAVES_ASKED, replicas),
    ),
)
