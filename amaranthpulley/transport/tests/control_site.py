"""A site of many daemons under virtual time, for the tests of control work."""

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
SETTINGS = {"derandomize": True, "deadline": None, "database": None}


def first_ticket(shards: int = 2) -> topology.ChangeTicket:
    """Return a ticket with a service of one replica in each failure domain."""
    targets = [
        topology.Target(
            f"leaf-{place}-{shard}",
            "stock",
            place,
            f"s{shard}",
            domain,
            f"{place}{shard}",
        )
        for place, domain in enumerate(DOMAINS)
        for shard in range(shards)
    ]
    return topology.ChangeTicket(
        1,
        services=(topology.Service("stock", topology.ServiceKind.SEARCH),),
        failure_domains=tuple(topology.FailureDomain(name, name) for name in DOMAINS),
        targets=tuple(targets),
    )


def domain_ticket(number: int, name: str, in_service: bool) -> topology.ChangeTicket:
    """Return a ticket that takes a failure domain out or back."""
    domain = topology.FailureDomain(name, name, in_service)
    return topology.ChangeTicket(number, failure_domains=(domain,))


class Load:
    """Callers behind a balancer that sees late which daemons are ready.

    Attributes
    ----------
    sent : dict
        For each request the time when it was sent and the daemon that got it.
    attempts : list
        Time, daemon and target of each attempt.
    """

    def __init__(self, site: "ControlSite", lag_ms: int = 300) -> None:
        self.sent: dict[str, tuple[int, str]] = {}
        self.attempts: list[tuple[int, str, topology.Target]] = []
        self.site = site
        self._lag_ms = lag_ms
        self._ready: list[str] = []
        self._carry = site.network.targets.send
        site.network.targets.send = self._send
        ranges = keyspace.split_evenly(2)
        for place, _ in enumerate(DOMAINS):
            for shard in range(2):
                leaf = standin_leaf.StandInLeaf("boot-1", slots=1_000)
                leaf.hold(1, (ranges[shard],), KEYS)
                site.network.add_leaf(f"{place}{shard}", leaf)
        self._look()

    def search(self, name: str | None = None) -> None:
        """Send a search to a daemon, or to one that the balancer takes for ready."""
        if name is None:
            if not self._ready:
                return
            name = self._ready[len(self.sent) % len(self._ready)]
        request_id = f"request-{len(self.sent)}"
        self.sent[request_id] = self.site.network.now_ms, name
        request = requests.SearchRequest(request_id, "c", "stock", "item")
        self.site.network.search(name, request)

    def run(self, for_ms: int, interval_ms: int = 50) -> None:
        """Send searches for a while."""
        for _ in range(for_ms // interval_ms):
            self.search()
            self.site.run(interval_ms)

    def outcomes(self) -> dict[str, requests.Outcome]:
        """Return the answers by request."""
        return {
            answered.command.request.request_id: answered.command.outcome
            for answered in self.site.network.answers
        }

    def _look(self) -> None:
        ready = [state.identity.name for state in self.site.alive() if state.ready]

        def see() -> None:
            self._ready = ready

        self.site.network.after(self._lag_ms, see)
        self.site.network.after(100, self._look)

    def _send(
        self, daemon: virtual_network.VirtualDaemon, command: commands.SendAttempt
    ) -> None:
        name = daemon.state.identity.name
        self.attempts.append((self.site.network.now_ms, name, command.target))
        self._carry(daemon, command)


class ControlSite:
    """Daemons, the platform and the verdicts that operators got.

    Attributes
    ----------
    cut : set of frozenset of str
        Pairs of addresses between which no message passes.
    configuration_calls : int
        Calls to the store about the configuration.
    reverted : list of str
        Daemons, and what of theirs went back to a lower number.
    """

    def __init__(self, size: int, seed: int = 1, grace_ms: int = 500) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        self.network.delay = self._delay
        self.limits = daemon.Limits(drain_grace_ms=grace_ms)
        self.verdicts: dict[int, ticket_store.ApplyResult] = {}
        self.accepted_ms: dict[int, int] = {}
        self.cut: set[frozenset[str]] = set()
        self.reverted: list[str] = []
        self._numbers: dict[tuple, int] = {}
        self._lives = 0
        self.configuration_calls = 0
        self._call_store = self.network.store.call
        self.network.store.call = self._count_call
        for number in range(size):
            self.start(f"vm-{number:03d}")

    def start(self, name: str) -> virtual_network.VirtualDaemon:
        """Start a daemon, or a new life of one."""
        self._lives += 1
        number = int(name.split("-")[1])
        domain = DOMAINS[number % len(DOMAINS)]
        address = f"10.0.{number // 250}.{number % 250}:1"
        life = str(self._lives)
        identity = daemon.Identity(name, address, domain, domain, life)
        return self.network.start_daemon(identity, self.limits)

    def state(self, name: str) -> daemon.Daemon:
        """Return a daemon's tables."""
        return self.network.daemons[name].state

    def apply(self, ticket: topology.ChangeTicket, operator: str = "operator") -> None:
        """Let an operator bring a ticket in."""

        def done(verdict: ticket_store.ApplyResult) -> None:
            self.verdicts[ticket.number] = verdict
            if verdict.status.is_accepted:
                self.accepted_ms[ticket.number] = self.network.now_ms

        self.network.platform.apply_ticket(ticket, done, operator)

    def run(self, for_ms: int, step_ms: int = 250) -> None:
        """Let time pass, and note each entry that goes back."""
        end_ms = self.network.now_ms + for_ms
        while self.network.now_ms < end_ms:
            self.network.run_until(min(end_ms, self.network.now_ms + step_ms))
            self._note_reverts()

    def drain(self, name: str) -> None:
        """Ask a daemon to leave."""
        self.network.feed(self.network.daemons[name], events.DrainRequested())

    def alive(self) -> list[daemon.Daemon]:
        """Return the tables of the daemons that run."""
        now_ms = self.network.now_ms
        return [
            entry.state
            for entry in self.network.daemons.values()
            if entry.alive and entry.paused_until_ms <= now_ms
        ]

    def lacking(self, number: int) -> list[str]:
        """Return the daemons in which a number is not in force."""
        return [
            state.identity.name
            for state in self.alive()
            if number not in state.configuration.in_force_since_ms
            and state.configuration.highest_number < number
        ]

    def views(self) -> set[tuple[str, ...]]:
        """Return the different views that daemons have of who is live."""
        return {tuple(vm.name for vm in state.members.live) for state in self.alive()}

    def names(self, states: Iterable[daemon.Daemon]) -> list[str]:
        """Return the names of daemons."""
        return sorted(state.identity.name for state in states)

    def vm(self, name: str) -> members.Vm:
        """Return the VM list's entry of a daemon."""
        return next(vm for vm in self.network.vms if vm.name == name)

    def separate(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Cut the links between two groups of addresses."""
        right = list(right)
        for one in left:
            self.cut |= {frozenset((one, other)) for other in right}

    def _count_call(self, operation: store.Operation, now_ms: int) -> store.Result:
        key = getattr(operation, "key", getattr(operation, "prefix", ""))
        self.configuration_calls += key.startswith("config/")
        return self._call_store(operation, now_ms)

    def _delay(self, sender: str, receiver: str) -> int | None:
        if self.cut and frozenset((sender, receiver)) in self.cut:
            return None
        return 1 + int(self.network.random.random() * 20)

    def _note_reverts(self) -> None:
        for state in self.alive():
            identity = state.identity
            for scope, numbered in state.configuration.entries.items():
                key = identity.name, identity.life, scope
                if numbered.number < self._numbers.get(key, 0):
                    self.reverted.append(f"{identity.name} {scope}")
                self._numbers[key] = numbered.number
