"""Input and output of the processes: sockets, timers, clocks, logs and signals."""
