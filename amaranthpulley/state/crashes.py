"""What a daemon knows of targets that died and of the requests that ran there."""

from typing import Final, NamedTuple

MAXIMUM_ANSWERED: Final = 4_096


class RequestContent(NamedTuple):
    """What is the same each time a request is sent."""

    service: str
    text: str
    key: str


class RunningAttempt(NamedTuple):
    """A request at a target, forgotten when its end is not reported in time."""

    content: RequestContent
    target: str
    sent_ms: int
    expires_ms: int


class CrashTable:
    """Requests at targets, requests that were lost there, and those under suspicion.

    Attributes
    ----------
    lost : dict of str to dict of str to int
        By target the fingerprints whose connection was lost, with the time of it.
    boots : dict of str to str
        The boot id that each target last reported.
    suspected : dict of str to set of str
        By fingerprint the deaths that it may have caused.
    refused : frozenset of str
        Fingerprints of requests that are not taken on.
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
        """Enter an attempt that is being sent."""
        self._running[attempt_id] = running
        oldest = next(iter(self._running))
        while self._running[oldest].expires_ms < now_ms:
            del self._running[oldest]
            oldest = next(iter(self._running))

    def end_running(self, attempt_id: str) -> RunningAttempt | None:
        """Take an attempt out; None when it was already over."""
        return self._running.pop(attempt_id, None)

    def record_answer(self, content: RequestContent, now_ms: int) -> None:
        """Remember that a target has run a request without dying."""
        self._answered_ms.pop(content, None)
        self._answered_ms[content] = now_ms
        if len(self._answered_ms) > MAXIMUM_ANSWERED:
            del self._answered_ms[next(iter(self._answered_ms))]

    def is_cleared(self, running: RunningAttempt) -> bool:
        """Tell whether another target has answered the request since it was sent."""
        answered_ms = self._answered_ms.get(running.content)
        return answered_ms is not None and answered_ms >= running.sent_ms

    def running_at(self, target: str) -> list[RequestContent]:
        """Return what runs at a target and was not answered elsewhere meanwhile."""
        return [
            running.content
            for running in self._running.values()
            if running.target == target and not self.is_cleared(running)
        ]

    def discard_lost(self, fingerprint: str) -> None:
        """Drop a request from those that were lost."""
        for lost in self.lost.values():
            lost.pop(fingerprint, None)
