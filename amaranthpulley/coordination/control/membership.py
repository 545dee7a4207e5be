"""Group membership from the VM list and from gossip.

A member that cannot be reached is suspected before it is declared dead. Its standing
spreads as a fact. The value of the fact is the member's incarnation times four (the
number of standings) plus the standing, so that the more severe standing of the same
incarnation wins, and only the member itself can clear it by a higher incarnation.
"""

from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination import commands, events
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events
from amaranthpulley.state.control import facts, members

Random = Callable[[], float]
Commands = list[commands.Command]

SUSPICION_TIMEOUT_MS: Final = 3_000
FACT_TTL_MS: Final = 600_000
LIST_TIMEOUT_MS: Final = 1_000
LIST_INTERVAL_MS: Final = 3_000
# Longer lists are read less often, to limit the bytes read per second.
LIST_INTERVAL_PER_MEMBER_MS: Final = 6
MINIMUM_LIST_INTERVAL_MS: Final = 1_000
_STANDINGS: Final = len(members.Standing)


def join(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Announce this daemon to the peers and request the VM list."""
    daemon.control.incarnation = daemon.wall_ms(now_ms)
    _publish_own(daemon, members.Standing.ALIVE, now_ms)
    return list_vms(daemon, now_ms)


def leave(daemon: daemon_state.Daemon, now_ms: int) -> None:
    """Announce that this daemon leaves, so that its duties move at once."""
    daemon.control.leave_announced = True
    _publish_own(daemon, members.Standing.LEFT, now_ms)


def list_vms(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Request the VM list, at most once in `MINIMUM_LIST_INTERVAL_MS`."""
    control = daemon.control
    if (
        control.next_list_ms
        and now_ms < control.last_list_ms + MINIMUM_LIST_INTERVAL_MS
    ):
        return []
    control.last_list_ms = now_ms
    known = daemon.members.peer_count
    interval_ms = LIST_INTERVAL_MS + known * LIST_INTERVAL_PER_MEMBER_MS
    control.next_list_ms = now_ms + interval_ms
    return [commands.ListVms(LIST_TIMEOUT_MS)]


def handle_vm_list(
    daemon: daemon_state.Daemon, event: events.VmsListed, now_ms: int, random: Random
) -> Commands:
    """Merge the VM list, which adds VMs but does not revive a dead member.

    The list may be out of date. A member that it no longer contains is removed.
    """
    if event.vms is None:
        daemon.counters.add("vm_list_failures_total")
        daemon.control.next_list_ms = now_ms + MINIMUM_LIST_INTERVAL_MS
        return [commands.log(log_events.VM_LIST_FAILED)]
    own = daemon.identity.name
    for vm in event.vms:
        if vm.name != own:
            daemon.members.put(_merge_listed(daemon.members.get(vm.name), vm, now_ms))
    names = {vm.name for vm in event.vms}
    for member in daemon.members.all():
        name = member.vm.name
        if name != own and name not in names and _is_removable(daemon, member, now_ms):
            daemon.members.drop(name)
    return []


def apply_fact(daemon: daemon_state.Daemon, fact: facts.Fact, now_ms: int) -> Commands:
    """Record a member's standing; refute a wrong one about this daemon."""
    incarnation, number = divmod(fact.value, _STANDINGS)
    standing = members.Standing(number)
    if fact.subject == daemon.identity.name:
        return _refute(daemon, incarnation, standing, now_ms)
    known = daemon.members.get(fact.subject)
    if known is None:
        if standing is members.Standing.ALIVE:
            vm = _decode_vm(fact)
            daemon.members.put(members.Member(vm, incarnation, standing, now_ms))
        return []
    if (incarnation, standing) <= (known.incarnation, known.standing):
        return []
    vm = _decode_vm(fact)._replace(status=known.vm.status)
    daemon.members.put(members.Member(vm, incarnation, standing, now_ms, known.listed))
    return _log_standing(known, standing)


def suspect(daemon: daemon_state.Daemon, name: str, now_ms: int) -> Commands:
    """Suspect a member that neither this daemon nor other peers can reach."""
    member = daemon.members.get(name)
    if member is None or member.standing is not members.Standing.ALIVE:
        return []
    daemon.counters.add("members_suspected_total")
    return _publish_standing(daemon, member, members.Standing.SUSPECT, now_ms)


def declare_suspects_dead(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Declare members dead that have been suspected for `SUSPICION_TIMEOUT_MS`."""
    decided: Commands = []
    for member in daemon.members.with_standing(members.Standing.SUSPECT):
        if now_ms >= member.since_ms + SUSPICION_TIMEOUT_MS:
            dead = members.Standing.DEAD
            decided += _publish_standing(daemon, member, dead, now_ms)
    return decided


def republish_standing(daemon: daemon_state.Daemon, name: str, now_ms: int) -> None:
    """Publish again that a member is considered dead, so that it can refute that."""
    member = daemon.members.get(name)
    if member is not None and not member.is_live:
        fact = _fact_of(member.vm, member.incarnation, member.standing)
        daemon.facts.publish(fact, now_ms + FACT_TTL_MS)


def reject_unlisted_sender(
    daemon: daemon_state.Daemon, event: events.PeerCalled, now_ms: int
) -> Commands | None:
    """Reject a call from an address that no known member has; None accepts it."""
    if daemon.members.knows_ip(event.sender_ip):
        return None
    daemon.counters.add("peer_messages_refused_total", reason="stranger")
    refused = commands.log(
        log_events.PEER_MESSAGE_REFUSED, reason="stranger", sender=event.sender_ip
    )
    reject = commands.RejectPeer(event.call_id, "the VM list does not show the sender")
    # The sender may be a new VM that a newer list contains.
    return [reject, refused, *list_vms(daemon, now_ms)]


def _publish_standing(
    daemon: daemon_state.Daemon,
    member: members.Member,
    standing: members.Standing,
    now_ms: int,
) -> Commands:
    fact = _fact_of(member.vm, member.incarnation, standing)
    daemon.facts.publish(fact, now_ms + FACT_TTL_MS)
    daemon.members.put(member._replace(standing=standing, since_ms=now_ms))
    return _log_standing(member, standing)


def _log_standing(member: members.Member, standing: members.Standing) -> Commands:
    if standing is member.standing:
        return []
    return [
        commands.log(
            log_events.MEMBER_CHANGED,
            member=member.vm.name,
            standing=standing.name.lower(),
        )
    ]


def _refute(
    daemon: daemon_state.Daemon,
    incarnation: int,
    standing: members.Standing,
    now_ms: int,
) -> Commands:
    control = daemon.control
    is_wrong = standing is not members.Standing.ALIVE and not control.leave_announced
    if is_wrong and incarnation >= control.incarnation:
        control.incarnation = incarnation + 1
        _publish_own(daemon, members.Standing.ALIVE, now_ms)
        return [commands.log(log_events.SUSPICION_DENIED)]
    return []


def _publish_own(
    daemon: daemon_state.Daemon, standing: members.Standing, now_ms: int
) -> None:
    identity = daemon.identity
    vm = members.Vm(
        identity.name, identity.address, identity.failure_domain, identity.region
    )
    fact = _fact_of(vm, daemon.control.incarnation, standing)
    daemon.facts.publish(fact, now_ms + FACT_TTL_MS)


def _fact_of(
    vm: members.Vm, incarnation: int, standing: members.Standing
) -> facts.Fact:
    return facts.Fact(
        facts.FactKind.MEMBER,
        vm.name,
        incarnation * _STANDINGS + standing,
        "|".join((vm.address, vm.failure_domain, vm.region)),
    )


def _decode_vm(fact: facts.Fact) -> members.Vm:
    address, failure_domain, region = fact.detail.split("|")
    return members.Vm(fact.subject, address, failure_domain, region)


def _merge_listed(
    known: members.Member | None, vm: members.Vm, now_ms: int
) -> members.Member:
    if known is None:
        return members.Member(vm, since_ms=now_ms, listed=True)
    if known.vm.address != vm.address and not known.is_live:
        # Another VM has taken over the name.
        return members.Member(vm, known.incarnation, since_ms=now_ms, listed=True)
    return known._replace(vm=known.vm._replace(status=vm.status), listed=True)


def _is_removable(
    daemon: daemon_state.Daemon, member: members.Member, now_ms: int
) -> bool:
    if member.listed:
        return True
    # A member known from gossip may be missing from the list only because it lags.
    fact = daemon.facts.get(facts.FactKind.MEMBER, member.vm.name, now_ms)
    return fact is None


HANDLERS: Final = {events.VmsListed: handle_vm_list}
