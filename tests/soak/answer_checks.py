"""Checks of the guarantees to callers, on each answer and on what leaves ran."""

import collections
import threading
from typing import Final

import urllib3

from amaranthpulley.platform.tests import wire_samples

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
DEADLINE_MS: Final = 1_000
# Clients stop waiting for an answer this long after the deadline.
ANSWER_GRACE_S: Final = 1.0


class AnswerChecker:
    """Sends requests and records the answers and violated guarantees."""

    def __init__(self, leaf_ids: dict[str, str]) -> None:
        self._services = leaf_ids
        self._lock = threading.Lock()
        self.violations: list[str] = []
        self.statuses: collections.Counter[str] = collections.Counter()
        # Statuses of visits, which must run at most once, by request ID.
        self.visits: dict[str, int | None] = {}

    def send_request(
        self, http: urllib3.PoolManager, front: str, kind: str, name: str
    ) -> str:
        """Send a request, check its answer, and return its status or error."""
        headers = {
            "Host": wire_samples.HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        method, path = ("GET", "/wide/1") if kind == "wide" else ("POST", "/visit/1")
        body = None if kind == "wide" else name.encode()
        timeout = DEADLINE_MS / 1000 + ANSWER_GRACE_S
        try:
            answer = http.request(
                method,
                f"http://{front}{path}",
                headers=headers,
                body=body,
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as error:
            return self._record(kind, name, None, type(error).__name__)
        if answer.status == 200:
            violation = self._find_violation(kind, name, answer)
            if violation:
                self.add_violation(f"{kind} {name}: {violation}")
        return self._record(kind, name, answer.status, str(answer.status))

    def add_violation(self, description: str) -> None:
        """Record that a guarantee was violated."""
        with self._lock:
            self.violations.append(description)

    def check_runs(self, runs: collections.Counter[str]) -> None:
        """Check how often each visit ran against the status that its caller got."""
        for name, status in self.visits.items():
            if runs[name] > 1:
                self.add_violation(f"visit {name} ran {runs[name]} times")
            if status in NOT_RUN_STATUSES and runs[name]:
                self.add_violation(
                    f"visit {name} ran, although status {status} means not run"
                )

    def _record(self, kind: str, name: str, status: int | None, result: str) -> str:
        with self._lock:
            self.statuses[f"{kind} {result}"] += 1
            if kind == "visit":
                self.visits[name] = status
        return result

    def _find_violation(
        self, kind: str, name: str, answer: urllib3.BaseHTTPResponse
    ) -> str | None:
        if kind == "visit":
            content = answer.json()
            expected = wire_samples.signature_of(content["leaf"], name)
            if content["body"] != name:
                return f"another request's answer: {content}"
            if answer.headers.get("X-Response-Stamp") != expected:
                return "the signature is not the leaf's"
            return None
        by_signature = {
            wire_samples.signature_of(leaf_id, name): leaf_id
            for leaf_id in self._services
        }
        signatures = answer.headers["X-Part-Stamps"].split(", ")
        if not set(signatures) <= set(by_signature):
            return "a part does not answer this request"
        leaves = [by_signature[signature] for signature in signatures]
        services = {self._services[leaf_id] for leaf_id in leaves}
        if len(services) != len(leaves):
            return "two parts of one shard"
        missing = int(answer.headers["X-Missing-Parts"])
        if len(leaves) + missing != len(wire_samples.SHARDS):
            return f"{len(leaves)} parts and {missing} missing"
        records = [r for leaf in leaves for r in wire_samples.records_of(leaf, name)]
        if answer.data != b"".join(sorted(records, reverse=True)[:5]):
            return "not the greatest records of its parts"
        return None
