"""A daemon's state in memory, without I/O, clocks or random numbers."""
