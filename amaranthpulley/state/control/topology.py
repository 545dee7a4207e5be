"""Entries of the configuration: services, failure domains, targets, customers."""

import enum
from typing import NamedTuple


class GiveWay(enum.StrEnum):
    """What a search gives up when not every leaf answers in time."""

    COVERAGE = "coverage"
    TIME = "time"


class ServiceKind(enum.StrEnum):
    """Whether a service may run a request more than once."""

    SEARCH = "search"
    ORDER = "order"


class Service(NamedTuple):
    """The settings of one service.

    Attributes
    ----------
    name : str
        Name that callers use.
    kind : ServiceKind
        Searches and look-ups are idempotent; orders are not.
    deadline_ms : int
        Time within which a request is answered.
    hard_deadline_ms : int
        Time within which a search is answered that waits beyond `deadline_ms` for
        its minimum coverage.
    minimum_coverage : float
        Least share of the key space, from 0.0 to 1.0, that a search waits for.
    give_way : GiveWay
        What is given up when the deadline passes before the minimum coverage.
    hedge_budget : float
        Largest share of hedged attempts, for example 0.05 for 5%.
    """

    name: str
    kind: ServiceKind
    deadline_ms: int = 200
    hard_deadline_ms: int = 1_000
    minimum_coverage: float = 0.9
    give_way: GiveWay = GiveWay.COVERAGE
    hedge_budget: float = 0.05


class FailureDomain(NamedTuple):
    """A failure domain and whether the operators let its targets get work."""

    name: str
    region: str
    in_service: bool = True


class TargetStatus(enum.StrEnum):
    """Whether a target may get new work."""

    SERVING = "serving"
    LEAVING = "leaving"
    REMOVED = "removed"


class Target(NamedTuple):
    """One back-end server; a leaf is a target that holds one shard of an index.

    Attributes
    ----------
    name : str
        Unique name, for example ``"dispatch-3-1"``.
    service : str
        Name of the service that it belongs to.
    instance : int
        Number of the copy of the index that it is part of.
    shard : str
        Name of the shard that it holds; targets with the same service and shard
        are replicas of each other.
    failure_domain : str
        Name of its failure domain.
    address : str
        ``IP:port`` that it listens on.
    slots : int
        Requests that it runs concurrently.
    connections : int
        Connections that it accepts in total from all VMs.
    status : TargetStatus
        Whether it may get new work.
    """

    name: str
    service: str
    instance: int
    shard: str
    failure_domain: str
    address: str
    slots: int = 2
    connections: int = 25
    status: TargetStatus = TargetStatus.SERVING


class Customer(NamedTuple):
    """How long the records of one customer's requests are kept.

    The defaults apply to customers without an entry.

    Attributes
    ----------
    name : str
        The name that callers use.
    retention_days : int
        Days after which the records of a request are erased.
    erased : bool
        Erase all records now; set after the customer has left and received its copy.
    """

    name: str
    retention_days: int = 90
    erased: bool = False


class ChangeTicket(NamedTuple):
    """A numbered change with the complete new state of each entry that it sets."""

    number: int
    services: tuple[Service, ...] = ()
    failure_domains: tuple[FailureDomain, ...] = ()
    targets: tuple[Target, ...] = ()
    customers: tuple[Customer, ...] = ()
