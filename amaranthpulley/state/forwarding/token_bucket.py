"""A token bucket whose rate and size may change while it is used."""


class TokenBucket:
    """Tokens for the requests to one leaf.

    Parameters
    ----------
    level : float
        Tokens at the start.
    now_ms : int
        Time of the start.
    """

    def __init__(self, level: float, now_ms: int) -> None:
        self._level = level
        self._refilled_ms = now_ms

    def refill(self, per_s: float, size: float, now_ms: int) -> float:
        """Add the tokens since the last call, up to a size; return the level."""
        passed_s = (now_ms - self._refilled_ms) / 1000
        self._level = min(size, self._level + passed_s * per_s)
        self._refilled_ms = now_ms
        return self._level

    def take(self) -> None:
        """Take a token; the level may become negative."""
        self._level -= 1.0
