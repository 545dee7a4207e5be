"""Token budgets, which limit extra work to a share of the regular work."""


class TokenBudget:
    """Tokens that are earned in fractions and spent one at a time.

    Parameters
    ----------
    capacity : float
        Maximum number of tokens; the budget starts full.
    """

    def __init__(self, capacity: float) -> None:
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """The tokens that are left."""
        return self._tokens

    def earn(self, amount: float) -> None:
        """Add tokens up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + amount)

    def spend(self) -> bool:
        """Take one token; return False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
