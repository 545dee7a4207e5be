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

    def refill_one(self, per_s: float, valid_s: float, now_ms: int) -> bool:
        """Add the tokens since the last call; return whether there is one to take.

        One is kept at most, and it lapses when it was not taken in time. Buckets with
        different levels at the start thus give their tokens at different moments, also
        after a time in which none was taken.
        """
        self._level += (now_ms - self._refilled_ms) / 1000 * per_s
        self._refilled_ms = now_ms
        if per_s <= 0.0 or self._level < 1.0:
            return False
        self._level = 1.0 + self._level % 1.0
        return self._level - 1.0 <= valid_s * per_s

    def take(self) -> None:
        """Take a token; the level may become negative."""
        self._level -= 1.0
