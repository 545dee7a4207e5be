"""Steps for forwarded requests, the leaves and the platform's store."""

import atexit
import itertools
import json
import time
from typing import Final

import behave
import urllib3
from behave import runner

from amaranthpulley.platform.tests import wire_samples
from tests.soak import soak_site

DEADLINE_MS: Final = 1_000
CLIENT_TIMEOUT_S: Final = 5
DAEMONS: Final = 2
# Close to the deadline, so that shards delayed on a busy machine are waited for.
TARGET_LATENCY_MS: Final = 900
POLL_S: Final = 0.05
MODES: Final = {
    "works as usual": "answer",
    "stays silent": "silent",
    "resets the connection": "reset",
    "rejects the request": "reject",
    "fails": "fail",
    "breaks its answer off": "cut",
    "stops in its answer's head": "head",
    "sends an answer without end": "endless",
    "sends bytes that are no answer": "garble",
    "answers twice": "extra",
    "repeats an earlier answer first": "late",
    "gives its answer no length": "unframed",
}
# Status of the store's answer to every call; None: as usual, 0: no answer.
STORE_FAULTS: Final = {
    "works as usual": None,
    "refuses every call": 503,
    "is too busy for any call": 429,
    "stays silent": 0,
}
RUNS: Final = {"never": 0, "once": 1}

_numbers = itertools.count(1)
_shared: list[soak_site.SoakSite] = []


class ForwardingSubject:
    """A site, and the requests and answers of a client."""

    def __init__(self, site: soak_site.SoakSite) -> None:
        self.site = site
        self.request_ids: list[str] = []
        self.answers: list[urllib3.BaseHTTPResponse] = []
        self.prefix = ""
        self._http = urllib3.PoolManager(retries=False, timeout=CLIENT_TIMEOUT_S)

    def send(self, method: str, path: str, daemon: int = 0) -> None:
        """Send a request to a daemon and store the answer."""
        request_id = f"contract-{next(_numbers)}"
        headers = {
            "Host": wire_samples.HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        front = self.site.daemons[daemon].front
        answer = self._http.request(method, f"http://{front}{path}", headers=headers)
        self.request_ids.append(request_id)
        self.answers.append(answer)

    def leaf(self, leaf_id: str) -> soak_site.Leaf:
        """Return a leaf by its identity."""
        return next(leaf for leaf in self.site.leaves if leaf.leaf_id == leaf_id)

    def runs(self) -> int:
        """Return how often the last request ran, on all leaves of its service."""
        leaves = [leaf for leaf in self.site.leaves if leaf.service == "visits"]
        runs_by_leaf = [self.site.control_leaf(leaf) for leaf in leaves]
        return sum(runs.get(self.request_ids[-1], 0) for runs in runs_by_leaf)

    def restore(self) -> None:
        """Restore normal operation of the store and the leaves, and their entries."""
        self.site.control_store(failing=None)
        for leaf in self.site.leaves:
            self.site.control_leaf(leaf, mode="answer")
            self.site.register(leaf)
        self.site.control_store(delete="servers/stranger")


def _shared_site() -> soak_site.SoakSite:
    if not _shared:
        site = soak_site.SoakSite(DAEMONS, copies=2)
        site.configure(TargetLatencyMs=TARGET_LATENCY_MS)
        _shared.append(site)
        atexit.register(_shared[0].close)
    return _shared[0]


@behave.given("a forwarding site")
def _start(context: runner.Context) -> None:
    context.subject = ForwardingSubject(_shared_site())
    context.add_cleanup(context.subject.restore)


@behave.when('the leaf "{leaf_id}" {fault}')
def _set_leaf_mode(context: runner.Context, leaf_id: str, fault: str) -> None:
    subject = context.subject
    subject.site.control_leaf(subject.leaf(leaf_id), mode=MODES[fault])


@behave.when("the store forgets its history")
def _drop_history(context: runner.Context) -> None:
    context.subject.site.control_store(drop_history=True)


@behave.when("the store {fault}")
def _set_store_fault(context: runner.Context, fault: str) -> None:
    context.subject.site.control_store(failing=STORE_FAULTS[fault])


@behave.when('another writer puts {value} at "{key}"')
def _write_unreadable_item(context: runner.Context, value: str, key: str) -> None:
    context.subject.site.control_store(put=key, value=json.loads(value))


@behave.when("a client searches {count:d} times")
def _search(context: runner.Context, count: int) -> None:
    for _ in range(count):
        context.subject.send("GET", "/wide/1")


@behave.when("a client sends a visit")
def _visit(context: runner.Context) -> None:
    context.subject.send("POST", "/visit/1")


@behave.when("a new version of the configuration is written")
def _configure(context: runner.Context) -> None:
    site = context.subject.site
    context.subject.prefix = site.configure(TargetLatencyMs=TARGET_LATENCY_MS)


@behave.then("it is in force on every daemon within {seconds:d} seconds")
def _check_in_force(context: runner.Context, seconds: int) -> None:
    subject = context.subject
    end = time.monotonic() + seconds
    for number in range(DAEMONS):
        while True:
            subject.send("GET", f"{subject.prefix}1", number)
            if subject.answers[-1].status == 200:
                break
            assert time.monotonic() < end, subject.answers[-1].data
            time.sleep(POLL_S)


@behave.then("every answer holds the greatest records of the parts that it names")
def _check_records(context: runner.Context) -> None:
    subject = context.subject
    leaf_ids = [leaf.leaf_id for leaf in subject.site.leaves]
    for request_id, answer in zip(subject.request_ids, subject.answers, strict=True):
        signed = {
            wire_samples.signature_of(leaf, request_id): leaf for leaf in leaf_ids
        }
        parts = [signed[s] for s in answer.headers["X-Part-Stamps"].split(", ")]
        services = {leaf_id.rpartition("-")[0] for leaf_id in parts}
        assert len(services) == len(parts), parts
        records = [
            r for part in parts for r in wire_samples.records_of(part, request_id)
        ]
        greatest = sorted(records, reverse=True)[: wire_samples.route()["TopK"]]
        assert answer.data == b"".join(greatest), request_id


@behave.then("no answer misses a shard")
def _check_whole(context: runner.Context) -> None:
    _check_missing(context, 0)


@behave.then("every answer misses {count:d} shard")
def _check_missing(context: runner.Context, count: int) -> None:
    for answer in context.subject.answers:
        assert answer.status == 200, (answer.status, answer.data)
        assert answer.headers["X-Missing-Parts"] == str(count), answer.headers


@behave.then("the status is {status:d}")
def _check_status(context: runner.Context, status: int) -> None:
    answer = context.subject.answers[-1]
    assert answer.status == status, (answer.status, answer.data)


@behave.then("the visit ran {times}")
def _check_runs(context: runner.Context, times: str) -> None:
    assert context.subject.runs() == RUNS[times]


@behave.when("{seconds:d} seconds pass")
def _wait(context: runner.Context, seconds: int) -> None:
    time.sleep(seconds)
