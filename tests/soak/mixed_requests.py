"""Requests of every kind that the users' pages allow, and checks of their answers."""

import collections
import random
import threading
from typing import Final, NamedTuple

from amaranthpulley.platform.tests import wire_samples
from tests.soak import wire_client

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
DEADLINE_MS: Final = 1_000
# So many requests may be denied though they are proper, and one in so many more.
DENIALS: Final = 5
REQUESTS_PER_DENIAL: Final = 500
# Later than the recovery time, a quarter of a kind has to be served.
SERVED_SHARE: Final = 0.25

# Method, path and kind of route.
KINDS: Final = (
    ("GET", "/wide/1", "sharded"),
    ("HEAD", "/wide/1", "sharded"),
    ("GET", "/visit/page/today", "idempotent"),
    ("HEAD", "/visit/page/today", "idempotent"),
    ("POST", "/visit/page/today", "idempotent"),
    ("POST", "/visit/order", "once"),
    ("POST", "/visit/order", "once"),
    ("POST", "/visit/order", "once"),
    ("GET", "/visit/order", "once"),
    ("HEAD", "/visit/order", "once"),
    ("GET", "/nowhere/1", "none"),
    ("HEAD", "/nowhere/1", "none"),
)
# Of all requests, this share has a body that no configuration allows.
OVERSIZED_SHARE: Final = 0.02
# A daemon may close so many connections while an answer is due.
LOSSES: Final = 3


class MixedRequest(NamedTuple):
    """A request.

    Attributes
    ----------
    name : str
        Its identifier.
    kind : str
        "sharded", "idempotent", "once" (may run once), "none" (no route) or
        "oversized".
    body : bytes
        The body of a POST request.
    """

    name: str
    method: str
    path: str
    kind: str
    body: bytes
    upgrades: bool

    def encode(self) -> bytes:
        """Return the request as it is sent."""
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {wire_samples.HOST}",
            f"X-Request-Id: {self.name}",
            f"X-Deadline-Ms: {DEADLINE_MS}",
        ]
        if self.upgrades:
            lines += ["Connection: Upgrade", "Upgrade: h2c"]
        if self.method == "POST":
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join((*lines, "", "")).encode() + self.body


def draw(rng: random.Random, name: str, limits: tuple[int, ...]) -> MixedRequest:
    """Return a request whose body is within the lowest limit or over the highest."""
    if rng.random() < OVERSIZED_SHARE:
        body = b"x" * (max(limits) + 1)
        return MixedRequest(name, "POST", "/visit/order", "oversized", body, False)
    body_bytes = min(limits)
    method, path, kind = rng.choice(KINDS)
    size = rng.choice((1, 200, body_bytes - 1, body_bytes)) if method == "POST" else 0
    upgrades = method != "POST" and rng.random() < 0.1
    return MixedRequest(name, method, path, kind, b"x" * size, upgrades)


class MixedChecker:
    """Answers to requests, and what broke a rule.

    Parameters
    ----------
    leaf_ids : tuple of str
        Identities of all leaves.
    """

    def __init__(self, leaf_ids: tuple[str, ...]) -> None:
        self._leaf_ids = leaf_ids
        self._lock = threading.Lock()
        self.violations: list[str] = []
        self.statuses: collections.Counter[str] = collections.Counter()
        # Statuses with which proper requests were denied.
        self.denied: collections.Counter[int] = collections.Counter()
        # Connections that were closed while an answer was due.
        self.lost = 0
        # Status of each request that may run once, None without an answer.
        self.once: dict[str, int | None] = {}

    def exchange(
        self, client: wire_client.WireClient, asked: list[MixedRequest]
    ) -> list[int | None]:
        """Send requests in one piece and check their answers; return the statuses.

        Raises
        ------
        EndedError
            When the connection has ended.
        """
        try:
            surplus = client.surplus()
            if surplus:
                raise wire_client.WireError(f"{surplus[:60]!r} though nothing is due")
            client.send(b"".join(request.encode() for request in asked))
            return [self._read(client, request) for request in asked]
        except wire_client.LostError:
            with self._lock:
                self.lost += 1
            raise
        except wire_client.WireError as error:
            self.add_violation(f"MIXED: {asked[0].name}: {error}")
            raise wire_client.EndedError("broken") from error
        finally:
            with self._lock:
                for request in asked:
                    if request.kind == "once":
                        self.once.setdefault(request.name, None)

    def add_violation(self, description: str) -> None:
        """Record what broke a rule."""
        with self._lock:
            self.violations.append(description)

    def _read(
        self, client: wire_client.WireClient, request: MixedRequest
    ) -> int | None:
        answer = client.read_answer(request.method)
        with self._lock:
            self.statuses[f"{request.kind} {request.method} {answer.status}"] += 1
            if request.kind == "once":
                self.once[request.name] = answer.status
            if 300 <= answer.status < 500 and answer.status not in NOT_RUN_STATUSES:
                if request.kind not in ("none", "oversized"):
                    self.denied[answer.status] += 1
        if request.kind == "oversized" and answer.status != 413:
            self.add_violation(f"LIMIT: {request.name} got {answer.status}")
        named = answer.headers.get("x-request-id", request.name)
        if named != request.name:
            self.add_violation(f"MIXED: {request.name} got the answer to {named}")
        signature = answer.headers.get("x-response-stamp")
        if signature is not None or (
            answer.status == 200 and request.kind != "sharded"
        ):
            expected = {
                wire_samples.signature_of(leaf_id, request.name)
                for leaf_id in self._leaf_ids
            }
            if signature not in expected:
                self.add_violation(f"MIXED: {request.name}: signature {signature}")
        return answer.status

    def check_runs(self, runs: collections.Counter[str]) -> None:
        """Check how often each request that may run once did."""
        for name, status in self.once.items():
            if runs[name] > 1:
                self.add_violation(f"TWICE: {name} ran {runs[name]} times")
            if status in NOT_RUN_STATUSES and runs[name]:
                self.add_violation(f"REFUSED: {name} ran and got {status}")

    def check_counts(self) -> None:
        """Check how many proper requests were denied or lost."""
        if self.lost > LOSSES:
            self.add_violation(f"LOST: {self.lost} times")
        allowed = DENIALS + sum(self.statuses.values()) / REQUESTS_PER_DENIAL
        if self.denied.total() > allowed:
            self.add_violation(f"DENIED: {dict(self.denied)}, allowed {allowed:.1f}")
