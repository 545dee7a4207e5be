"""A simulated fleet under virtual time, for tests of the journal and its export."""

from typing import Final, NamedTuple

from amaranthpulley.coordination.accounts import journal_gaps
from amaranthpulley.state import clock, daemon, requests, standin_leaf, store
from amaranthpulley.state.accounts import journal
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport import customer_export
from amaranthpulley.transport.emulation import virtual_network

VMS: Final = ("vm-1", "vm-2", "vm-3")
CUSTOMERS: Final = ("forno", "timer")
SERVICES: Final = ("stock", "nowhere")
WALL_MS: Final = clock.VirtualClock().as_clock().wall_ms()
FLUSH_MS: Final = 500


class SentRequest(NamedTuple):
    """A request that reached a running and listening daemon."""

    request: requests.SearchRequest | requests.OrderRequest
    vm: str
    life: str
    received_ms: int


class JournalSite:
    """Three daemons, a leaf, an order target, and the requests sent to the daemons."""

    def __init__(self, seed: int = 1, leaf_delay_ms: int = 0, **limits: object) -> None:
        self.network = virtual_network.VirtualNetwork(seed)
        leaf = standin_leaf.StandInLeaf("boot", slots=100)
        leaf.faults = standin_leaf.LeafFaults(delay_ms=leaf_delay_ms)
        leaf.hold(1, keyspace.split_evenly(1), ["item"])
        self.network.add_leaf("leaf", leaf)
        self.network.add_leaf("desk", standin_leaf.StandInLeaf("boot", slots=100))
        self.sent: list[SentRequest] = []
        self.limits = daemon.Limits(journal_flush_ms=FLUSH_MS, **limits)
        self.lives = 0
        for vm in VMS:
            self.start(vm)
        self.run(100)

    def run(self, for_ms: int) -> None:
        """Advance the virtual time."""
        self.network.run_until(self.network.now_ms + for_ms)

    def start(self, vm: str) -> None:
        """Start a new life of a daemon with the configuration in force."""
        self.lives += 1
        address = f"10.0.0.{VMS.index(vm) + 1}:1"
        identity = daemon.Identity(vm, address, "Recife", "Recife", f"l{self.lives}")
        started = self.network.start_daemon(identity, self.limits)
        started.state.configuration.apply(_ticket())

    def search(self, vm: str, customer: str, service: str = "stock") -> None:
        """Send a search if the daemon runs and listens."""
        number = len(self.sent)
        request = requests.SearchRequest(f"r{number}", customer, service, f"q{number}")
        if self._record_sent(vm, request):
            self.network.search(vm, request)

    def order(self, vm: str, customer: str) -> None:
        """Send an order with its own idempotency key if the daemon runs and listens."""
        number = len(self.sent)
        request = requests.OrderRequest(
            f"r{number}", customer, "orders", f"key{number}", "payload"
        )
        if self._record_sent(vm, request):
            self.network.order(vm, request)

    @property
    def orders_run(self) -> list[str]:
        """The idempotency keys of the orders that the target has run."""
        return self.network.targets.leaves["desk"].runs

    def _record_sent(
        self, vm: str, request: requests.SearchRequest | requests.OrderRequest
    ) -> bool:
        virtual_daemon = self.network.daemons[vm]
        reached = virtual_daemon.alive and virtual_daemon.listening
        if reached:
            wall_ms = WALL_MS + self.network.now_ms
            self.sent.append(
                SentRequest(request, vm, virtual_daemon.state.identity.life, wall_ms)
            )
        return reached

    def call(self, operation: store.Operation) -> store.Result:
        """Execute a store operation at the current virtual time."""
        return self.network.store.call(operation, self.network.now_ms)

    def export_job(self, customer: str, from_ms: int = 0) -> customer_export.Job:
        """Return the job that exports a customer's records up to the current time."""
        end_ms = WALL_MS + self.network.now_ms + 1
        window = journal_gaps.Window(WALL_MS + from_ms, end_ms)
        return customer_export.Job(customer, window, self.call)

    def export(
        self, customer: str, from_ms: int = 0
    ) -> tuple[list[journal.JournalRecord], list[journal_gaps.Gap]]:
        """Return the records and the gaps of an export."""
        export = customer_export.Export(
            self.export_job(customer, from_ms), lambda line: None
        )
        records = list(export.records())
        return records, export.gaps()

    def announced_lives(self) -> set[str]:
        """Return the lives that the store holds."""
        return {life.life for life in customer_export.read_lives(self.call)}


def _ticket() -> topology.ChangeTicket:
    search, order = topology.ServiceKind.SEARCH, topology.ServiceKind.ORDER
    return topology.ChangeTicket(
        1,
        services=(
            topology.Service("stock", search, deadline_ms=900),
            topology.Service("orders", order),
        ),
        targets=(
            topology.Target("leaf", "stock", 0, "all", "Recife", "leaf"),
            topology.Target("desk", "orders", 0, "all", "Recife", "desk"),
        ),
    )


def is_in_gap(sent: SentRequest, gaps: list[journal_gaps.Gap]) -> bool:
    """Return whether a request may lie in one of the gaps."""
    return any(
        (gap.vm, gap.life) == (sent.vm, sent.life)
        and gap.since_ms <= sent.received_ms
        and (gap.until_ms is None or sent.received_ms <= gap.until_ms)
        for gap in gaps
    )
