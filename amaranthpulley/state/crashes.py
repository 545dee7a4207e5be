"""Crashes of targets, and the requests that may have caused them."""

from typing import Final, NamedTuple

MAXIMUM_ANSWERED: Final = 4_096


class RequestContent(NamedTuple):
    """The content of a request, equal for each attempt and repetition of it."""

    service: str
    text: str
    key: str


class RunningAttempt(NamedTuple):
    """An attempt at a target; dropped at `expires_ms` if its end is not reported."""

    content: RequestContent
    target: str
    sent_ms: int
    expires_ms: int


class CrashTable:
    """Running attempts, attempts with lost connections, and suspected requests.

    Attributes
    ----------
    lost : dict of str to dict of str to int
        By target and fingerprint, when the connection of a running request was lost.
    boot_ids : dict of str to str
        The boot id that each target last reported.
    suspected : dict of str to set of str
        By fingerprint, the crashes that the request may have caused.
    refused : frozenset of str
        Fingerprints of the requests that are refused.
    window_start_ms, published_in_window : int
        Start of the current window of the publication limit, and the suspicions
        published in it.
    """

    def __init__(self) -> None:
        self.lost: dict[str, dict[str, int]] = {}
        self.boot_ids: dict[str, str] = {}
        self.suspected: dict[str, set[str]] = {}
        self.refused: frozenset[str] = frozenset()
        self.window_start_ms = 0
        self.published_in_window = 0
        self._running: dict[str, RunningAttempt] = {}
        self._answered_ms: dict[RequestContent, int] = {}

    def add_running(
        self, attempt_id: str, running: RunningAttempt, now_ms: int
    ) -> None:
        """Record an attempt that is being sent; drop the expired ones."""
        self._running[attempt_id] = running
        oldest = next(iter(self._running))
        while self._running[oldest].expires_ms < now_ms:
            del self._running[oldest]
            oldest = next(iter(self._running))

    def end_running(self, attempt_id: str) -> RunningAttempt | None:
        """Remove and return an attempt; None when it has already ended."""
        return self._running.pop(attempt_id, None)

    def record_answer(self, content: RequestContent, now_ms: int) -> None:
        """Record that a target has run a request without crashing."""
        self._answered_ms.pop(content, None)
        self._answered_ms[content] = now_ms
        if len(self._answered_ms) > MAXIMUM_ANSWERED:
            del self._answered_ms[next(iter(self._answered_ms))]

    def is_cleared(self, running: RunningAttempt) -> bool:
        """Return whether a target has answered the request since the attempt began."""
        answered_ms = self._answered_ms.get(running.content)
        return answered_ms is not None and answered_ms >= running.sent_ms

    def running_at(self, target: str) -> list[RequestContent]:
        """Return the requests running at a target that are not answered elsewhere."""
        return [
            running.content
            for running in self._running.values()
            if running.target == target and not self.is_cleared(running)
        ]

    def discard_lost(self, fingerprint: str) -> None:
        """Remove a request from `lost` for all targets."""
        for lost in self.lost.values():
            lost.pop(fingerprint, None)
