"""The machine's own clock."""

import time

from amaranthpulley.state import clock


def system_clock() -> clock.Clock:
    """Return the readings of the operating system, in milliseconds."""
    return clock.Clock(
        monotonic_ms=lambda: int(time.monotonic() * 1000),
        wall_ms=lambda: int(time.time() * 1000),
    )
