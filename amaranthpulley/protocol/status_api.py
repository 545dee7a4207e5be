"""Status of a daemon for operators: the JSON body of ``GET /status``."""

import collections
from typing import Final, TypedDict

from amaranthpulley.coordination import no_work_reasons
from amaranthpulley.coordination.accounts import journal_retention, request_journal
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state.control import topology

MAXIMUM_LISTED_TARGETS: Final = 1_000
MAXIMUM_LISTED_PEERS: Final = 1_000
# Tasks that a single daemon performs on behalf of all.
DUTIES: Final = (journal_retention.DUTY,)


class ConfigurationBody(TypedDict):
    """The configuration in force."""

    highest_ticket: int
    entries: int
    checksum: str
    confirmed: bool


class PeerBody(TypedDict):
    """What the daemon knows of one peer."""

    vm: str
    address: str
    standing: str
    failure_domain: str


class TargetBody(TypedDict):
    """A target that gets no new requests, and the reason."""

    target: str
    service: str
    failure_domain: str
    reason: str


class JournalBody(TypedDict):
    """The journal of the running process."""

    life: str
    announced: bool
    last_sequence: int
    unwritten_records: int
    unwritten_bytes: int
    refuses_requests: bool


class StatusBody(TypedDict):
    """The daemon's status; `targets` and `peers` are truncated to their maximums."""

    vm: str
    life: str
    failure_domain: str
    region: str
    ready: bool
    draining: bool
    requests_in_progress: int
    configuration: ConfigurationBody
    peers_live: int
    peers: list[PeerBody]
    duties: list[str]
    leases: list[str]
    targets_configured: int
    targets_without_work: int
    targets: list[TargetBody]
    journal: JournalBody


class TargetCount(TypedDict):
    """Number of targets of a failure domain in one state."""

    failure_domain: str
    state: str
    count: int


def status_of(daemon: daemon_state.Daemon, now_ms: int) -> StatusBody:
    """Return a daemon's status.

    Parameters
    ----------
    daemon : Daemon
        The daemon's state.
    now_ms : int
        Reading of the monotonic clock, in milliseconds.
    """
    identity = daemon.identity
    idle = _targets_without_work(daemon)
    return StatusBody(
        vm=identity.name,
        life=identity.life,
        failure_domain=identity.failure_domain,
        region=identity.region,
        ready=daemon.ready,
        draining=daemon.draining,
        requests_in_progress=daemon.requests_in_progress,
        configuration=_configuration_body(daemon),
        peers_live=len(daemon.members.peers),
        peers=_peer_bodies(daemon),
        duties=[duty for duty in DUTIES if daemon.members.is_owner(duty)],
        leases=sorted(daemon.leases.held(now_ms)),
        targets_configured=len(_targets(daemon)),
        targets_without_work=len(idle),
        targets=idle[:MAXIMUM_LISTED_TARGETS],
        journal=_journal_body(daemon),
    )


def count_targets(daemon: daemon_state.Daemon) -> list[TargetCount]:
    """Return the number of targets by failure domain and state.

    The state is ``serving`` or the reason why the targets get no new requests.
    """
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for target in _targets(daemon):
        reason = no_work_reasons.no_work_reason(daemon, target)
        state = topology.TargetStatus.SERVING if reason is None else reason
        counts[target.failure_domain, state.value] += 1
    return [
        TargetCount(failure_domain=domain, state=state, count=count)
        for (domain, state), count in sorted(counts.items())
    ]


def _targets(daemon: daemon_state.Daemon) -> list[topology.Target]:
    return [
        numbered.entry
        for numbered in daemon.configuration.entries.values()
        if isinstance(numbered.entry, topology.Target)
    ]


def _targets_without_work(daemon: daemon_state.Daemon) -> list[TargetBody]:
    found = []
    for target in _targets(daemon):
        reason = no_work_reasons.no_work_reason(daemon, target)
        if reason is not None:
            body = TargetBody(
                target=target.name,
                service=target.service,
                failure_domain=target.failure_domain,
                reason=reason.value,
            )
            found.append(body)
    return sorted(found, key=lambda body: body["target"])


def _peer_bodies(daemon: daemon_state.Daemon) -> list[PeerBody]:
    own = daemon.identity.name
    bodies = [
        PeerBody(
            vm=member.vm.name,
            address=member.vm.address,
            standing=member.standing.name.lower(),
            failure_domain=member.vm.failure_domain,
        )
        for member in daemon.members.all()
        if member.vm.name != own
    ]
    return sorted(bodies, key=lambda body: body["vm"])[:MAXIMUM_LISTED_PEERS]


def _configuration_body(daemon: daemon_state.Daemon) -> ConfigurationBody:
    known = daemon.configuration
    return ConfigurationBody(
        highest_ticket=known.highest_number,
        entries=len(known.entries),
        checksum=f"{known.checksum:016x}",
        confirmed=not known.suspended,
    )


def _journal_body(daemon: daemon_state.Daemon) -> JournalBody:
    own = daemon.journal
    return JournalBody(
        life=daemon.identity.life,
        announced=own.announced,
        last_sequence=own.last_sequence,
        unwritten_records=own.unwritten_records,
        unwritten_bytes=own.size_bytes,
        refuses_requests=request_journal.refuses_requests(daemon),
    )
