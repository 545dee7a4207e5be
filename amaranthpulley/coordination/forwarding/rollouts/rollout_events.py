"""Events about roll-outs that the runtime feeds to the engine."""

from typing import Final, NamedTuple

from amaranthpulley.state.forwarding import rollouts


class RolloutOrdered(NamedTuple):
    """An order for a service's version was written, or deleted.

    Attributes
    ----------
    order : Order or None
        The order; None if it was deleted.
    revision : int
        Revision of the change.
    """

    service: str
    order: rollouts.Order | None
    revision: int


class RolloutStepRead(NamedTuple):
    """A step of a roll-out was written, or deleted."""

    service: str
    step: rollouts.Step | None
    revision: int


class RolloutStatusRead(NamedTuple):
    """The status of a roll-out was written; the revision is 0 if it was deleted."""

    service: str
    revision: int


# Results of a write of a step.
WRITTEN: Final = "written"
CONFLICT: Final = "conflict"
UNKNOWN: Final = "unknown"


class RolloutWriteEnded(NamedTuple):
    """The write of a step has ended.

    Attributes
    ----------
    result : str
        `UNKNOWN` if the store did not confirm it: it may take effect later.
    reason : str
        The error; empty if there was none.
    """

    service: str
    step: int
    phase: str
    result: str
    reason: str
