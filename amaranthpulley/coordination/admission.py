"""Admission control: whether the daemon accepts a request."""

from typing import NamedTuple

from amaranthpulley.coordination.accounts import request_journal
from amaranthpulley.coordination.searches import crash_attribution
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import requests
from amaranthpulley.state.control import topology


class Admitted(NamedTuple):
    """The settings and deadlines of an accepted request.

    Attributes
    ----------
    service : Service
        The service's settings.
    deadline_ms : int
        Reading of the monotonic clock by which the request should be answered.
    hard_deadline_ms : int
        The latest reading for the answer; later than the deadline only for a search
        of a service whose time gives way to coverage.
    """

    service: topology.Service
    deadline_ms: int
    hard_deadline_ms: int


def admit(
    daemon: daemon_state.Daemon,
    request: requests.SearchRequest | requests.OrderRequest,
    kind: topology.ServiceKind,
    now_ms: int,
) -> Admitted | requests.Refusal:
    """Accept a request, or refuse it before any part of it has run.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    request : SearchRequest or OrderRequest
        The caller's request.
    kind : ServiceKind
        The kind of service that can answer it.
    now_ms : int
        Reading of the monotonic clock, in milliseconds.
    """
    codes = requests.RefusalCode
    service = daemon.configuration.service(request.service)
    if daemon.draining or request_journal.refuses_requests(daemon):
        return _refuse_all(daemon)
    if service is None:
        return _refuse_unknown(daemon, request.service)
    if service.kind is not kind:
        return _refusal(
            codes.WRONG_KIND,
            f"service {service.name!r} takes {service.kind.value} requests only",
        )
    if crash_attribution.refuses(daemon, request):
        return _refusal(codes.CRASHES_TARGETS, "each target that ran it has crashed")
    if request.deadline_ms is not None and request.deadline_ms <= 0:
        return _refusal(codes.DEADLINE_PASSED, "the deadline had passed on arrival")
    if _is_overloaded(daemon, now_ms):
        return _refusal(codes.OVERLOADED, "too many requests at once; try again later")
    return _admitted(service, request.deadline_ms, now_ms)


def _admitted(
    service: topology.Service, requested_ms: int | None, now_ms: int
) -> Admitted:
    hard_ms = min(requested_ms or service.hard_deadline_ms, service.hard_deadline_ms)
    # A caller may extend the service's deadline, up to its hard deadline.
    soft_ms = min(requested_ms or service.deadline_ms, hard_ms)
    if service.give_way is topology.GiveWay.COVERAGE:
        hard_ms = soft_ms
    return Admitted(service, now_ms + soft_ms, now_ms + hard_ms)


def _is_overloaded(daemon: daemon_state.Daemon, now_ms: int) -> bool:
    # Heartbeats and lease renewals run on the same loop: more requests than it can
    # process would delay them until the peers consider this daemon dead.
    limits = daemon.limits
    late_ms = daemon.lateness.recent_ms(now_ms)
    if late_ms > limits.maximum_lateness_ms:
        daemon.counters.add("requests_refused_late_total")
        return True
    return daemon.requests_in_progress >= limits.maximum_requests_in_progress


def _refuse_unknown(daemon: daemon_state.Daemon, name: str) -> requests.Refusal:
    codes = requests.RefusalCode
    if daemon.configuration.suspended:
        # The service may be in a ticket that this daemon has not read yet.
        return _refusal(codes.NOT_READY, "send the request to another VM")
    return _refusal(
        codes.UNKNOWN_SERVICE, f"no service {name!r} is configured; check the name"
    )


def _refuse_all(daemon: daemon_state.Daemon) -> requests.Refusal:
    codes = requests.RefusalCode
    if daemon.draining:
        return _refusal(codes.SHUTTING_DOWN, "send the request to another VM")
    return _refusal(codes.STORE_UNAVAILABLE, "no record can be kept; try again later")


def _refusal(code: requests.RefusalCode, message: str) -> requests.Refusal:
    return requests.Refusal(code, message, not_run=True)
