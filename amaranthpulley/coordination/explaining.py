"""Why a target gets no work, for operators who look at one daemon."""

import enum

from amaranthpulley.state import configuration, topology


class NoWork(enum.StrEnum):
    """Why a target gets no new work from a daemon."""

    UNCONFIRMED = "configuration_unconfirmed"
    DOMAIN_OUT = "failure_domain_out_of_service"
    LEAVING = "target_leaving"
    REMOVED = "target_removed"


def why_no_work(
    known: configuration.Configuration, target: topology.Target
) -> NoWork | None:
    """Return why a target gets no new work, None when it may get some.

    Parameters
    ----------
    known : Configuration
        The configuration in force.
    target : Target
        The target's settings.
    """
    if target.status is topology.TargetStatus.REMOVED:
        return NoWork.REMOVED
    if target.status is topology.TargetStatus.LEAVING:
        return NoWork.LEAVING
    if known.suspended:
        return NoWork.UNCONFIRMED
    return None if known.takes_work(target) else NoWork.DOMAIN_OUT
