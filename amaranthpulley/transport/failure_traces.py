"""Says of every request that went wrong why it did, from the daemons' logs alone."""

import collections
from collections.abc import Callable, Iterable, Iterator
from typing import Final, NamedTuple

from amaranthpulley.state import log_events
from amaranthpulley.transport import timeline

# Decisions that show normal progress and do not explain a failure.
_PROGRESS_DECISIONS: Final = frozenset(
    {"sent", "answered", "unanswered", "budget_spent"}
)
# A delegate ran the request, so that the cause is in its log.
_ANSWERED_ELSEWHERE: Final = frozenset({"delegate_answered", "delegate_silent"})
_REQUEST_EVENTS: Final = frozenset(
    {
        log_events.FORWARD_ENDED.number,
        log_events.FORWARD_REFUSED.number,
        log_events.FORWARD_DECIDED.number,
    }
)


class Decision(NamedTuple):
    """A logged decision about a request."""

    after_ms: int
    decision: str
    service: str
    leaf: str


class Trace(NamedTuple):
    """One client attempt, reconstructed from the logs.

    Attributes
    ----------
    request_id, process : str
        The request and the daemon that served it.
    outcome : str
        How the request ended.
    elapsed_ms : int
        Time from the arrival of the request to its end.
    decisions : tuple of Decision
        The decisions about the request, in order.
    """

    request_id: str
    process: str
    outcome: str
    elapsed_ms: int
    decisions: tuple[Decision, ...]


def read_traces(lines: Iterable[bytes]) -> list[Trace]:
    """Return the traces of all requests in the log lines."""
    merged = timeline.merge(line[max(0, line.find(b"{")) :] for line in lines)
    by_request: dict[tuple[str, str], list[timeline.Event]] = {}
    for event in merged.events:
        if event.number in _REQUEST_EVENTS:
            request_id = dict(event.fields).get("request_id", "")
            by_request.setdefault((request_id, event.process), []).append(event)
    return [_trace(*key, events) for key, events in by_request.items()]


def is_failure(trace: Trace) -> bool:
    """Return whether a request failed, was refused or got a partial answer."""
    return trace.outcome not in ("served", "client_left")


def failure_cause(trace: Trace, traces: Iterable[Trace] = ()) -> str | None:
    """Return why a request failed; None when its log lines do not show it.

    Parameters
    ----------
    traces : iterable of Trace
        Traces of the same request from other daemons.
    """
    if trace.outcome.startswith("refused: "):
        return trace.outcome
    delegates = {d.leaf for d in trace.decisions if d.decision in _ANSWERED_ELSEWHERE}
    for other in traces:
        if other.process in delegates:
            cause = failure_cause(other)
            return f"{cause}, at a delegate" if cause else None
    if delegates:
        return f"{trace.outcome}: without the lines of the delegate"
    by_service: dict[str, list[Decision]] = {}
    for decision in trace.decisions:
        by_service.setdefault(decision.service, []).append(decision)
    failures = [
        _service_failure(decisions)
        for decisions in by_service.values()
        if decisions[-1].decision == "unanswered"
    ]
    if not failures:
        return None
    failure, count = collections.Counter(failures).most_common(1)[0]
    return f"{trace.outcome}: {failure}" if count else None


def _trace(request_id: str, process: str, events: list[timeline.Event]) -> Trace:
    outcome, elapsed_ms = "no end", 0
    decisions = []
    for event in events:
        fields = dict(event.fields)
        if event.number == log_events.FORWARD_DECIDED.number:
            after_ms = int(fields["after_ms"])
            details = (fields["decision"], fields["service"], fields["detail"])
            decisions.append(Decision(after_ms, *details))
        elif event.number == log_events.FORWARD_REFUSED.number:
            outcome = f"refused: {fields['reason']}"
        else:
            outcome, elapsed_ms = fields["outcome"], int(fields["elapsed_ms"])
    return Trace(request_id, process, outcome, elapsed_ms, tuple(decisions))


def _service_failure(decisions: list[Decision]) -> str:
    """Return why a service gave no answer: its last failure, or a silent leaf."""
    for decision in reversed(decisions):
        if decision.decision not in _PROGRESS_DECISIONS:
            return decision.decision
    if any(decision.decision == "budget_spent" for decision in decisions):
        return "leaf silent, budget of repeats spent"
    return "leaf silent"


def _sample(traces: list[Trace], count: int) -> Iterator[Trace]:
    step = max(1, len(traces) // count)
    yield from traces[::step][:count]


def _lines_of(trace: Trace) -> Iterator[str]:
    for d in trace.decisions:
        yield f"  {d.after_ms:>6} ms  {d.decision} {d.service} {d.leaf}".rstrip()
    yield f"  {trace.elapsed_ms:>6} ms  ended {trace.outcome} on {trace.process}"


def show_request(
    files: list[str], request_id: str, show: Callable[[str], None]
) -> bool:
    """Show the lines of one request and its cause; return whether there are any."""
    traces = read_traces(timeline.read_logs(files))
    found = [trace for trace in traces if trace.request_id == request_id]
    for trace in found:
        for line in _lines_of(trace):
            show(line)
        show(f"cause: {failure_cause(trace, found)}")
    return bool(found)


def show_causes(
    files: list[str], sample_count: int, show: Callable[[str], None]
) -> bool:
    """Count the causes, the most frequent first; return whether all have one.

    Parameters
    ----------
    files : list of str
        Logs of daemons; other text before a line's JSON is passed over.
    sample_count : int
        Number of requests that are shown with their causes, evenly spread.
    show : callable
        Called with each line.
    """
    traces = read_traces(timeline.read_logs(files))
    failed = [trace for trace in traces if is_failure(trace)]
    by_request = collections.defaultdict(list)
    for trace in traces:
        by_request[trace.request_id].append(trace)

    def cause_of(trace: Trace) -> str | None:
        return failure_cause(trace, by_request[trace.request_id])

    if sample_count:
        for trace in _sample(failed, sample_count):
            show(f"{trace.request_id} {trace.process}: {cause_of(trace)}")
    causes = collections.Counter(cause_of(trace) for trace in failed)
    for cause, number in causes.most_common():
        show(f"{number:>6}  {cause or 'not traced'}")
    traced = len(failed) - causes[None]
    show(f"{traced} of {len(failed)} requests that went wrong have a cause")
    return traced == len(failed)
