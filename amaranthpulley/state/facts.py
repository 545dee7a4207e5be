"""Small facts that daemons tell each other, such as a target's restart.

A fact is identified by its kind and subject. Of two values for the same fact the
greater one wins, so that the order of arrival does not matter.
"""

import enum
from typing import NamedTuple


class FactKind(enum.StrEnum):
    """What a fact is about."""

    TARGET_COLD = "target_cold"
    TARGET_LEAVING = "target_leaving"
    CRASH_COUNT = "crash_count"
    VM_LEAVING = "vm_leaving"


class Fact(NamedTuple):
    """One fact.

    Attributes
    ----------
    kind : FactKind
        What it is about.
    subject : str
        Whom it is about, for example the name of a target.
    value : int
        Grows with each newer state of the fact.
    detail : str
        What else there is to say, for example a boot id.
    """

    kind: FactKind
    subject: str
    value: int
    detail: str = ""


class FactTable:
    """The facts that have not expired."""

    def __init__(self) -> None:
        self._facts: dict[tuple[FactKind, str], tuple[Fact, int]] = {}

    def publish(self, fact: Fact, expires_ms: int) -> bool:
        """Enter a fact; return whether it is news.

        Parameters
        ----------
        fact : Fact
            What is known.
        expires_ms : int
            Reading of the own monotonic clock after which it is forgotten.
        """
        key = fact.kind, fact.subject
        known = self._facts.get(key)
        if known is not None and known[0].value >= fact.value:
            return False
        self._facts[key] = fact, expires_ms
        return True

    def get(self, kind: FactKind, subject: str, now_ms: int) -> Fact | None:
        """Return a fact, or None when it is not known or has expired."""
        fact, expires_ms = self._facts.get((kind, subject), (None, 0))
        return fact if fact is not None and now_ms < expires_ms else None

    def current(self, now_ms: int) -> list[tuple[Fact, int]]:
        """Return the facts with the milliseconds that each one is still valid."""
        self._facts = {
            key: entry for key, entry in self._facts.items() if entry[1] > now_ms
        }
        return [(fact, expires - now_ms) for fact, expires in self._facts.values()]
