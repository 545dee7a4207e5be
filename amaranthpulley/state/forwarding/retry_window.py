"""Counts requests and repeats in a sliding window.

A repeat is a send beyond the first of a request: a retry or a hedge.
"""

from typing import Final

SLOTS: Final = 20


class RetryWindow:
    """Numbers of requests and repeats of a service in a sliding window.

    Parameters
    ----------
    window_ms : int
        Length of the sliding window, in milliseconds.
    """

    def __init__(self, window_ms: int) -> None:
        self._slot_ms = max(1, window_ms // SLOTS)
        # Slot number, requests and repeats. One slot more than the window is long is
        # kept, so that a whole window is always covered.
        self._slots: list[list[int]] = []
        self._requests = 0
        self._repeats = 0

    def add_request(self, now_ms: int) -> None:
        """Count a request."""
        self._slot(now_ms)[1] += 1
        self._requests += 1

    def add_repeat(self, now_ms: int) -> None:
        """Count a retry or a hedge."""
        self._slot(now_ms)[2] += 1
        self._repeats += 1

    def totals(self, now_ms: int) -> tuple[int, int]:
        """Return the numbers of requests and repeats in the window."""
        self._drop_before(now_ms // self._slot_ms)
        return self._requests, self._repeats

    def _slot(self, now_ms: int) -> list[int]:
        number = now_ms // self._slot_ms
        self._drop_before(number)
        if not self._slots or self._slots[-1][0] != number:
            self._slots.append([number, 0, 0])
        return self._slots[-1]

    def _drop_before(self, number: int) -> None:
        while self._slots and self._slots[0][0] < number - SLOTS:
            _, requests, repeats = self._slots.pop(0)
            self._requests -= requests
            self._repeats -= repeats
