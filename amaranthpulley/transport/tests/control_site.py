"""A simulated fleet of daemons under virtual time, for tests of the control plane."""

from collections.abc import Iterable

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.control import ticket_store
from amaranthpulley.state import daemon, requests, standin_leaf, store
from amaranthpulley.state.control import members, topology
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport.emulation import virtual_network

DOMAINS = ("Kathmandu", "Pokhara", "Biratnagar")
KEYS = [f"item-{number}" for number in range(50)]
WARM_UP_MS = 5_000
HYPOTHESIS_SETTINGS = {"derandomize": True, "deadline": None, "database": None}


def first_ticket(shards: int = 2) -> topology.ChangeTicket:
    """Return a ticket for a search service with one instance in each failure domain."""
    targets = [
        topology.Target(
            f"leaf-{instance}-{shard}",
            "stock",
            instance,
            f"s{shard}",
            domain,
            f"{instance}{shard}",
        )
        for instance, domain in enumerate(DOMAINS)
        for shard in range(shards)
    ]
    return topology.ChangeTicket(
        1,
        services=(topology.Service("stock", topology.ServiceKind.SEARCH),),
        failure_domains=tuple(topology.FailureDomain(name, name) for name in DOMAINS),
        targets=tuple(targets),
    )


def domain_ticket(number: int, name: str, in_service: bool) -> topology.ChangeTicket:
    """Return a ticket that takes a failure domain out of service, or back."""
    domain = topology.FailureDomain(name, name, in_service)
    return topology.ChangeTicket(number, failure_domains=(domain,))


