"""What a leaf has asked of this daemon in its answers."""

from amaranthpulley.state.forwarding import token_bucket


class Backpressure:
    """Demands of one start of a leaf that are in force.

    Parameters
    ----------
    phase : float
        Tokens with which the first limit starts, from 0 to 1; differs between daemons.

    Attributes
    ----------
    limit_per_s : float or None
        Requests a second that the leaf takes from all daemons together.
    limit_tokens : TokenBucket or None
        This daemon's requests within the limit; None before the first limit.
    leaving_since_ms : int or None
        When the leaf first said that it leaves. A leaf that leaves does not stay, so
        that this holds until its next start.
    """

    def __init__(self, phase: float) -> None:
        self._phase = phase
        self.limit_per_s: float | None = None
        self.limit_tokens: token_bucket.TokenBucket | None = None
        self.leaving_since_ms: int | None = None

    @property
    def outlasts_entry(self) -> bool:
        """Whether it must be kept when the leaf's entry is gone for a while."""
        return self.leaving_since_ms is not None or self.limit_per_s is not None

    def set_limit(self, per_s: float | None, now_ms: int) -> None:
        """Set or end the limit."""
        self.limit_per_s = per_s
        if per_s is not None and self.limit_tokens is None:
            self.limit_tokens = token_bucket.TokenBucket(self._phase, now_ms)
