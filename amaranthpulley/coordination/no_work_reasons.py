"""The reasons why a target gets no work, shown to operators in a daemon's status."""

import enum

from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state.control import topology


class NoWorkReason(enum.StrEnum):
    """The reason why a target gets no new work from a daemon.

    `COLD`: the target is in a cold start, with limited work from a single daemon.
    `FULL`: the target refused this daemon, which tries one attempt after a pause.
    """

    UNCONFIRMED = "configuration_unconfirmed"
    DOMAIN_OUT = "failure_domain_out_of_service"
    LEAVING = "target_leaving"
    REMOVED = "target_removed"
    COLD = "target_cold"
    FULL = "target_full"


def no_work_reason(
    daemon: daemon_state.Daemon, target: topology.Target
) -> NoWorkReason | None:
    """Return the reason why a target gets no new work, None when it may get some.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables, which are not changed.
    target : Target
        The target's settings.
    """
    if target.status is topology.TargetStatus.REMOVED:
        return NoWorkReason.REMOVED
    if target.status is topology.TargetStatus.LEAVING:
        return NoWorkReason.LEAVING
    if daemon.configuration.suspended:
        return NoWorkReason.UNCONFIRMED
    if not daemon.configuration.accepts_work(target):
        return NoWorkReason.DOMAIN_OUT
    state = daemon.targets.get(target.name)
    if state is not None and state.cold is not None:
        return NoWorkReason.COLD
    is_full = state is not None and state.slots == 0 and state.in_flight == 0
    return NoWorkReason.FULL if is_full else None
