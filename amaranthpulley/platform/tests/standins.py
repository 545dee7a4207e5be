"""Runs a stand-in as a separate process, for tests.

Usage:
  standins store
  standins leaf ID SERVICE DOMAIN [ADDRESS]

It prints its address and serves until it is ended.
"""

from amaranthpulley.transport import loop

loop.prepare_loop()

import sys  # noqa: E402

import eventlet.event  # noqa: E402

from amaranthpulley.platform.tests import standin_leaf, standin_store  # noqa: E402
from amaranthpulley.transport import system_clock  # noqa: E402


def main(words: list[str]) -> None:
    """Run the stand-in that the command line names."""
    clock = system_clock.system_clock()
    if words[0] == "store":
        served = standin_store.StandInStore(clock)
    else:
        served = standin_leaf.StandInLeaf(clock, *words[1:])
    print(served.address, flush=True)
    eventlet.event.Event().wait()


if __name__ == "__main__":
    main(sys.argv[1:])
