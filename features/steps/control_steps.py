"""Steps for tickets, members and leases under virtual time."""

import behave
import msgspec
from behave import runner

from amaranthpulley.coordination.control import named_leases, peer_messages
from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import peer_codec
from amaranthpulley.state import store
from amaranthpulley.state.control import members
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import control_site

DOMAINS = control_site.DOMAINS
FAULTS = virtual_platform.StoreFaults
STORE = virtual_platform.STORE_ADDRESS


class ControlSubject:
    """A site, its fault and the holder of the lease."""

    def __init__(self, size: int) -> None:
        self.site = control_site.ControlSite(size)
        self.site.apply(control_site.first_ticket())
        self.site.run(control_site.WARM_UP_MS)
        self.holder = ""
        self.maximum_holders = 0
        self.down_after_acceptance = False

    def set_store_fault(self, fault: str) -> None:
        """Give the store the fault that the examples name."""
        platform = self.site.network.platform
        faults = {
            "none": FAULTS(),
            "refuses every call": FAULTS(down=True),
            "never replies": FAULTS(lost_reply_share=1.0),
            "loses every third reply": FAULTS(lost_reply_share=0.33),
            "replies after 400 ms": FAULTS(delay_ms=400),
        }
        if fault in faults:
            platform.faults = faults[fault]
        elif fault == "forgets the watches":
            platform.drop_watches()
        elif fault == "out of reach of the daemons":
            addresses = [vm.address for vm in self.site.network.vms]
            self.site.partition(addresses, [STORE])
        elif fault == "down right after acceptance":
            self.down_after_acceptance = True
        else:
            self._wrap_store(fault)

    def _wrap_store(self, fault: str) -> None:
        network = self.site.network
        original = network.store.call
        first_head = original(store.Get("config/head"), network.now_ms)
        state = {"stale": 3, "lost": False}

        def call(operation: store.Operation, now_ms: int) -> store.Result:
            is_head = getattr(operation, "key", "") == "config/head"
            if fault == "loses the reply of the write":
                if isinstance(operation, store.Swap) and not state["lost"]:
                    state["lost"] = True
                    network.platform.faults = FAULTS(lost_reply_share=1.0)
                    no_faults = FAULTS()
                    network.after(
                        1, lambda: setattr(network.platform, "faults", no_faults)
                    )
            elif is_head and isinstance(operation, store.Get) and state["stale"]:
                state["stale"] -= 1
                return first_head
            return original(operation, now_ms)

        network.store.call = call

    def apply_ticket(self, number: int) -> None:
        """Apply a ticket and wait for the verdict."""
        self.site.apply(control_site.domain_ticket(number, DOMAINS[0], False))
        network = self.site.network
        end_ms = network.now_ms + 60_000
        while number not in self.site.verdicts and network.now_ms < end_ms:
            network.run_until(network.now_ms + 1)
        if self.down_after_acceptance:
            network.platform.faults = FAULTS(down=True)

    def request_lease(self) -> None:
        """Let all daemons request the lease, and store its holder."""
        network = self.site.network
        for daemon in network.daemons.values():
            for command in named_leases.acquire(daemon.state, "duty", network.now_ms):
                network.carry_out(daemon, command)
        self.site.run(2_000)
        [self.holder] = self.holders()

    def holders(self) -> list[str]:
        """Return the names of the daemons that hold the lease."""
        now_ms = self.site.network.now_ms
        return [
            name
            for name, daemon in self.site.network.daemons.items()
            if daemon.alive and daemon.state.leases.holds("duty", now_ms)
        ]

    def views(self, without: str = "") -> set[int]:
        """Return the numbers of live daemons in the running daemons' views."""
        return {
            len(state.members.live)
            for state in self.site.alive()
            if state.identity.name != without
        }

    def wait_for_views(self, live: int, seconds: int, without: str = "") -> None:
        """Wait until all daemons consider `live` daemons live."""
        for _ in range(seconds * 4):
            if self.views(without) == {live}:
                return
            self.site.run(250)
        assert self.views(without) == {live}, self.views(without)