class LoadGenerator:
    """Callers behind a load balancer that learns of readiness changes with a delay.

    Attributes
    ----------
    sent : dict
        By request, the time when it was sent and the daemon that received it.
    attempts : list
        Time, daemon and target of each attempt at a leaf.
    """

    def __init__(self, site: "ControlSite", readiness_lag_ms: int = 300) -> None:
        self.sent: dict[str, tuple[int, str]] = {}
        self.attempts: list[tuple[int, str, topology.Target]] = []
        self.site = site
        self._readiness_lag_ms = readiness_lag_ms
        self._ready: list[str] = []
        self._send_attempt = site.network.targets.send
        site.network.targets.send = self._record_attempt
        ranges = keyspace.split_evenly(2)
        for instance, _ in enumerate(DOMAINS):
            for shard in range(2):
                leaf = standin_leaf.StandInLeaf("boot-1", slots=1_000)
                leaf.hold(1, (ranges[shard],), KEYS)
                site.network.add_leaf(f"{instance}{shard}", leaf)
        self._poll_readiness()

    def search(self, name: str | None = None) -> None:
        """Send a search to a daemon, by default to one that the balancer lists."""
        if name is None:
            if not self._ready:
                return
            name = self._ready[len(self.sent) % len(self._ready)]
        request_id = f"request-{len(self.sent)}"
        self.sent[request_id] = self.site.network.now_ms, name
        request = requests.SearchRequest(request_id, "c", "stock", "item")
        self.site.network.search(name, request)

    def run(self, for_ms: int, interval_ms: int = 50) -> None:
        """Send a search at each interval of a period."""
        for _ in range(for_ms // interval_ms):
            self.search()
            self.site.run(interval_ms)

    def outcomes(self) -> dict[str, requests.Outcome]:
        """Return the outcomes by request."""
        return {
            answered.command.request.request_id: answered.command.outcome
            for answered in self.site.network.answers
        }

    def _poll_readiness(self) -> None:
        ready = [state.identity.name for state in self.site.alive() if state.ready]

        def update() -> None:
            self._ready = ready

        self.site.network.after(self._readiness_lag_ms, update)
        self.site.network.after(100, self._poll_readiness)

    def _record_attempt(
        self, daemon: virtual_network.VirtualDaemon, command: commands.SendAttempt
    ) -> None:
        name = daemon.state.identity.name
        self.attempts.append((self.site.network.now_ms, name, command.target))
        self._send_attempt(daemon, command)


class ControlSite:
    """Daemons, their platform, and the verdicts on the tickets of operators.

    Attributes
    ----------
    cut_links : set of frozenset of str
        Pairs of addresses between which no message passes.
    configuration_calls : int
        Number of store calls for the keys of the configuration.
    reverted : list of str
        Daemon and scope of each configuration entry that went back to a lower number.
    """

    def __init__(self, size: int, seed: int = 1, grace_ms: int = 500) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        self.network.delay = self._delay
        self.limits = daemon.Limits(drain_grace_ms=grace_ms)
        self.verdicts: dict[int, ticket_store.ApplyResult] = {}
        self.accepted_ms: dict[int, int] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.reverted: list[str] = []
        self._last_numbers: dict[tuple, int] = {}
        self._lives = 0
        self.configuration_calls = 0
        self._call_store = self.network.store.call
        self.network.store.call = self._count_call
        for number in range(size):
            self.start(f"vm-{number:03d}")

    def start(self, name: str) -> virtual_network.VirtualDaemon:
        """Start a new life of the daemon on a VM."""
        self._lives += 1
        number = int(name.split("-")[1])
        domain = DOMAINS[number % len(DOMAINS)]
        address = f"10.0.{number // 250}.{number % 250}:1"
        life = str(self._lives)
        identity = daemon.Identity(name, address, domain, domain, life)
        return self.network.start_daemon(identity, self.limits)

    def state(self, name: str) -> daemon.Daemon:
        """Return a daemon's state."""
        return self.network.daemons[name].state

    def apply(self, ticket: topology.ChangeTicket, operator: str = "operator") -> None:
        """Apply a ticket as an operator."""

        def done(verdict: ticket_store.ApplyResult) -> None:
            self.verdicts[ticket.number] = verdict
            if verdict.status.is_accepted:
                self.accepted_ms[ticket.number] = self.network.now_ms

        self.network.platform.apply_ticket(ticket, done, operator)

    def run(self, for_ms: int, step_ms: int = 250) -> None:
        """Advance the virtual time, and record each entry that reverts."""
        end_ms = self.network.now_ms + for_ms
        while self.network.now_ms < end_ms:
            self.network.run_until(min(end_ms, self.network.now_ms + step_ms))
            self._record_reverts()

    def drain(self, name: str) -> None:
        """Request the graceful shutdown of a daemon."""
        self.network.feed(self.network.daemons[name], events.DrainRequested())

    def alive(self) -> list[daemon.Daemon]:
        """Return the states of the daemons that run and are not paused."""
        now_ms = self.network.now_ms
        return [
            entry.state
            for entry in self.network.daemons.values()
            if entry.alive and entry.paused_until_ms <= now_ms
        ]

    def daemons_without(self, number: int) -> list[str]:
        """Return the running daemons in which a ticket is not in force."""
        return [
            state.identity.name
            for state in self.alive()
            if number not in state.configuration.in_force_since_ms
            and state.configuration.highest_number < number
        ]

    def views(self) -> set[tuple[str, ...]]:
        """Return the distinct views that daemons have of the live members."""
        return {tuple(vm.name for vm in state.members.live) for state in self.alive()}

    def names(self, states: Iterable[daemon.Daemon]) -> list[str]:
        """Return the sorted names of daemons."""
        return sorted(state.identity.name for state in states)

    def vm(self, name: str) -> members.Vm:
        """Return the entry of a daemon in the VM list."""
        return next(vm for vm in self.network.vms if vm.name == name)

    def partition(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Cut the links between two groups of addresses."""
        right = list(right)
        for one in left:
            self.cut_links |= {frozenset((one, other)) for other in right}

    def _count_call(self, operation: store.Operation, now_ms: int) -> store.Result:
        key = getattr(operation, "key", getattr(operation, "prefix", ""))
        self.configuration_calls += key.startswith("config/")
        return self._call_store(operation, now_ms)

    def _delay(self, sender: str, receiver: str) -> int | None:
        if self.cut_links and frozenset((sender, receiver)) in self.cut_links:
            return None
        return 1 + int(self.network.random.random() * 20)

    def _record_reverts(self) -> None:
        for state in self.alive():
            identity = state.identity
            for scope, numbered in state.configuration.entries.items():
                key = identity.name, identity.life, scope
                if numbered.number < self._last_numbers.get(key, 0):
                    self.reverted.append(f"{identity.name} {scope}")
                self._last_numbers[key] = numbered.number
