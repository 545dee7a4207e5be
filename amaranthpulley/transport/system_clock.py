"""The clock of the operating system."""

import time

from amaranthpulley.state import clock


def system_clock() -> clock.Clock:
    """Return a clock that reads the operating system's monotonic and wall time."""
    return clock.Clock(
        monotonic_ms=lambda: int(time.monotonic() * 1000),
        wall_ms=lambda: int(time.time() * 1000),
    )
