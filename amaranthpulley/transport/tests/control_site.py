"""A site of many daemons under virtual time, for the tests of control work."""

from collections.abc import Iterable

from amaranthpulley.coordination import ticketing
from amaranthpulley.state import daemon, members, store, topology
from amaranthpulley.transport import virtual_network

DOMAINS = ("Kathmandu", "Pokhara", "Biratnagar")
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
        self.verdicts: dict[int, ticketing.Verdict] = {}
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

        def done(verdict: ticketing.Verdict) -> None:
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
