"""Budgets that keep extra work in proportion to the work that earns it."""


class TokenBudget:
    """Tokens that are earned in fractions and spent one at a time.

    Parameters
    ----------
    capacity : float
        Most tokens that are kept; the budget begins with as many.
    """

    def __init__(self, capacity: float) -> None:
        self._capacity = capacity
        self._tokens = capacity

    @property
    def tokens(self) -> float:
        """What is left."""
        return self._tokens

    def earn(self, amount: float) -> None:
        """Add to the budget up to its capacity."""
        self._tokens = min(self._capacity, self._tokens + amount)

    def spend(self) -> bool:
        """Take one token; return False when there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