@behave.given("a control site of {size:d} daemons")
def start_site(context: runner.Context, size: int) -> None:
    context.subject = ControlSubject(size)


@behave.when('the store\'s fault is "{fault}"')
def set_fault(context: runner.Context, fault: str) -> None:
    context.subject.set_store_fault(fault)


@behave.when("an operator applies ticket {number:d}")
def apply_ticket(context: runner.Context, number: int) -> None:
    context.subject.apply_ticket(number)


@behave.then('the verdict on ticket {number:d} is "{verdict}"')
def check_verdict(context: runner.Context, number: int, verdict: str) -> None:
    found = context.subject.site.verdicts[number]
    assert found.status.value == verdict, found


@behave.then(
    "ticket {number:d} is in force in {share} of the daemons within {seconds:d} seconds"
)
def check_in_force(
    context: runner.Context, number: int, share: str, seconds: int
) -> None:
    site = context.subject.site
    site.run(seconds * 1_000)
    daemons_without = site.daemons_without(number)
    expected = [] if share == "all" else site.names(site.alive())
    assert sorted(daemons_without) == expected, daemons_without


@behave.then("no daemon reverts to an older ticket")
def check_reverts(context: runner.Context) -> None:
    assert context.subject.site.reverted == []


@behave.when("a daemon crashes and starts again")
def restart(context: runner.Context) -> None:
    site = context.subject.site
    site.network.crash("vm-003")
    site.run(500)
    site.start("vm-003")


@behave.then("it accepts work under ticket {number:d} within {seconds:d} seconds")
def check_started(context: runner.Context, number: int, seconds: int) -> None:
    site = context.subject.site
    site.run(seconds * 1_000)
    state = site.state("vm-003")
    assert state.configuration.highest_number == number
    assert state.ready


@behave.given('one of them holds the lease "duty" and the others request it')
def hold_lease(context: runner.Context) -> None:
    context.subject.request_lease()


@behave.when("the holder {event}")
def fail_holder(context: runner.Context, event: str) -> None:
    subject = context.subject
    site, name = subject.site, subject.holder
    match event:
        case "crashes":
            site.network.crash(name)
        case "is paused for 60 seconds":
            site.network.pause(name, 60_000)
        case "loses its link to the store":
            site.partition([site.vm(name).address], [STORE])
        case "drains":
            site.drain(name)


@behave.then('another one holds the lease "duty" within {seconds:d} seconds')
def check_lease(context: runner.Context, seconds: int) -> None:
    subject = context.subject
    for _ in range(seconds * 20):
        subject.site.run(50)
        subject.maximum_holders = max(subject.maximum_holders, len(subject.holders()))
    [holder] = subject.holders()
    assert holder != subject.holder


@behave.then('no two daemons hold the lease "duty" at the same time')
def check_holders(context: runner.Context) -> None:
    subject = context.subject
    for _ in range(65 * 10):
        subject.site.run(100)
        subject.maximum_holders = max(subject.maximum_holders, len(subject.holders()))
    assert subject.maximum_holders == 1, subject.maximum_holders


@behave.when("the VM list {change}")
def change_list(context: runner.Context, change: str) -> None:
    network = context.subject.site.network
    network.lists_new_vms = False
    vm = context.subject.site.vm("vm-002")
    others = tuple(other for other in network.vms if other != vm)
    match change:
        case "gives no answer":
            network.platform.vm_list_down = True
        case "still shows vm-002 after its end":
            network.crash("vm-002")
        case "shows vm-002 as leaving":
            network.vms = (*others, vm._replace(status=members.VmStatus.LEAVING))
            context.subject.site.drain("vm-002")
        case "lacks vm-002 from now on":
            network.crash("vm-002")
            network.vms = others
        case "shows a fresh VM":
            network.lists_new_vms = True
            context.subject.site.start("vm-005")


