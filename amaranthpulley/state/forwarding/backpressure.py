"""What a leaf has asked of this daemon in its answers."""

import math
from typing import Final

from amaranthpulley.state.forwarding import token_bucket

# Daemons return after a pause within this share of it, and within this time.
SPREAD_SHARE: Final = 0.25
LONGEST_SPREAD_MS: Final = 500


class Backpressure:
    """Demands of one start of a leaf that are in force.

    Parameters
    ----------
    phase : float
        Position of this daemon among all, from 0 to 1. Limits start with so many
        tokens, and daemons return after a pause at different times.

    Attributes
    ----------
    limit_per_s : float or None
        Requests a second that the leaf takes from all daemons together.
    limit_tokens : TokenBucket or None
        This daemon's requests within the limit; None without a limit.
    leaving_since_ms : int or None
        When the leaf first said that it leaves. A leaf that leaves does not stay, so
        that this holds until its next start.
    paused_until_ms : int
        Until when the leaf wants no requests; 0 before the first pause.
    return_concurrency : int or None
        Requests at once while this daemon returns after a pause; None when it has.
    """

    def __init__(self, phase: float) -> None:
        self._phase = phase
        self.limit_per_s: float | None = None
        self.limit_tokens: token_bucket.TokenBucket | None = None
        self.leaving_since_ms: int | None = None
        self.paused_until_ms = 0
        self.return_concurrency: int | None = None

    @property
    def outlasts_entry(self) -> bool:
        """Whether it must be kept when the leaf's entry is gone for a while."""
        return (
            self.leaving_since_ms is not None
            or self.limit_per_s is not None
            or self.return_concurrency is not None
        )

    def set_limit(self, per_s: float | None, now_ms: int) -> None:
        """Set or end the limit."""
        self.limit_per_s = per_s
        if per_s is None:
            self.limit_tokens = None
        elif self.limit_tokens is None:
            self.limit_tokens = token_bucket.TokenBucket(self._phase, now_ms)

    def pause(self, pause_ms: int, now_ms: int) -> None:
        """Start a pause, or extend it; a later demand does not shorten it."""
        spread_ms = min(LONGEST_SPREAD_MS, pause_ms * SPREAD_SHARE)
        until_ms = now_ms + pause_ms + math.ceil(self._phase * spread_ms)
        self.paused_until_ms = max(self.paused_until_ms, until_ms)
        self.return_concurrency = 1

    def step_up(self, full_concurrency: int) -> None:
        """Allow twice as many requests at once, after one was answered."""
        if self.return_concurrency is not None:
            doubled = 2 * self.return_concurrency
            self.return_concurrency = doubled if doubled < full_concurrency else None
