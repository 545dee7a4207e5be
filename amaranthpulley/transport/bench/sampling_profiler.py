"""A sampling profiler for one thread with many green threads.

The deterministic profiler of the standard library tracks one call stack and gives wrong
results when green threads switch. Sampling the running stack avoids this.
"""

import collections
import contextlib
import pathlib
import signal
import types
from collections.abc import Iterator
from typing import Final

INTERVAL_SECONDS: Final = 0.001


class Profile:
    """Sample counts of the running code, by module and by function.

    Attributes
    ----------
    samples : int
        Number of samples; each stands for `INTERVAL_SECONDS` of processor time.
    self_samples : Counter
        Samples by module whose own code was running.
    cumulative_samples : Counter
        Samples by function that was on the stack.
    """

    def __init__(self) -> None:
        self.samples = 0
        self.self_samples: collections.Counter[str] = collections.Counter()
        self.cumulative_samples: collections.Counter[str] = collections.Counter()

    def record_sample(self, number: int, frame: types.FrameType | None) -> None:
        """Record a sample of the stack; serves as a signal handler."""
        if frame is None:
            return
        self.samples += 1
        self.self_samples[_module_of(frame)] += 1
        self.cumulative_samples.update(_functions_of(frame))


@contextlib.contextmanager
def profiling() -> Iterator[Profile]:
    """Sample the processor time of the process within the context."""
    profile = Profile()
    previous_handler = signal.signal(signal.SIGPROF, profile.record_sample)
    signal.setitimer(signal.ITIMER_PROF, INTERVAL_SECONDS, INTERVAL_SECONDS)
    try:
        yield profile
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0)
        signal.signal(signal.SIGPROF, previous_handler)


def _functions_of(frame: types.FrameType | None) -> set[str]:
    functions = set()
    while frame is not None:
        functions.add(f"{_module_of(frame)}:{frame.f_code.co_name}")
        frame = frame.f_back
    return functions


def _module_of(frame: types.FrameType) -> str:
    name = frame.f_globals.get("__name__", "")
    return name or pathlib.Path(frame.f_code.co_filename).stem