@behave.then("all daemons consider {live:d} daemons live within {seconds:d} seconds")
def check_views(context: runner.Context, live: int, seconds: int) -> None:
    context.subject.wait_for_views(live, seconds)


@behave.when("a daemon starts that is not on the VM list")
def start_unlisted(context: runner.Context) -> None:
    context.subject.site.network.lists_new_vms = False
    context.subject.site.start("vm-003")
    context.subject.site.run(3_000)


@behave.then('its messages are refused with the reason "{reason}" and counted')
def check_refused(context: runner.Context, reason: str) -> None:
    counted = [
        state.counters.total("peer_messages_refused_total", reason=reason)
        for state in context.subject.site.alive()
    ]
    assert sum(counted) > 0
    logged = {
        dict(log.fields)["reason"]
        for _, _, log in context.subject.site.network.logs
        if log.event.name == "peer_message_refused"
    }
    assert logged == {reason}


@behave.then(
    "all other daemons consider {live:d} daemons live within {seconds:d} seconds"
)
def check_other_views(context: runner.Context, live: int, seconds: int) -> None:
    context.subject.wait_for_views(live, seconds, without="vm-003")


@behave.when("the link {fault}")
def break_link(context: runner.Context, fault: str) -> None:
    site = context.subject.site
    one, two = site.vm("vm-000").address, site.vm("vm-001").address
    original = site.network.delay
    match fault:
        case "between vm-000 and vm-001 is cut":
            site.partition([one], [two])
        case "from vm-000 to vm-001 loses all messages":
            site.network.delay = lambda sender, receiver: (
                None if (sender, receiver) == (one, two) else original(sender, receiver)
            )
        case "between any two takes 250 ms":
            site.network.delay = lambda sender, receiver: 250


@behave.then("no daemon is declared dead in {seconds:d} seconds")
def check_deaths(context: runner.Context, seconds: int) -> None:
    site = context.subject.site
    site.run(seconds * 1_000)
    standings = {
        dict(log.fields)["standing"]
        for _, _, log in site.network.logs
        if log.event.name == "member_changed"
    }
    assert "dead" not in standings, standings


_SYNC = peer_messages.SyncAsked("10.0.0.1:1", (1, 2))
_MESSAGES = {
    "no MessagePack": b"\xc1 garbage",
    "of version 99": msgspec.msgpack.encode((99, "SyncAsked", _SYNC)),
    "of an unknown name": msgspec.msgpack.encode((peer_codec.VERSION, "Other", ())),
    "short of a field": msgspec.msgpack.encode(
        (peer_codec.VERSION, "SyncAsked", ("10.0.0.1:1",))
    ),
    "a reply in place of one": peer_codec.encode(peer_messages.Probed(True)),
}


@behave.when("a peer's message is {fault}")
def decode_message(context: runner.Context, fault: str) -> None:
    context.code = ""
    try:
        peer_codec.decode_call(_MESSAGES[fault])
    except protocol_errors.ProtocolError as error:
        context.code = error.code


@behave.then('decoding it fails with "{code}"')
def check_code(context: runner.Context, code: str) -> None:
    assert context.code == code, context.code


@behave.when("{name} is disconnected while ticket {number:d} is applied")
def disconnect(context: runner.Context, name: str, number: int) -> None:
    site = context.subject.site
    others = [vm.address for vm in site.network.vms if vm.name != name]
    unreachable = [*others, STORE, virtual_platform.OPERATOR_ADDRESS]
    site.partition([site.vm(name).address], unreachable)
    context.subject.apply_ticket(number)
    site.run(10_000)
    assert site.daemons_without(number) == [name], site.daemons_without(number)


@behave.when("the daemon is reconnected")
def reconnect(context: runner.Context) -> None:
    context.subject.site.cut_links.clear()
